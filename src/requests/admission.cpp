#include <ospreystage/requests/admission.hpp>

#include <algorithm>
#include <cmath>

namespace ospreystage {

namespace {

/// Weight of the latest service time in the exponential moving average.
constexpr double average_weight = 0.1;

constexpr double milliseconds_per_second = 1000;

/// Bounds of the retry delay that a rejected caller is given.
constexpr milliseconds min_retry_after{50};
constexpr milliseconds max_retry_after{5000};

milliseconds clamp_retry_after(double wait_ms) {
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
    return requests_.size();
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
        value.refilled_at = now;
        const auto before = buckets_.find(customer.name);
        if (before != buckets_.end() && before->second.rate > 0) {
            value.tokens = std::min(before->second.tokens, value.tokens);
            value.refilled_at = before->second.refilled_at;
        }
        buckets.emplace(customer.name, value);
    }
    buckets_ = std::move(buckets);
}

void admission::set_slots(const std::string& service, std::uint32_t slots) {
    pools_[service].slots = slots;
}

admission_decision admission::admit(const admission_ticket& ticket,
                                    instant now) {
    pool& target = pools_[ticket.service];
    const bool has_free_slot =
        (target.slots == 0 || target.running < target.slots) &&
        target.waiting.empty();
    const milliseconds wait = expected_wait(ticket);
    const bool misses_deadline =
        !has_free_slot &&
        now + wait + expected_service_time(target, ticket) > ticket.deadline;
    if (requests_.size() >= limit_ || misses_deadline) {
        ++overloaded_;
        return admission_refused{
            "overloaded", clamp_retry_after(static_cast<double>(wait.count()))};
    }
    milliseconds retry_after{};
    if (!take_token(ticket.organisation, now, retry_after)) {
        ++rate_limited_;
        return admission_refused{"rate_limited", retry_after};
    }
    requests_.emplace(ticket.request, request_record{ticket, false, {}});
    if (has_free_slot) {
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
            remove_waiting(target, requests_.at(request).ticket);
            start(target, request, now);
            started.push_back(request);
        }
    }
    return started;
}

std::vector<request_id> admission::take_unservable(instant now) {
    std::vector<request_id> unservable;
    for (const auto& [request, waiting] : requests_) {
        const milliseconds needed = expected_service_time(
            pools_.at(waiting.ticket.service), waiting.ticket);
        if (!waiting.running && now + needed >= waiting.ticket.deadline)
            unservable.push_back(request);
    }
    std::sort(unservable.begin(), unservable.end());
    for (const request_id request : unservable) {
        ++overloaded_;
        end(request, false, now);
    }
    return unservable;
}

void admission::end(request_id request, bool answered, instant now) {
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return;
    const request_record& ended = found->second;
    pool& target = pools_.at(ended.ticket.service);
    if (!ended.running) {
        remove_waiting(target, ended.ticket);
        requests_.erase(found);
        return;
    }
    --target.running;
    --target.running_by_organisation[ended.ticket.organisation];
    if (answered) {
        const double service_time_ms = in_milliseconds(now - ended.started_at);
        update_average(target.service_ms, service_time_ms);
        update_average(target.service_ms_by_class[ended.ticket.request_class],
                       service_time_ms);
    }
    requests_.erase(found);
}

// ---- Details ---------------------------------------------------------------

bool admission::take_token(const std::string& organisation, instant now,
                           milliseconds& retry_after) {
    const auto found = buckets_.find(organisation);
    if (found == buckets_.end() || found->second.rate == 0)
        return true;
    bucket& own = found->second;
    const double rate_per_ms = own.rate / milliseconds_per_second;
    const double refill = in_milliseconds(now - own.refilled_at) * rate_per_ms;
    own.tokens = std::min<double>(own.tokens + refill, own.burst);
    own.refilled_at = now;
    if (own.tokens >= 1) {
        own.tokens -= 1;
        return true;
    }
    retry_after = clamp_retry_after((1 - own.tokens) / rate_per_ms);
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
    double min_usage = 0;
    for (const auto& [name, queue] : queues) {
        const auto running = target.running_by_organisation.find(name);
        const double running_count =
            running == target.running_by_organisation.end() ? 0
                                                            : running->second;
        const double relative_usage = running_count / weight_of(name);
        if (best.empty() || relative_usage < min_usage) {
            best = name;
            min_usage = relative_usage;
        }
    }
    return best;
}

milliseconds admission::expected_service_time(const pool& target,
                                              const admission_ticket& ticket) {
    const auto found = target.service_ms_by_class.find(ticket.request_class);
    if (found == target.service_ms_by_class.end())
        return milliseconds{0};
    return milliseconds{static_cast<std::int64_t>(found->second)};
}

void admission::start(pool& target, request_id request, instant now) {
    request_record& started = requests_.at(request);
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
