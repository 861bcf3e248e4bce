#pragma once

#include <chrono>

namespace ospreystage {

/// Monotonic clock for all deadlines, leases and timers.
///
/// Its time points mean nothing to another process, so messages carry
/// durations instead.
using steady = std::chrono::steady_clock;

/// Point in time on the local monotonic clock.
using instant = steady::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace ospreystage
