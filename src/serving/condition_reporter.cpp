#include <ospreystage/serving/condition_reporter.hpp>

#include <algorithm>
#include <cmath>

namespace ospreystage {

namespace {

/// Changes by less are not sent before the next repetition.
constexpr double min_change = 0.1;
constexpr milliseconds repetition_interval{2000};
/// Interval at which a start is repeated, and time for which it is: entries
/// that do not know of it may send a cold server too many requests.
constexpr milliseconds start_repetition_interval{500};
constexpr milliseconds start_repetition_time{10'000};
constexpr double max_percent = 100'000;

std::uint32_t to_percent(double pace) {
    const double percent =
        pace * static_cast<double>(server_condition::usual_pace_percent);
    return static_cast<std::uint32_t>(
        std::lround(std::clamp(percent, 1.0, max_percent)));
}

} // namespace

std::optional<server_condition>
condition_reporter::on_report(const observation& seen, instant now) {
    const bool has_restarted =
        last_ && (seen.orders < last_->orders ||
                  seen.started_unix_ms != last_->started_unix_ms);
    // An agent that starts with its server has seen none before.
    const bool is_first_young = !last_ && seen.age &&
                                *seen.age >= milliseconds(0) &&
                                *seen.age < start_repetition_time;
    last_ = seen;
    if (has_restarted)
        started_at_ = now;
    else if (is_first_young)
        started_at_ = now - *seen.age;
    const std::uint32_t percent = to_percent(seen.pace);
    const double change = std::abs(static_cast<double>(percent) -
                                   static_cast<double>(sent_percent_));
    const bool has_changed =
        change >= min_change * static_cast<double>(sent_percent_) ||
        (change > 0 && percent == server_condition::usual_pace_percent);
    const bool is_young =
        started_at_ && now - *started_at_ < start_repetition_time;
    const milliseconds interval =
        is_young ? start_repetition_interval : repetition_interval;
    const bool is_due =
        (percent != server_condition::usual_pace_percent || is_young) &&
        now - sent_at_ >= interval;
    if (!has_restarted && !is_first_young && !has_changed && !is_due)
        return std::nullopt;
    sent_percent_ = percent;
    sent_at_ = now;
    server_condition result;
    result.server = server_;
    result.pace_percent = percent;
    if (is_young)
        result.started_ms_ago =
            static_cast<std::uint32_t>((now - *started_at_) / milliseconds(1));
    return result;
}

} // namespace ospreystage
