#pragma once

#include <ospreystage/network/messages.hpp>

#include <cstdint>
#include <vector>

namespace ospreystage {

/// Configuration revisions reported by a peer's datagram.
struct revision_report {
    process_id peer;
    revision document = 0; ///< Highest revision that the peer holds.
    std::vector<held_revision> held;
    /// Sequence number of this process's ping that the datagram acknowledges; 0
    /// if the datagram is itself a ping.
    std::uint64_t acked_sequence = 0;
};

} // namespace ospreystage
