#pragma once

#include <chrono>

namespace ospreystage {

/// Point in time on the local monotonic clock.
using instant = std::chrono::steady_clock::time_point;

namespace impl {

/// Time of this thread's `simulated_clock`; null: real time.
inline constinit thread_local const instant* simulated_now = nullptr;

} // namespace impl

/// Monotonic clock for all deadlines, leases and timers.
///
/// Its time points mean nothing to another process, so messages carry
/// durations instead.
struct steady {
    using duration = instant::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = instant;
    static constexpr bool is_steady = true;

    [[nodiscard]] static instant now() noexcept {
        return impl::simulated_now != nullptr
                   ? *impl::simulated_now
                   : std::chrono::steady_clock::now();
    }
};

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace ospreystage
