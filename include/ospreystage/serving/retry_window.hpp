#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstdint>
#include <deque>

namespace ospreystage {

/// Limits how often requests of one service are sent once more.
///
/// All entries share one budget: over any window, a part of the requests plus
/// a fixed allowance. Each entry takes its own requests' part and an equal
/// share of the allowance.
class retry_window {
  public:
    struct options {
        double ratio = 0.1;   ///< Retries per request.
        double allowance = 0; ///< Retries of all entries beside the ratio.
        milliseconds window{10'000};
    };

    explicit retry_window(const options& limits);

    /// Replaces the limits; what was noted still counts.
    void set_limits(const options& limits) noexcept { limits_ = limits; }

    /// Takes note of a request.
    void on_request(instant now);

    /// Takes one retry; returns false if the budget is spent. `entries` is
    /// the number of processes that share it.
    [[nodiscard]] bool spend(std::uint32_t entries, instant now);

  private:
    void drop_expired(instant now);

    options limits_;
    std::deque<instant> requests_;
    std::deque<instant> retries_;
};

} // namespace ospreystage
