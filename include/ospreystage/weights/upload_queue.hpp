#pragma once

#include <ospreystage/weights/swarm_types.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace ospreystage {

/// Queue of peer requests waiting for upload bandwidth, served one at a time.
///
/// Versions of higher priority are served first. Within a version, requests are
/// served in order of arrival, but later requests overtake a request for a
/// chunk that was sent often. New chunks are therefore distributed first, and
/// no request starves.
class upload_queue {
  public:
    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool empty() const noexcept { return pending_.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return pending_.size(); }

    // ---- Modifiers ---------------------------------------------------------

    /// Adds a request; replaces a pending request of the same peer for the same
    /// chunk.
    void push(serve_chunk request);

    /// Removes and returns the request to serve next.
    [[nodiscard]] std::optional<serve_chunk> pop();

    /// Drops the requests of a peer.
    void drop_peer(const std::string& peer);

    /// Drops the requests for a version and its upload counts.
    void drop_version(const digest& version);

  private:
    struct pending_request {
        serve_chunk request;
        std::uint64_t sequence = 0; ///< Order of arrival.
    };

    [[nodiscard]] std::uint32_t times_sent(const serve_chunk& request) const;

    std::deque<pending_request> pending_;
    std::uint64_t next_sequence_ = 0;
    absl::flat_hash_map<std::pair<digest, std::uint32_t>, std::uint32_t> sent_;
};

} // namespace ospreystage
