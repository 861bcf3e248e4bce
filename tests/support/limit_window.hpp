#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstddef>
#include <vector>

namespace ospreystage::testing {

/// Counts what a server got in each span of the length in which its limit is
/// judged.
class limit_window {
  public:
    static constexpr std::chrono::seconds length{4};

    /// `arrivals` in ascending order; spans begin at `from` at the earliest.
    limit_window(const std::vector<instant>& arrivals, instant from);

    /// Returns the arrivals from `from` on.
    [[nodiscard]] std::size_t arrivals() const noexcept { return arrivals_; }
    /// Returns the most arrivals in one span.
    [[nodiscard]] std::size_t max_arrivals() const noexcept {
        return max_arrivals_;
    }

    /// Returns what a span may hold: one and a half times what a limit in
    /// requests a second allows, and 5.
    [[nodiscard]] static std::size_t allowed(double per_second);

  private:
    std::size_t arrivals_ = 0;
    std::size_t max_arrivals_ = 0;
};

} // namespace ospreystage::testing
