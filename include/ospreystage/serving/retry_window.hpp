#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstdint>
#include <deque>

namespace ospreystage {

/// Limits the retries of one service.
///
/// All entries share one budget: over any window, a ratio of the requests plus
/// a fixed allowance. Each entry uses the ratio of its own requests and an
/// equal share of the allowance.
class retry_window {
  public:
    struct options {
        double ratio = 0.1;   ///< Retries per request.
        double allowance = 0; ///< Further retries of all entries.
        milliseconds window{10'000};
    };

    explicit retry_window(const options& limits);

    /// Replaces the limits; recorded requests and retries still count.
    void set_limits(const options& limits) noexcept { limits_ = limits; }

    /// Records a request.
    void on_request(instant now);

    /// Returns true if `spend` would consume a retry.
    [[nodiscard]] bool has_budget(std::uint32_t entries, instant now);

    /// Consumes one retry; returns false if the budget is spent. `entries` is
    /// the number of entries that share it.
    [[nodiscard]] bool spend(std::uint32_t entries, instant now);

  private:
    void drop_expired(instant now);

    options limits_;
    std::deque<instant> requests_;
    std::deque<instant> retries_;
};

} // namespace ospreystage
