#pragma once

#include <ospreystage/core/clock.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <random>
#include <utility>

namespace ospreystage {

/// A refused request whose caller is told when to return.
struct return_request {
    std::uint64_t service = 0;
    std::uint64_t organisation = 0;
    std::uint64_t units = 0;
    /// Units a second that this entry is expected to admit of the organisation.
    double rate = 0;
    milliseconds time_left{};  ///< How long the caller will still wait.
    milliseconds time_limit{}; ///< How long it was willing to wait at first.
};

/// Chooses when refused callers return.
///
/// Each organisation's returns are booked into short slots, as many units into
/// each as it is expected to be served in it, so that the callers that return
/// do not meet each other. Those that have waited longest get earlier slots.
class return_schedule {
  public:
    struct options {
        milliseconds slot{50};
        /// Shortest time to return, unless a caller's time is shorter: the
        /// servers' load hardly changes within less.
        milliseconds min_delay{100};
        /// Longest time to return: the shares are not known further ahead.
        milliseconds max_delay{5000};
        /// Part of the caller's time left that a return may take.
        double time_part = 1.0 / 3;
    };

    return_schedule(const options& limits, std::uint64_t seed);

    /// Books the return of a refused request; returns the time until then.
    [[nodiscard]] milliseconds book(const return_request& request, instant now);

  private:
    /// Units booked by slot; the first slot is the one at `begin`.
    struct bookings {
        instant begin{};
        std::deque<double> slots;
    };

    void advance(bookings& booked, instant now) const;

    options limits_;
    std::mt19937_64 random_;
    absl::flat_hash_map<std::pair<std::uint64_t, std::uint64_t>, bookings>
        bookings_;
};

} // namespace ospreystage
