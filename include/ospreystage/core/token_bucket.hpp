#pragma once

#include <ospreystage/core/clock.hpp>

#include <algorithm>
#include <cstdint>

namespace ospreystage {

/// Token bucket that limits a byte rate.
///
/// One `take` may exceed the balance; further bytes are available only when
/// the rate has made up for the debt.
class token_bucket {
  public:
    // ---- Construction ------------------------------------------------------

    /// Creates a bucket without a limit.
    token_bucket() = default;

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool is_limited() const noexcept { return rate_ > 0; }

    /// Returns true if bytes may be taken now.
    [[nodiscard]] bool is_ready() const noexcept {
        return !is_limited() || balance_ >= 0;
    }

    /// Returns the time from which `is_ready` will be true.
    [[nodiscard]] instant ready_at() const noexcept {
        if (is_ready())
            return updated_at_;
        return updated_at_ +
               std::chrono::ceil<microseconds>(
                   std::chrono::duration<double>(-balance_ / rate_));
    }

    // ---- Modifiers ---------------------------------------------------------

    /// Sets the rate in bytes per second (0: unlimited) and the maximum
    /// balance in bytes.
    void set_rate(std::uint64_t bytes_per_second,
                  std::uint64_t burst_bytes) noexcept {
        rate_ = static_cast<double>(bytes_per_second);
        burst_ = static_cast<double>(burst_bytes);
        balance_ = std::min(balance_, burst_);
    }

    /// Adds the bytes that the rate allows for the time until `now`.
    void advance(instant now) noexcept {
        if (now <= updated_at_)
            return;
        const std::chrono::duration<double> elapsed = now - updated_at_;
        balance_ = std::min(burst_, balance_ + rate_ * elapsed.count());
        updated_at_ = now;
    }

    /// Subtracts `bytes` from the balance, which may become negative.
    void take(std::uint64_t bytes) noexcept {
        balance_ -= static_cast<double>(bytes);
    }

    /// Returns `bytes` that were taken but not used to the balance.
    void give_back(std::uint64_t bytes) noexcept {
        balance_ = std::min(burst_, balance_ + static_cast<double>(bytes));
    }

  private:
    double rate_ = 0;
    double burst_ = 0;
    double balance_ = 0;
    instant updated_at_{};
};

} // namespace ospreystage
