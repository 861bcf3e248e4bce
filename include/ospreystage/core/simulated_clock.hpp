#pragma once

#include <ospreystage/core/clock.hpp>

#include <algorithm>

namespace ospreystage {

/// Replaces the time of this thread while it exists. The time stands still
/// until it is advanced, so that a test plays minutes in a moment.
class simulated_clock {
  public:
    simulated_clock() { impl::simulated_now = &now_; }
    ~simulated_clock() { impl::simulated_now = nullptr; }
    simulated_clock(const simulated_clock&) = delete;
    simulated_clock& operator=(const simulated_clock&) = delete;

    [[nodiscard]] instant now() const noexcept { return now_; }

    /// Earlier times are ignored.
    void advance_to(instant time) noexcept { now_ = std::max(now_, time); }

  private:
    instant now_ = std::chrono::steady_clock::now();
};

} // namespace ospreystage
