#include <ospreystage/core/ids.hpp>
#include <ospreystage/weights/manifest_relay.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace ospreystage {

namespace {

/// Receivers of one agent. Two levels then reach 272 agents of a data centre.
constexpr std::size_t fan_out = 16;
/// Agents of another data centre that a first reader passes the manifest on to.
constexpr std::size_t remote_receivers = 2;
/// Time that a reader is given before the next one takes over.
constexpr milliseconds takeover_delay{250};
/// Agents that take over one after the other; then all further ones read.
constexpr std::size_t max_takeovers = 3;
/// Time between the reads of the further agents. The origin takes a limited
/// number of connections.
constexpr milliseconds read_spacing{5};

} // namespace

manifest_role manifest_role_of(const std::string& key,
                               const std::vector<swarm_member>& members,
                               const std::string& self) {
    std::vector<std::string> names;
    names.reserve(members.size());
    std::map<std::string, std::string> data_centre_of;
    for (const swarm_member& member : members)
        if (data_centre_of.emplace(member.name, member.data_centre).second)
            names.push_back(member.name);
    manifest_role role;
    const auto own = data_centre_of.find(self);
    if (own == data_centre_of.end()) {
        role.read_delay =
            takeover_delay * static_cast<std::int64_t>(max_takeovers);
        return role;
    }
    const auto order = rendezvous_order(key, std::move(names));
    std::map<std::string, std::vector<std::string>> ranked;
    for (const std::string& name : order)
        ranked[data_centre_of.at(name)].push_back(name);
    const std::vector<std::string>& local = ranked.at(own->second);
    const auto rank = static_cast<std::size_t>(
        std::find(local.begin(), local.end(), self) - local.begin());
    role.read_delay = takeover_delay *
                      static_cast<std::int64_t>(std::min(rank, max_takeovers));
    if (rank > max_takeovers) {
        const auto position =
            std::find(order.begin(), order.end(), self) - order.begin();
        role.read_delay += read_spacing * position;
    }
    const std::size_t first = rank * fan_out + 1;
    for (std::size_t next = first; next < first + fan_out; ++next)
        if (next < local.size())
            role.receivers.push_back(local[next]);
    if (rank > 0)
        return role;
    for (const auto& [data_centre, agents] : ranked)
        for (std::size_t next = 0; next < remote_receivers; ++next)
            if (data_centre != own->second && next < agents.size())
                role.receivers.push_back(agents[next]);
    return role;
}

} // namespace ospreystage
