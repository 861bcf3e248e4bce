#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/ids.hpp>
#include <ospreystage/requests/chunk_assignment.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Share of the link that distribution may use.
struct link_budget {
    /// Bytes per second in each direction, or in total if both directions share
    /// the link; 0: unlimited.
    std::uint64_t bytes_per_second = 0;
    bool shared_directions = false;
    friend bool operator==(const link_budget&, const link_budget&) = default;
};

/// Limits and timeouts of `swarm`.
struct swarm_options {
    distribution_strategy strategy = rendezvous_strategy{};
    std::uint64_t seed = 1; ///< Breaks ties; differs from agent to agent.

    std::uint32_t max_requests = 8;          ///< Outstanding to peers.
    std::uint32_t max_requests_per_peer = 2; ///< Outstanding to one peer.
    std::uint32_t max_origin_requests = 1;   ///< Outstanding to the origin.
    /// Bytes outstanding to peers; bounds the memory used by replies.
    std::uint64_t max_request_bytes = 4 * 1024 * 1024;
    std::uint32_t max_uploads_queued = 3; ///< Requests from peers.

    milliseconds announce_interval{50};   ///< Between announcements.
    milliseconds keepalive_interval{500}; ///< Between readers.
    milliseconds min_stall_timeout{1000}; ///< Lower bound of the stall timeout.
    milliseconds refusal_backoff{50};     ///< After a peer refused.
    milliseconds failure_backoff{5000}; ///< After a failure; doubles each time.
    milliseconds max_failure_backoff{60'000};
    milliseconds reconnect_backoff{500}; ///< After a connection ended.
    milliseconds origin_backoff{500};    ///< After an origin read went wrong.
    /// After an origin read that got no answer. Bounds how long a chunk that
    /// nobody holds waits for an origin that is back, and each reader to 40
    /// probes a second.
    milliseconds origin_probe_interval{25};
};

/// Source of chunks: a peer by name.
struct peer_source {
    std::string name;
    friend bool operator==(const peer_source&, const peer_source&) = default;
};

/// Source of chunks: the origin.
struct origin_source {
    friend bool operator==(const origin_source&,
                           const origin_source&) = default;
};

using chunk_source = std::variant<peer_source, origin_source>;

/// How a request to a source ended.
enum class fetch_outcome : std::uint8_t {
    stored,  ///< The chunk was checked and stored.
    corrupt, ///< The bytes differ from the manifest.
    refused, ///< The source lacks the chunk or is overloaded.
    failed,  ///< The source is unreachable.
    gone,    ///< The source will never have the chunk again.
};

/// Request a chunk from `source`.
struct fetch_chunk {
    chunk_source source;
    digest version;
    std::uint32_t index = 0;
    std::uint32_t bytes = 0;
    /// The origin failed last time: find out quickly whether it is back.
    bool is_probe = false;
};

/// Request the manifest of a version from `source`.
struct fetch_manifest {
    chunk_source source;
    digest version;
};

/// Announce to `peers` which chunks of a version this agent holds.
struct announce_chunks {
    std::vector<std::string> peers;
    digest version;
};

/// Send a chunk to a peer that requested it.
struct serve_chunk {
    std::string peer;
    std::uint64_t connection = 0; ///< Connection of the request.
    digest version;
    std::uint32_t index = 0;
    std::uint32_t bytes = 0;
    std::uint32_t priority = 0; ///< Of the version; higher goes first.
};

/// Refuse a peer's request for a chunk.
struct refuse_chunk {
    std::string peer;
    std::uint64_t connection = 0;
    digest version;
    std::uint32_t index = 0;
};

/// Reopen the connection to a peer that did not answer in time.
struct reconnect_peer {
    std::string peer;
};

/// Action to be performed by the service that owns the `swarm`.
using swarm_action = std::variant<fetch_chunk, fetch_manifest, announce_chunks,
                                  serve_chunk, refuse_chunk, reconnect_peer>;

/// Counts of events since the start.
struct swarm_counters {
    std::uint64_t from_peers = 0;   ///< Chunks.
    std::uint64_t from_remote = 0;  ///< Chunks from other data centres.
    std::uint64_t from_origin = 0;  ///< Chunks.
    std::uint64_t served = 0;       ///< Chunks.
    std::uint64_t corrupt = 0;      ///< Corrupt chunks received.
    std::uint64_t refused = 0;      ///< Requests that a peer refused.
    std::uint64_t timeouts = 0;     ///< Requests without an answer.
    std::uint64_t duplicates = 0;   ///< Chunks received twice.
    std::uint64_t backup_reads = 0; ///< Origin reads as a backup reader.
};

} // namespace ospreystage
