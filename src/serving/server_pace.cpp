#include <ospreystage/serving/server_pace.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ospreystage {

namespace {

/// A start that was seen this much later than a record began is another one.
constexpr milliseconds restart_margin{1000};
/// Statements that differ by less describe the same pace.
constexpr double same_pace_share = 0.3;

milliseconds age_of(instant at, instant now) {
    return std::chrono::duration_cast<milliseconds>(now - at);
}

} // namespace

const char* to_string(pace_source source) noexcept {
    switch (source) {
    case pace_source::agent:
        return "agent";
    case pace_source::answers:
        return "answers";
    case pace_source::attempts:
        return "attempts";
    case pace_source::none:
        break;
    }
    return "none";
}

// ---- Observers -------------------------------------------------------------

const server_pace::pace_record*
server_pace::find(const server_start& server) const {
    const auto found = records_.find(server.id);
    return found == records_.end() ||
                   found->second.started_unix_ms != server.started_unix_ms
               ? nullptr
               : &found->second;
}

/// Returns the lower tercile of the agent's statements, each weighted by the
/// time for which it was the last one. The median counts two bursts of noise
/// within a second: 2.2 % of the time in the test, instead of less than 1 %.
std::optional<double> server_pace::lasting(const pace_record& record,
                                           instant now) const {
    if (record.statements.empty() ||
        now - record.stated_at > options_.statement_ttl)
        return std::nullopt;
    if (record.statements.size() == 1)
        return record.statements.front().factor;
    const instant from = now - options_.statement_window;
    std::vector<std::pair<double, steady::duration>> weights;
    steady::duration total{};
    for (std::size_t index = 0; index < record.statements.size(); ++index) {
        const bool is_last = index + 1 == record.statements.size();
        const instant end = is_last ? now : record.statements[index + 1].at;
        const instant begin = std::max(from, record.statements[index].at);
        if (end <= begin && !is_last)
            continue;
        const auto weight = std::max(end - begin, steady::duration{1});
        weights.emplace_back(record.statements[index].factor, weight);
        total += weight;
    }
    std::sort(weights.begin(), weights.end());
    steady::duration below{};
    for (const auto& [factor, weight] : weights) {
        below += weight;
        if (below * 3 >= total)
            return factor;
    }
    return weights.back().first;
}

bool server_pace::differs(double left, double right) const {
    return std::abs(left - right) > same_pace_share * std::min(left, right);
}

pace_estimate server_pace::estimate(const pace_record& record,
                                    instant now) const {
    pace_estimate result;
    const auto stated = lasting(record, now);
    if (stated) {
        result = {*stated, pace_source::agent, age_of(record.stated_at, now)};
    } else if (record.answers.verdict &&
               now - record.answers.last_sample <= options_.statement_ttl) {
        result = {*record.answers.verdict, pace_source::answers,
                  age_of(record.answers.last_sample, now)};
    }
    const auto& measured = record.attempts.verdict;
    if (!measured || differs(record.basis, stated.value_or(1)))
        return result;
    const bool is_stated_slow = result.factor >= options_.slow_factor;
    const bool is_measured_slow = *measured > 1;
    if (is_stated_slow != is_measured_slow)
        result = {*measured, pace_source::attempts,
                  age_of(record.attempts.last_sample, now)};
    return result;
}

pace_estimate server_pace::estimate(const server_start& server,
                                    instant now) const {
    const pace_record* record = find(server);
    return record == nullptr ? pace_estimate{} : estimate(*record, now);
}

bool server_pace::is_trial_due(const server_start& server,
                               std::uint32_t entries, instant now) const {
    const pace_record* record = find(server);
    if (record == nullptr ||
        estimate(*record, now).factor < options_.recovered_factor)
        return false;
    const milliseconds interval =
        std::clamp(options_.trial_interval * entries,
                   options_.min_trial_interval, options_.max_trial_interval);
    return now - std::max({record->attempts.last_sample, record->last_trial,
                           record->since}) >
           interval;
}

std::size_t server_pace::slow_servers() const noexcept {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(),
                      [](const auto& item) { return item.second.is_slow; }));
}

// ---- Events ----------------------------------------------------------------

server_pace::pace_record& server_pace::record_of(const server_start& server,
                                                 instant now) {
    const auto [found, is_new] = records_.try_emplace(server.id);
    pace_record& record = found->second;
    if (is_new || record.started_unix_ms != server.started_unix_ms) {
        record = {};
        record.started_unix_ms = server.started_unix_ms;
        record.since = now;
    }
    return record;
}

void server_pace::on_condition(const server_start& server, double factor,
                               std::optional<milliseconds> started_ago,
                               instant now) {
    pace_record& known = record_of(server, now);
    if (started_ago && now - *started_ago > known.since + restart_margin) {
        known = {};
        known.started_unix_ms = server.started_unix_ms;
        known.since = now - *started_ago;
    }
    if (!std::isfinite(factor))
        return;
    // What is unknown counts as usual until the first statement.
    if (known.statements.empty())
        known.statements.push_back({known.since, 1});
    const bool has_expired = known.stated_at != instant{} &&
                             now - known.stated_at > options_.statement_ttl;
    if (has_expired)
        known.statements.clear();
    known.stated_at = now;
    factor = std::clamp(factor, 1.0, options_.max_factor);
    if (known.statements.empty() || known.statements.back().factor != factor)
        known.statements.push_back({now, factor});
    while (known.statements.size() > 1 &&
           known.statements[1].at <= now - options_.statement_window)
        known.statements.pop_front();
}

void server_pace::on_answer(const server_start& server, double factor,
                            instant now) {
    if (std::isfinite(factor))
        add_sample(record_of(server, now).answers,
                   std::clamp(factor, 1.0, options_.max_factor), now);
}

void server_pace::add_sample(sample_series& series, double factor,
                             instant now) const {
    auto& intervals = series.intervals;
    if (intervals.empty() || now - intervals.back().begin > options_.interval)
        intervals.push_back({now, 0, 0});
    intervals.back().sum += factor;
    ++intervals.back().count;
    series.last_sample = now;
    while (now - intervals.front().begin > options_.memory)
        intervals.pop_front();
    // A verdict stands until newer samples, of which fewer suffice, change it.
    if (intervals.size() < options_.min_intervals && !series.verdict)
        return;
    std::vector<double> means;
    means.reserve(intervals.size());
    for (const auto& item : intervals)
        means.push_back(item.sum / item.count);
    const auto quartile =
        means.begin() + static_cast<std::ptrdiff_t>(means.size() / 4);
    std::nth_element(means.begin(), quartile, means.end());
    const bool was_slow = series.verdict.value_or(1) > 1;
    if (!was_slow && intervals.size() < options_.min_intervals)
        return;
    const double limit =
        was_slow ? options_.recovered_factor : options_.slow_factor;
    series.verdict =
        *quartile >= limit ? std::min(*quartile, options_.max_factor) : 1;
}

void server_pace::add_attempt_sample(pace_record& record, double factor,
                                     instant now) const {
    // What was measured at another pace says nothing of the present one.
    const double basis = lasting(record, now).value_or(1);
    if (differs(record.basis, basis)) {
        record.attempts = {};
        record.basis = basis;
    }
    add_sample(record.attempts, factor, now);
}

void server_pace::on_event(attempt_pace& attempt, instant now) {
    const auto last = std::exchange(attempt.last_event, now);
    if (!last) {
        if (attempt.usual_first_event <= milliseconds(0))
            return;
        const std::chrono::duration<double> observed =
            now - attempt.sent_at - options_.transfer_allowance;
        const std::chrono::duration<double> usual = attempt.usual_first_event;
        add_attempt_sample(record_of(attempt.server, now),
                           std::max(observed / usual, 0.0), now);
        return;
    }
    const std::chrono::duration<double> gap = now - *last;
    const std::chrono::duration<double> usual = attempt.usual_gap;
    if (usual.count() > 0 && gap >= usual * options_.min_gap_share)
        add_attempt_sample(record_of(attempt.server, now), gap / usual, now);
}

void server_pace::on_trial(const server_start& server, instant now) {
    record_of(server, now).last_trial = now;
}

void server_pace::retain(const absl::flat_hash_set<std::string>& listed) {
    absl::erase_if(records_, [&](const auto& item) {
        return !listed.contains(item.first);
    });
}

std::vector<pace_change> server_pace::take_changes(instant now) {
    std::vector<pace_change> result;
    for (auto& [id, record] : records_) {
        const pace_estimate current = estimate(record, now);
        const double limit =
            record.is_slow ? options_.recovered_factor : options_.slow_factor;
        const bool is_slow = current.factor >= limit;
        if (is_slow == record.is_slow)
            continue;
        record.is_slow = is_slow;
        result.push_back({id, current, lasting(record, now), is_slow});
    }
    return result;
}

} // namespace ospreystage
