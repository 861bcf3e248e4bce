#include <ospreystage/weights/manifest_relay.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace ospreystage;

namespace {

std::vector<swarm_member> make_members(std::uint32_t count) {
    std::vector<swarm_member> members;
    for (std::uint32_t index = 0; index < count; ++index)
        members.push_back({"agent-" + std::to_string(index),
                           "region-" + std::to_string(index % 3)});
    return members;
}

/// Returns the agents that get a manifest which `readers` read, while `failed`
/// passes on nothing.
std::set<std::string> reached(const std::vector<swarm_member>& members,
                              const std::vector<std::string>& readers,
                              const std::string& failed) {
    std::set<std::string> held;
    std::vector<std::string> next = readers;
    while (!next.empty()) {
        const std::string name = next.back();
        next.pop_back();
        if (name == failed || !held.insert(name).second)
            continue;
        const auto role = manifest_role_of("7", members, name);
        next.insert(next.end(), role.receivers.begin(), role.receivers.end());
    }
    return held;
}

std::vector<std::string>
first_readers(const std::vector<swarm_member>& members) {
    std::vector<std::string> readers;
    for (const swarm_member& member : members)
        if (manifest_role_of("7", members, member.name).read_delay ==
            milliseconds(0))
            readers.push_back(member.name);
    return readers;
}

} // namespace

// Guards against a manifest that every agent reads from the origin at once.
TEST_CASE("manifest relay - one agent of each region reads and all get it") {
    const auto members = make_members(GENERATE(3U, 20U, 60U, 270U));
    const auto readers = first_readers(members);
    CHECK(readers.size() == 3);
    CHECK(reached(members, readers, "").size() == members.size());
}

// Guards against a region that waits for a reader that has failed.
TEST_CASE("manifest relay - the other regions replace a failed reader") {
    const auto members = make_members(60);
    const auto readers = first_readers(members);
    for (const std::string& failed : readers) {
        const auto held = reached(members, readers, failed);
        const auto is_successor = [&](const swarm_member& member) {
            const auto role = manifest_role_of("7", members, member.name);
            return role.read_delay == milliseconds(250) &&
                   held.contains(member.name);
        };
        CHECK(std::count_if(members.begin(), members.end(), is_successor) == 3);
    }
}

// Guards against a receiver that sends the manifest to many others and thereby
// fills its link.
TEST_CASE("manifest relay - no agent sends more than a few manifests") {
    const auto members = make_members(270);
    for (const swarm_member& member : members)
        CHECK(manifest_role_of("7", members, member.name).receivers.size() <=
              20);
}

TEST_CASE("manifest relay - an agent that is not listed reads later and passes "
          "nothing on") {
    const auto role = manifest_role_of("7", make_members(6), "other");
    CHECK(role.receivers.empty());
    CHECK(role.read_delay == milliseconds(750));
}
