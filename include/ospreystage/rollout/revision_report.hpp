#pragma once

#include <ospreystage/network/messages.hpp>

#include <cstdint>
#include <vector>

namespace ospreystage {

/// What a peer's datagram tells of the configuration.
struct revision_report {
    process_id peer;
    revision document = 0; ///< Highest revision that the peer has.
    std::vector<held_revision> held;
    /// Sequence of this process's ping that it answers; 0 for a ping.
    std::uint64_t acked_sequence = 0;
};

} // namespace ospreystage
