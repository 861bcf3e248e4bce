#pragma once

#include <chrono>

namespace ospreystage {

/// Monotonic clock that every deadline, lease and timer is measured with.
///
/// It is never sent to another process: messages carry durations.
using steady = std::chrono::steady_clock;

/// Point in time on the local monotonic clock.
using instant = steady::time_point;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

} // namespace ospreystage
