#include <ospreystage/requests/chunk_assignment.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace ospreystage;

namespace {

constexpr std::uint32_t chunks = 64;
const digest version = sha256("version");

std::vector<swarm_member> make_members(std::uint32_t count) {
    std::vector<swarm_member> members;
    for (std::uint32_t index = 0; index < count; ++index)
        members.push_back({"agent-" + std::to_string(index),
                           "dc-" + std::to_string(index % 3)});
    return members;
}

chunk_assignment
assign(const std::vector<swarm_member>& members, const std::string& self,
       const distribution_strategy& strategy = rendezvous_strategy{}) {
    return {strategy, members, self, version, chunks};
}

} // namespace

TEST_CASE("chunk assignment - every chunk has one first reader") {
    const auto members = make_members(72);
    std::vector<int> readers(chunks, 0);
    for (const swarm_member& member : members) {
        const chunk_assignment roles = assign(members, member.name);
        for (std::uint32_t index = 0; index < chunks; ++index)
            readers[index] += roles.role(index).origin_rank == 0 ? 1 : 0;
    }
    CHECK(std::all_of(readers.begin(), readers.end(),
                      [](int count) { return count == 1; }));
}

TEST_CASE("chunk assignment - a chunk has one owner in each data centre") {
    const auto members = make_members(72);
    std::map<std::pair<std::string, std::uint32_t>, int> owners;
    for (const swarm_member& member : members) {
        const chunk_assignment roles = assign(members, member.name);
        for (std::uint32_t index = 0; index < chunks; ++index)
            owners[{member.data_centre, index}] +=
                roles.role(index).owner_rank == 0 ? 1 : 0;
    }
    CHECK(std::all_of(owners.begin(), owners.end(),
                      [](const auto& owner) { return owner.second == 1; }));
}

TEST_CASE(
    "chunk assignment - remote owners own the chunk in their data centre") {
    const auto members = make_members(12);
    const chunk_assignment roles = assign(members, "agent-0");
    for (std::uint32_t index = 0; index < chunks; ++index) {
        if (roles.role(index).origin_rank != 0)
            continue;
        const auto owners = roles.remote_owners(index);
        REQUIRE(owners.size() == 2);
        for (const std::string& owner : owners)
            CHECK(assign(members, owner).role(index).owner_rank == 0);
    }
}

TEST_CASE(
    "chunk assignment - removing a member reassigns only its own chunks") {
    const auto members = make_members(24);
    auto fewer = members;
    fewer.erase(fewer.begin() + 5);
    for (const swarm_member& member : fewer) {
        const chunk_assignment before = assign(members, member.name);
        const chunk_assignment after = assign(fewer, member.name);
        for (std::uint32_t index = 0; index < chunks; ++index)
            if (before.role(index).owner_rank == 0)
                CHECK(after.role(index).owner_rank <= 1);
    }
}

TEST_CASE(
    "chunk assignment - the number of neighbours is bounded at 600 members") {
    const auto members = make_members(600);
    const chunk_assignment roles = assign(members, "agent-17");
    CHECK(roles.neighbours().size() == 24);
    const auto local = std::count_if(
        roles.neighbours().begin(), roles.neighbours().end(),
        [&](const std::string& peer) { return roles.is_local(peer); });
    CHECK(local == 18);
}

TEST_CASE("chunk assignment - direct reads everything from the origin") {
    const auto members = make_members(6);
    const chunk_assignment roles =
        assign(members, "agent-3", direct_strategy{});
    CHECK(roles.neighbours().empty());
    CHECK(roles.role(7).origin_rank == 0);
    CHECK_FALSE(roles.may_fetch_from("agent-1"));
}

TEST_CASE(
    "chunk assignment - a tree has one root and fetches from the parent only") {
    const auto members = make_members(7);
    int roots = 0;
    for (const swarm_member& member : members) {
        const chunk_assignment roles =
            assign(members, member.name, tree_strategy{2});
        const auto sources = std::count_if(
            members.begin(), members.end(), [&](const swarm_member& peer) {
                return peer.name != member.name &&
                       roles.may_fetch_from(peer.name);
            });
        const bool is_root = roles.role(0).origin_rank == 0;
        roots += is_root ? 1 : 0;
        CHECK(sources == (is_root ? 0 : 1));
    }
    CHECK(roots == 1);
}
