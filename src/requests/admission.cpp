#include <ospreystage/requests/admission.hpp>

#include <algorithm>
#include <cmath>

namespace ospreystage {

namespace {

/// Weight of the latest service time in the moving average.
constexpr double average_weight = 0.1;

constexpr double milliseconds_per_second = 1000;

/// Range of the time after which a refused caller comes back.
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{5000};

milliseconds bounded_retry(double wait_ms) {
    const auto wait =
        milliseconds{static_cast<std::int64_t>(std::ceil(wait_ms))};
    return std::clamp(wait, min_retry_after, max_retry_after);
}

double in_milliseconds(steady::duration duration) {
    return std::chrono::duration<double, std::milli>(duration).count();
}

void update_average(double& average, double latest) {
    average =
        average <= 0 ? latest : average + average_weight * (latest - average);
}

} // namespace

admission::admission(std::size_t limit) : limit_(limit) {}

// ---- Observers -------------------------------------------------------------

std::size_t admission::size() const noexcept {
    return places_.size();
}

milliseconds admission::expected_wait(const admission_ticket& ticket) const {
    const auto found = pools_.find(ticket.service);
    if (found == pools_.end())
        return milliseconds{0};
    const pool& target = found->second;
    if (target.slots == 0 || target.running < target.slots)
        return milliseconds{0};
    std::size_t ahead = 1;
    for (const auto& [priority, queues] : target.waiting) {
        const auto own = queues.find(ticket.organisation);
        if (priority >= ticket.priority && own != queues.end())
            ahead += own->second.size();
    }
    const double slots = target.slots * share_of(target, ticket.organisation);
    return milliseconds{static_cast<std::int64_t>(
        target.service_ms * static_cast<double>(ahead) / slots)};
}

nlohmann::json admission::dump() const {
    nlohmann::json state;
    for (const auto& [service, target] : pools_)
        state["pools"][service] = {
            {"slots", target.slots},
            {"running", target.running},
            {"service_ms", target.service_ms},
            {"running_by_organisation", target.running_by_organisation}};
    for (const auto& [organisation, tokens] : buckets_)
        state["tokens"][organisation] = tokens.tokens;
    state["size"] = size();
    state["rate_limited_total"] = rate_limited_;
    state["overloaded_total"] = overloaded_;
    return state;
}

// ---- Inputs ----------------------------------------------------------------

void admission::set_document(const rollout_document& document, instant now) {
    absl::flat_hash_map<std::string, bucket> buckets;
    for (const organisation& customer : document.organisations) {
        bucket value;
        value.weight = std::max<std::uint32_t>(customer.weight, 1);
        value.rate = customer.requests_per_second;
        value.burst = std::max<std::uint32_t>(customer.burst, 1);
        value.tokens = value.burst;
        value.filled_at = now;
        const auto before = buckets_.find(customer.name);
        if (before != buckets_.end() && before->second.rate > 0) {
            value.tokens = std::min(before->second.tokens, value.tokens);
            value.filled_at = before->second.filled_at;
        }
        buckets.emplace(customer.name, value);
    }
    buckets_ = std::move(buckets);
}

void admission::set_slots(const std::string& service, std::uint32_t slots) {
    pools_[service].slots = slots;
}

admission_decision admission::offer(const admission_ticket& ticket,
                                    instant now) {
    pool& target = pools_[ticket.service];
    const bool free = (target.slots == 0 || target.running < target.slots) &&
                      target.waiting.empty();
    const milliseconds wait = expected_wait(ticket);
    const bool late = !free && now + wait + expected_service(target, ticket) >
                                   ticket.deadline;
    if (places_.size() >= limit_ || late) {
        ++overloaded_;
        return admission_refused{
            "overloaded", bounded_retry(static_cast<double>(wait.count()))};
    }
    milliseconds retry_after{};
    if (!take_token(ticket.organisation, now, retry_after)) {
        ++rate_limited_;
        return admission_refused{"rate_limited", retry_after};
    }
    places_.emplace(ticket.request, place{ticket, false, {}});
    if (free) {
        start(target, ticket.request, now);
        return admission_granted{};
    }
    target.waiting[ticket.priority][ticket.organisation].push_back(
        ticket.request);
    return admission_queued{};
}

std::vector<request_id> admission::take_startable(instant now) {
    std::vector<request_id> started;
    for (auto& [service, target] : pools_) {
        while (!target.waiting.empty() &&
               (target.slots == 0 || target.running < target.slots)) {
            const organisation_queues& queues = target.waiting.begin()->second;
            const request_id request =
                queues.at(next_organisation(target, queues)).front();
            remove_waiting(target, places_.at(request).ticket);
            start(target, request, now);
            started.push_back(request);
        }
    }
    return started;
}

std::vector<request_id> admission::take_hopeless(instant now) {
    std::vector<request_id> hopeless;
    for (const auto& [request, waiting] : places_) {
        const milliseconds needed =
            expected_service(pools_.at(waiting.ticket.service), waiting.ticket);
        if (!waiting.running && now + needed >= waiting.ticket.deadline)
            hopeless.push_back(request);
    }
    std::sort(hopeless.begin(), hopeless.end());
    for (const request_id request : hopeless) {
        ++overloaded_;
        end(request, false, now);
    }
    return hopeless;
}

void admission::end(request_id request, bool answered, instant now) {
    const auto found = places_.find(request);
    if (found == places_.end())
        return;
    const place& ended = found->second;
    pool& target = pools_.at(ended.ticket.service);
    if (!ended.running) {
        remove_waiting(target, ended.ticket);
        places_.erase(found);
        return;
    }
    --target.running;
    --target.running_by_organisation[ended.ticket.organisation];
    if (answered) {
        const double took = in_milliseconds(now - ended.started_at);
        update_average(target.service_ms, took);
        update_average(target.service_ms_by_class[ended.ticket.request_class],
                       took);
    }
    places_.erase(found);
}

// ---- Details ---------------------------------------------------------------

bool admission::take_token(const std::string& organisation, instant now,
                           milliseconds& retry_after) {
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end() || found->second.rate == 0)
        return true;
    bucket& own = found->second;
    const double rate_per_ms = own.rate / milliseconds_per_second;
    const double earned = in_milliseconds(now - own.filled_at) * rate_per_ms;
    own.tokens = std::min<double>(own.tokens + earned, own.burst);
    own.filled_at = now;
    if (own.tokens >= 1) {
        own.tokens -= 1;
        return true;
    }
    retry_after = bounded_retry((1 - own.tokens) / rate_per_ms);
    return false;
}

std::uint32_t admission::weight_of(const std::string& organisation) const {
    const auto found = buckets_.find(organisation);
    return found == buckets_.end() ? 1 : found->second.weight;
}

double admission::share_of(const pool& target,
                           const std::string& organisation) const {
    std::map<std::string, std::uint32_t> active{
        {organisation, weight_of(organisation)}};
    for (const auto& [name, running] : target.running_by_organisation) {
        if (running > 0)
            active[name] = weight_of(name);
    }
    for (const auto& [priority, queues] : target.waiting) {
        for (const auto& [name, queue] : queues)
            active[name] = weight_of(name);
    }
    double total = 0;
    for (const auto& [name, weight] : active)
        total += weight;
    return weight_of(organisation) / total;
}

std::string
admission::next_organisation(const pool& target,
                             const organisation_queues& queues) const {
    std::string best;
    double least = 0;
    for (const auto& [name, queue] : queues) {
        const auto running = target.running_by_organisation.find(name);
        const double used = running == target.running_by_organisation.end()
                                ? 0
                                : running->second;
        const double relative = used / weight_of(name);
        if (best.empty() || relative < least) {
            best = name;
            least = relative;
        }
    }
    return best;
}

milliseconds admission::expected_service(const pool& target,
                                         const admission_ticket& ticket) {
    const auto found = target.service_ms_by_class.find(ticket.request_class);
    if (found == target.service_ms_by_class.end())
        return milliseconds{0};
    return milliseconds{static_cast<std::int64_t>(found->second)};
}

void admission::start(pool& target, request_id request, instant now) {
    place& started = places_.at(request);
    started.running = true;
    started.started_at = now;
    ++target.running;
    ++target.running_by_organisation[started.ticket.organisation];
}

void admission::remove_waiting(pool& target, const admission_ticket& ticket) {
    const auto queues = target.waiting.find(ticket.priority);
    if (queues == target.waiting.end())
        return;
    const auto queue = queues->second.find(ticket.organisation);
    if (queue == queues->second.end())
        return;
    std::erase(queue->second, ticket.request);
    if (queue->second.empty())
        queues->second.erase(queue);
    if (queues->second.empty())
        target.waiting.erase(queues);
}

} // namespace ospreystage
