#include <ospreystage/serving/backend_load.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr double ms_per_s = 1000;
constexpr double us_per_ms = 1000;
constexpr double tokens_per_k = 1000;
constexpr double pairs_per_m = 1e6;
/// Part of the target latency that the estimate may fill. The rest covers
/// network time and requests that other entries send at the same moment.
constexpr double target_latency_share = 0.8;
/// A late request is placed only while fewer than this part of an engine's
/// slots are in use.
constexpr double late_slots_share = 0.8;
/// Servers whose cost differs by at most this count as equal. One of them is
/// drawn at random, so that the entries do not all choose the same server.
constexpr double cost_tolerance_ms = 15;
/// Added to the cost of a server in another data centre, because bandwidth
/// between data centres is limited and billed.
constexpr double remote_penalty_ms = 10;
/// Part of the caller's limits that a slow server may use. The rest covers
/// noise: 15 % of the time with 2.5 times the duration is 1.2 on average.
constexpr double slow_time_share = 0.8;
/// Answers as long as this many usual ones are rare.
constexpr double max_usual_answers = 3;
/// Range of the random delay after which a refused caller should retry.
constexpr milliseconds min_retry_after{1000};
constexpr milliseconds max_retry_after{2000};
/// Requests in flight per slot at which a plain server is full.
constexpr double plain_queue_factor = 2;

/// Longest time for which an engine counts as busy with prompts. Callers state
/// the sizes of their prompts; an engine rejects one that it cannot hold.
constexpr milliseconds max_backlog{10'000};
/// Longest estimate of a wait, so that it can be represented.
constexpr std::chrono::hours max_wait{1};

/// Converts a time, cut to the range from 0 to `limit`.
template <typename Duration>
Duration to_time(double count, Duration limit) {
    return Duration(static_cast<std::int64_t>(
        std::clamp(count, 0.0, static_cast<double>(limit.count()))));
}

/// Returns the time of one decoding pass over `running` requests, without
/// prefill.
double pass_ms(const engine_profile& engine, double running) {
    const double context_k =
        (engine.typical_prompt_tokens + engine.typical_answer_tokens / 2) /
        tokens_per_k;
    return engine.steps_per_pass *
           (engine.step_ms +
            running * (engine.step_ms_per_request +
                       engine.step_ms_per_k_context * context_k));
}

double prefill_ms(const engine_profile& engine, double tokens) {
    if (engine.prefill_tokens_per_s <= 0)
        return 0;
    return tokens / engine.prefill_tokens_per_s * ms_per_s +
           engine.prefill_ms_per_m_pairs * tokens * tokens / 2 / pairs_per_m;
}

/// Returns the time that a typical request holds its slot while `running`
/// others run.
double service_ms(const engine_profile& engine, double running) {
    const double passes =
        engine.typical_answer_tokens / std::max(1U, engine.steps_per_pass);
    const double decode_time = passes * pass_ms(engine, running);
    // Each other request is prefilled once in that time and delays the passes.
    return decode_time +
           running * prefill_ms(engine, engine.typical_prompt_tokens);
}

/// Returns the average time between two passes of an engine with `in_flight`
/// other requests, which the prefill of their prompts delays.
double gap_ms(const engine_profile& engine, double in_flight) {
    const double slots = std::max(1U, engine.slots);
    const double passes =
        engine.typical_answer_tokens / std::max(1U, engine.steps_per_pass);
    return service_ms(engine, std::min(in_flight, slots)) /
           std::max(1.0, passes);
}

/// Returns the tokens of an answer for which there should be time. Callers
/// state generous limits, so a multiple of the usual answer suffices.
double answer_tokens(const engine_profile& engine, std::uint32_t max_tokens) {
    const double usual = engine.typical_answer_tokens;
    return max_tokens == 0 ? usual
                           : std::min(static_cast<double>(max_tokens),
                                      usual * max_usual_answers);
}

} // namespace

backend_load::backend_load(const options& limits, std::uint64_t seed)
    : limits_(limits), random_(seed), pace_(limits.pace) {}

const backend_load::load_record*
backend_load::find(const std::string& server) const {
    const auto found = records_.find(server);
    return found == records_.end() ? nullptr : &found->second;
}

bool backend_load::has_fresh_status(const load_record& record,
                                    instant now) const {
    return record.status && now - record.reported_at <= limits_.report_ttl;
}

std::optional<engine_status> backend_load::status(const std::string& server,
                                                  instant now) const {
    const load_record* record = find(server);
    if (record == nullptr || !has_fresh_status(*record, now))
        return std::nullopt;
    return record->status;
}

double backend_load::in_flight(const std::string& server, std::uint32_t entries,
                               instant now) const {
    const load_record* record = find(server);
    if (record == nullptr)
        return 0;
    if (!has_fresh_status(*record, now))
        return static_cast<double>(record->outstanding) * entries;
    const double reported_requests =
        record->status->running + record->status->queued;
    const double sent_since_report =
        static_cast<double>(record->outstanding) -
        static_cast<double>(record->outstanding_at_report);
    return std::max(reported_requests + sent_since_report,
                    static_cast<double>(record->outstanding));
}

std::uint64_t backend_load::version_of(const backend_server& server,
                                       const engine_profile& engine,
                                       instant now) const {
    if (const auto reported = status(server.id, now))
        return reported->is_loading ? 0 : reported->version;
    return server.complete_version(engine.layers).value_or(0);
}

milliseconds backend_load::backlog(const std::string& server,
                                   instant now) const {
    const load_record* record = find(server);
    if (record == nullptr || record->prefill_until <= now)
        return milliseconds(0);
    return std::chrono::duration_cast<milliseconds>(record->prefill_until -
                                                    now);
}

milliseconds backend_load::estimate_first_event(const engine_profile& engine,
                                                double in_flight,
                                                milliseconds backlog,
                                                std::uint32_t prompt_tokens,
                                                double factor) const {
    const double slots = std::max(1U, engine.slots);
    const double running = std::min(in_flight, slots);
    // Half a pass on average until the one in progress ends, the prefill of
    // the earlier prompts and of this one, and a pass that produces the event.
    double wait =
        (1.5 * pass_ms(engine, running) + prefill_ms(engine, prompt_tokens)) *
            factor +
        static_cast<double>(backlog.count());
    const double queued_ahead = in_flight - slots + 1;
    if (queued_ahead > 0)
        wait += queued_ahead * service_ms(engine, slots) / slots * factor;
    return to_time<milliseconds>(wait, max_wait);
}

/// Returns a server as a candidate without ratings, if it can answer.
std::optional<backend_load::candidate>
backend_load::make_candidate(const placement_request& request,
                             const backend_server& server,
                             std::uint32_t entries, instant now) const {
    if (request.tried != nullptr && request.tried->contains(server.id))
        return std::nullopt;
    candidate result{&server};
    result.load = in_flight(server.id, entries, now);
    result.factor = pace_.estimate(server.start(), now).factor;
    if (const auto& engine = request.service->engine) {
        result.version = version_of(server, *engine, now);
        if (result.version == 0 || result.version < request.min_version)
            return std::nullopt;
        result.backlog = backlog(server.id, now);
    }
    return result;
}

void backend_load::rate_engine(candidate& item,
                               const placement_request& request,
                               const engine_profile& engine,
                               std::uint32_t entries, instant now) const {
    const auto first_event = [&](double factor) {
        return estimate_first_event(engine, item.load, item.backlog,
                                    request.prompt_tokens, factor);
    };
    item.wait = first_event(item.factor);
    const double passes = answer_tokens(engine, request.max_answer_tokens) /
                          std::max(1U, engine.steps_per_pass);
    const double gap = gap_ms(engine, item.load) * item.factor;
    const double end = static_cast<double>(item.wait.count()) + passes * gap;
    const auto is_within = [&](double time, milliseconds limit) {
        const double share = item.factor > 1 ? slow_time_share : 1;
        return limit <= milliseconds(0) ||
               time <= static_cast<double>(limit.count()) * share;
    };
    item.ends_in_time =
        is_within(end, request.time_left) && is_within(gap, request.target_gap);
    // Only an idle server is tried: the entries do so without each other.
    item.is_trial = item.factor > 1 && item.load < 1 && item.ends_in_time &&
                    pace_.is_trial_due(item.server->start(), entries, now);
    const milliseconds wait = item.is_trial ? first_event(1) : item.wait;
    item.cost = static_cast<double>(wait.count());
    item.has_capacity =
        request.is_late
            ? item.load < engine.slots * late_slots_share
            : item.cost <= static_cast<double>(request.target_latency.count()) *
                               target_latency_share;
    if (item.server->data_centre != limits_.data_centre)
        item.cost += remote_penalty_ms;
}

void backend_load::rate(candidate& item, const placement_request& request,
                        std::uint32_t entries, instant now) const {
    if (const auto& engine = request.service->engine) {
        rate_engine(item, request, *engine, entries, now);
        return;
    }
    const double slots = std::max(1U, item.server->slots);
    item.has_capacity = item.load / slots < plain_queue_factor;
    item.is_trial = item.factor > 1 && item.load < 1 &&
                    pace_.is_trial_due(item.server->start(), entries, now);
    item.cost = item.load / slots;
    // The request itself takes longer, too, at a slow server.
    if (!item.is_trial)
        item.cost = item.cost * item.factor + (item.factor - 1) / slots;
}

placement_decision
backend_load::place(const placement_request& request,
                    const std::vector<const backend_server*>& servers,
                    std::uint32_t entries, instant now) {
    const auto& engine = request.service->engine;
    std::vector<candidate> backing_off;
    std::vector<candidate> ready;
    for (const backend_server* server : servers) {
        const auto next = make_candidate(request, *server, entries, now);
        if (!next)
            continue;
        const load_record* record = find(server->id);
        const bool is_backing_off =
            record != nullptr && record->backoff_until > now;
        (is_backing_off ? backing_off : ready).push_back(*next);
    }
    if (ready.empty())
        ready = std::move(backing_off);
    if (ready.empty())
        return no_server{};
    // If all servers are slow, none is avoided.
    const double fastest =
        std::min_element(ready.begin(), ready.end(),
                         [](const candidate& left, const candidate& right) {
                             return left.factor < right.factor;
                         })
            ->factor;
    for (candidate& item : ready) {
        item.factor /= fastest;
        rate(item, request, entries, now);
    }
    if (std::any_of(ready.begin(), ready.end(),
                    [](const candidate& item) { return item.ends_in_time; }))
        std::erase_if(ready, [](const candidate& item) {
            return item.factor > 1 && !item.ends_in_time;
        });
    const auto best =
        std::min_element(ready.begin(), ready.end(),
                         [](const candidate& left, const candidate& right) {
                             return left.cost < right.cost;
                         });
    if (!best->has_capacity) {
        std::uniform_int_distribution<std::int64_t> retry_delay(
            min_retry_after.count(), max_retry_after.count());
        return no_capacity{milliseconds(retry_delay(random_))};
    }
    const double limit = best->cost + (engine ? cost_tolerance_ms : 0);
    std::erase_if(ready, [&](const candidate& item) {
        return item.cost > limit || !item.has_capacity;
    });
    std::uniform_int_distribution<std::size_t> draw(0, ready.size() - 1);
    const candidate& chosen = ready[draw(random_)];
    placement result{chosen.server->id, chosen.version, chosen.load,
                     chosen.backlog, chosen.wait};
    if (chosen.is_trial)
        pace_.on_trial(chosen.server->start(), now);
    if (engine) {
        result.prefill_time =
            to_time<microseconds>(prefill_ms(*engine, request.prompt_tokens) *
                                      chosen.factor * us_per_ms,
                                  max_backlog);
        result.usual_first_event = std::chrono::duration_cast<milliseconds>(
            chosen.wait / chosen.factor);
        result.usual_gap = to_time<microseconds>(
            gap_ms(*engine, chosen.load) * us_per_ms, max_wait);
    }
    return result;
}

void backend_load::add_prefill(load_record& record, microseconds prefill_time,
                               instant now) {
    record.prefill_until = std::min(
        std::max(record.prefill_until, now) + prefill_time, now + max_backlog);
}

void backend_load::on_sent(const std::string& server, microseconds prefill_time,
                           instant now) {
    load_record& record = records_[server];
    ++record.outstanding;
    add_prefill(record, prefill_time, now);
}

void backend_load::on_sent_by_peer(const std::string& server,
                                   microseconds prefill_time, instant now) {
    load_record& record = records_[server];
    add_prefill(record, prefill_time, now);
}

void backend_load::on_ended(const std::string& server, attempt_result result,
                            instant now) {
    load_record& record = records_[server];
    if (record.outstanding > 0)
        --record.outstanding;
    switch (result) {
    case attempt_result::answered:
        record.consecutive_failures = 0;
        record.backoff_until = {};
        break;
    case attempt_result::failed:
    case attempt_result::timed_out: {
        const auto backoff = limits_.min_backoff *
                             (1U << std::min(record.consecutive_failures, 4U));
        record.backoff_until = now + std::min(backoff, limits_.max_backoff);
        ++record.consecutive_failures;
        break;
    }
    case attempt_result::refused:
        // The server is full or loading weights; its next report says which.
        record.backoff_until =
            std::max(record.backoff_until, now + limits_.min_backoff / 5);
        break;
    case attempt_result::cancelled:
        break;
    }
}

void backend_load::on_status(const std::string& server,
                             const engine_status& status, instant now) {
    load_record& record = records_[server];
    record.status = status;
    record.reported_at = now;
    record.outstanding_at_report = record.outstanding;
}

void backend_load::retain(const absl::flat_hash_set<std::string>& listed) {
    absl::erase_if(records_, [&](const auto& item) {
        return !listed.contains(item.first) && item.second.outstanding == 0;
    });
    pace_.retain(listed);
}

} // namespace ospreystage
