#pragma once

#include <ospreystage/core/clock.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>

namespace ospreystage {

/// End of a server, as one entry saw it.
struct server_end {
    std::uint64_t server = 0; ///< Hash of the server's id.
    /// Start of the server's process, as listed when the request was sent
    /// there; 0: unknown.
    std::int64_t started_unix_ms = 0;
    instant sent{}; ///< When the request was sent there.
    instant at{};   ///< When its answer broke off.
};

/// Tells the ends of servers under one request from reports of the same end.
///
/// A server that keeps its id ends again only after it has started again:
/// under a later start, and under a request sent after its last end. Entries
/// may hold different starts of a server at its end, or see it end late, so
/// neither of the two is enough by itself.
class crash_series {
  public:
    /// Adds an end; the ends are added in the order of their times. Returns
    /// false if it may be one that was added before.
    bool add(const server_end& end);

    [[nodiscard]] std::size_t size() const noexcept { return size_; }

  private:
    struct last_end {
        std::int64_t started_unix_ms = 0;
        instant at{};
    };

    absl::flat_hash_map<std::uint64_t, last_end> last_; ///< By server.
    std::size_t size_ = 0;
};

/// The ends of servers under a request, beside those without it.
struct crash_sample {
    std::size_t crashes = 0;
    milliseconds exposure{}; ///< Time at these servers, of all its attempts.
    std::size_t other_crashes = 0; ///< Of the service, without the request.
    /// Time for which servers of the service were up while the other crashes
    /// were counted, of all servers together.
    milliseconds server_time{};
};

/// Returns an upper bound of the probability that a request which ends no
/// server meets this many ends in its time at servers, if each server of the
/// service ends as often as without it. May exceed 1.
[[nodiscard]] double chance_bound(const crash_sample& sample);

} // namespace ospreystage
