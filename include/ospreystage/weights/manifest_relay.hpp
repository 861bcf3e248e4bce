#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/requests/chunk_assignment.hpp>

#include <string>
#include <vector>

namespace ospreystage {

/// Part of one agent in passing on the manifest of one version.
struct manifest_role {
    /// Time after which the agent reads the manifest from the origin if it has
    /// none by then.
    milliseconds read_delay{};
    /// Agents to which it passes on the manifest as soon as it has it.
    std::vector<std::string> receivers;
};

/// Returns the role of `self` for the version that `key` names.
///
/// The agents of each data centre are ordered by the rendezvous hash of `key`.
/// The first one reads from the origin at once, and the manifest travels down a
/// tree in that order. The others read one after the other if it does not
/// arrive. The first readers also pass it on to the first two of the other data
/// centres, where it replaces a reader that has failed. Agents with the same
/// members agree on every role.
[[nodiscard]] manifest_role
manifest_role_of(const std::string& key,
                 const std::vector<swarm_member>& members,
                 const std::string& self);

} // namespace ospreystage
