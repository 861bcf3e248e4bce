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

/// Requests of peers that wait for the link, served one at a time.
///
/// Versions of a higher priority go first. Within a version, requests go in
/// order of arrival, but a chunk that was sent often lets later ones pass, so
/// that new chunks spread first and no request waits for ever.
class upload_queue {
  public:
    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool empty() const noexcept { return pending_.empty(); }
    [[nodiscard]] std::size_t size() const noexcept { return pending_.size(); }

    // ---- Modifiers ---------------------------------------------------------

    /// Adds a request; a repeat of a waiting one replaces it.
    void push(serve_chunk request);

    /// Takes the request to serve next.
    [[nodiscard]] std::optional<serve_chunk> pop();

    /// Drops the requests of a peer.
    void drop_peer(const std::string& peer);

    /// Drops the requests for a version and its counts.
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
