#include <ospreystage/serving/crash_series.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

/// A server takes longer than this to start again. Covers the difference in the
/// delays of two reports.
constexpr milliseconds min_restart_time{200};

} // namespace

bool crash_series::add(const server_end& end) {
    const auto [found, is_new] =
        last_.try_emplace(end.server, last_end{end.started_unix_ms, end.at});
    last_end& last = found->second;
    const bool is_restarted = last.started_unix_ms != 0 &&
                              end.started_unix_ms > last.started_unix_ms &&
                              end.sent >= last.at + min_restart_time;
    if (!is_new && !is_restarted) {
        last.started_unix_ms =
            std::max(last.started_unix_ms, end.started_unix_ms);
        return false;
    }
    last = {end.started_unix_ms, end.at};
    ++size_;
    return true;
}

double chance_bound(const crash_sample& sample) {
    using seconds_value = std::chrono::duration<double>;
    if (sample.other_crashes == 0)
        return 0;
    const milliseconds server_time =
        std::max(sample.server_time, milliseconds(1));
    const double expected =
        static_cast<double>(sample.other_crashes) *
        (seconds_value(sample.exposure) / seconds_value(server_time));
    // P(X >= n) <= m^n / n! for a Poisson variable X with the mean m.
    double bound = 1;
    for (std::size_t number = 1; number <= sample.crashes; ++number)
        bound *= expected / static_cast<double>(number);
    return bound;
}

} // namespace ospreystage
