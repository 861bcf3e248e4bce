#include <ospreystage/weights/swarm.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace ospreystage;

namespace {

const std::string self = "agent-1";
const digest version = sha256("first");
const digest other_version = sha256("second");

manifest make_description(std::uint32_t chunks) {
    return make_manifest(std::string(chunks * std::size_t{1000}, 'w'), 1000);
}

std::vector<swarm_member> one_data_centre(std::uint32_t count) {
    std::vector<swarm_member> members;
    for (std::uint32_t index = 0; index < count; ++index)
        members.push_back({"agent-" + std::to_string(index), "dc-0"});
    return members;
}

chunk_bitmap full(std::uint32_t chunks) {
    chunk_bitmap held(chunks);
    held.fill();
    return held;
}

template <typename Action>
std::vector<Action> actions_of(const std::vector<swarm_action>& actions) {
    std::vector<Action> chosen;
    for (const swarm_action& action : actions)
        if (const auto* match = std::get_if<Action>(&action))
            chosen.push_back(*match);
    return chosen;
}

bool is_from(const fetch_chunk& action, const std::string& peer) {
    return action.source == chunk_source(peer_source{peer});
}

bool is_from_origin(const fetch_chunk& action) {
    return std::holds_alternative<origin_source>(action.source);
}

/// One agent with a manually advanced clock.
class fixture {
  public:
    explicit fixture(std::vector<swarm_member> members,
                     const swarm_options& options = {})
        : decisions(options, self) {
        decisions.set_members(std::move(members), now);
        decisions.set_requested({{version, 1}}, now);
    }

    void receive_manifest(std::uint32_t chunks) {
        decisions.on_manifest(version, make_description(chunks), {}, now);
    }

    /// Advances the clock in steps and returns the requests for chunks.
    std::vector<fetch_chunk> advance(milliseconds time) {
        std::vector<fetch_chunk> fetched;
        const instant end = now + time;
        for (; now < end; now += milliseconds(10)) {
            const auto actions = decisions.tick(now);
            for (const auto& action : actions_of<fetch_chunk>(actions))
                fetched.push_back(action);
            for (const auto& action : actions_of<reconnect_peer>(actions))
                reconnected.push_back(action.peer);
        }
        return fetched;
    }

    void finish(const fetch_chunk& action, fetch_outcome outcome) {
        decisions.on_fetched(action.source, action.version, action.index,
                             outcome, now);
    }

    instant now = instant(seconds(100));
    swarm decisions;
    std::vector<std::string> reconnected;
};

} // namespace

TEST_CASE("swarm - a corrupt chunk of a peer is fetched from another one") {
    fixture agent(one_data_centre(3));
    agent.receive_manifest(1);
    agent.decisions.on_have("agent-0", version, full(1), agent.now);
    const auto first = agent.advance(milliseconds(20));
    REQUIRE(first.size() == 1);
    REQUIRE(is_from(first[0], "agent-0"));
    agent.finish(first[0], fetch_outcome::corrupt);
    for (const fetch_chunk& action : agent.advance(milliseconds(500))) {
        CHECK(is_from_origin(action));
        agent.finish(action, fetch_outcome::failed);
    }
    agent.decisions.on_have("agent-2", version, full(1), agent.now);
    const auto second = agent.advance(milliseconds(20));
    REQUIRE(second.size() == 1);
    CHECK(is_from(second[0], "agent-2"));
    CHECK(agent.decisions.counters().corrupt == 1);
    CHECK_FALSE(agent.decisions.complete(version));
    agent.finish(second[0], fetch_outcome::stored);
    CHECK(agent.decisions.complete(version));
}

TEST_CASE("swarm - a corrupt chunk of the origin is read again") {
    fixture agent(one_data_centre(1));
    agent.decisions.set_members({{self, "dc-0"}}, agent.now);
    agent.receive_manifest(1);
    const auto first = agent.advance(milliseconds(500));
    REQUIRE(first.size() == 1);
    REQUIRE(is_from_origin(first[0]));
    agent.finish(first[0], fetch_outcome::corrupt);
    const auto second = agent.advance(milliseconds(1000));
    REQUIRE(second.size() == 1);
    CHECK(is_from_origin(second[0]));
    CHECK_FALSE(agent.decisions.complete(version));
}

TEST_CASE("swarm - a request to a peer that fails goes to another one") {
    fixture agent(one_data_centre(3));
    agent.receive_manifest(1);
    agent.decisions.on_have("agent-0", version, full(1), agent.now);
    REQUIRE(agent.advance(milliseconds(20)).size() == 1);
    agent.decisions.on_have("agent-2", version, full(1), agent.now);
    agent.decisions.on_peer_down("agent-0", agent.now);
    const auto second = agent.advance(milliseconds(20));
    REQUIRE(second.size() == 1);
    CHECK(is_from(second[0], "agent-2"));
}

TEST_CASE("swarm - a stalled peer is avoided after the stall timeout") {
    fixture agent(one_data_centre(3));
    agent.receive_manifest(1);
    agent.decisions.on_have("agent-0", version, full(1), agent.now);
    REQUIRE(agent.advance(milliseconds(20)).size() == 1);
    CHECK(agent.advance(milliseconds(900)).empty());
    CHECK(agent.reconnected.empty());
    agent.advance(milliseconds(200));
    CHECK(agent.reconnected == std::vector<std::string>{"agent-0"});
    agent.decisions.on_have("agent-2", version, full(1), agent.now);
    const auto next = agent.advance(milliseconds(3000));
    REQUIRE_FALSE(next.empty());
    CHECK(std::all_of(next.begin(), next.end(), [](const auto& action) {
        return is_from(action, "agent-2");
    }));
}

TEST_CASE("swarm - chunks come from peers when the origin is unreachable") {
    fixture agent(one_data_centre(2));
    agent.receive_manifest(4);
    auto reads = agent.advance(milliseconds(400));
    for (const fetch_chunk& action : reads)
        agent.finish(action, fetch_outcome::failed);
    agent.decisions.on_have("agent-0", version, full(4), agent.now);
    for (int round = 0; round < 20; ++round)
        for (const fetch_chunk& action : agent.advance(milliseconds(100)))
            agent.finish(action, is_from_origin(action)
                                     ? fetch_outcome::failed
                                     : fetch_outcome::stored);
    CHECK(agent.decisions.complete(version));
    CHECK(agent.decisions.counters().from_peers == 4);
}

TEST_CASE("swarm - a replaced version stops at once") {
    fixture agent(one_data_centre(3));
    agent.receive_manifest(8);
    agent.decisions.on_have("agent-0", version, full(8), agent.now);
    const auto first = agent.advance(milliseconds(20));
    REQUIRE_FALSE(first.empty());
    agent.finish(first[0], fetch_outcome::stored);
    agent.decisions.set_requested({{other_version, 1}}, agent.now);
    agent.finish(first.back(), fetch_outcome::stored);
    CHECK(agent.advance(milliseconds(3000)).empty());
    CHECK(agent.reconnected.empty());
    CHECK(agent.decisions.held(version).count() == 0);
    agent.decisions.on_request("agent-2", 1, version, first[0].index);
    CHECK(actions_of<refuse_chunk>(agent.decisions.tick(agent.now)).size() ==
          1);
}

TEST_CASE("swarm - the version of the highest priority is fetched first") {
    fixture agent(one_data_centre(3));
    agent.decisions.set_requested({{version, 1}, {other_version, 9}},
                                  agent.now);
    agent.receive_manifest(32);
    agent.decisions.on_manifest(other_version, make_description(4), {},
                                agent.now);
    for (const std::string peer : {"agent-0", "agent-2"}) {
        agent.decisions.on_have(peer, version, full(32), agent.now);
        agent.decisions.on_have(peer, other_version, full(4), agent.now);
    }
    std::vector<digest> order;
    for (int round = 0; round < 40; ++round)
        for (const fetch_chunk& action : agent.advance(milliseconds(10))) {
            order.push_back(action.version);
            agent.finish(action, fetch_outcome::stored);
        }
    REQUIRE(order.size() == 36);
    CHECK(std::count(order.begin(), order.begin() + 4, other_version) == 4);
}

TEST_CASE("swarm - a chunk that its reader cannot read is read by another one "
          "in time for a recovery") {
    constexpr std::uint32_t chunks = 32;
    constexpr seconds recovery_time{12};
    fixture agent(one_data_centre(2));
    agent.receive_manifest(chunks);
    // The other reader announces itself, but gets nothing from the origin.
    const chunk_bitmap none(chunks);
    const instant start = agent.now;
    while (!agent.decisions.complete(version) &&
           agent.now - start < recovery_time) {
        agent.decisions.on_have("agent-0", version, none, agent.now);
        for (const fetch_chunk& action : agent.advance(milliseconds(100)))
            agent.finish(action, fetch_outcome::stored);
    }
    REQUIRE(agent.decisions.complete(version));
    // Staging and loading take the rest.
    CHECK(agent.now - start < recovery_time / 2);
}

TEST_CASE("swarm - readers whose chunks arrive one after the other do not read "
          "those of each other") {
    constexpr std::uint32_t chunks = 32;
    fixture agent(one_data_centre(2));
    agent.receive_manifest(chunks);
    std::uint32_t reads = 0;
    const auto run = [&](milliseconds time) {
        for (const fetch_chunk& action : agent.advance(time)) {
            reads += is_from_origin(action) ? 1 : 0;
            agent.finish(action, fetch_outcome::stored);
        }
    };
    for (int round = 0; round < 100; ++round) {
        agent.decisions.on_have("agent-0", version, chunk_bitmap(chunks),
                                agent.now);
        run(milliseconds(20));
    }
    const std::uint32_t own = reads;
    REQUIRE(own > 0);
    REQUIRE(own < chunks);
    // The other reader is four times slower than this one was.
    chunk_bitmap held(chunks);
    for (std::uint32_t index = 0; index < chunks; ++index) {
        if (agent.decisions.held(version).test(index))
            continue;
        held.set(index);
        agent.decisions.on_have("agent-0", version, held, agent.now);
        run(milliseconds(500));
    }
    CHECK(agent.decisions.complete(version));
    CHECK(reads == own);
}

TEST_CASE("swarm - every chunk has a reader while agents are listed twice") {
    constexpr std::uint32_t chunks = 32;
    // Shorter than the time after which readers replace silent ones.
    constexpr milliseconds duration{1000};
    const auto members = one_data_centre(6);
    std::set<std::uint32_t> read;
    for (const swarm_member& own : members) {
        auto listed = members;
        for (const swarm_member& other : members)
            if (other.name != own.name)
                listed.push_back(other);
        swarm decisions({}, own.name);
        instant now(seconds(100));
        const instant end = now + duration;
        decisions.set_members(listed, now);
        decisions.set_requested({{version, 1}}, now);
        decisions.on_manifest(version, make_description(chunks), {}, now);
        for (; now < end; now += milliseconds(10)) {
            const auto actions = decisions.tick(now);
            for (const auto& action : actions_of<fetch_chunk>(actions)) {
                read.insert(action.index);
                decisions.on_fetched(action.source, version, action.index,
                                     fetch_outcome::stored, now);
            }
        }
    }
    CHECK(read.size() == chunks);
}

TEST_CASE("swarm - a version that the origin no longer has does not hold back "
          "a newer one") {
    fixture agent(one_data_centre(1));
    agent.decisions.set_members({{self, "dc-0"}}, agent.now);
    agent.decisions.set_requested({{version, 9}, {other_version, 1}},
                                  agent.now);
    agent.receive_manifest(4);
    agent.decisions.on_manifest(other_version, make_description(4), {},
                                agent.now);
    int refused = 0;
    for (int round = 0; round < 100; ++round)
        for (const fetch_chunk& action : agent.advance(milliseconds(20))) {
            const bool is_gone = action.version == version;
            refused += is_gone ? 1 : 0;
            agent.finish(action,
                         is_gone ? fetch_outcome::gone : fetch_outcome::stored);
        }
    CHECK(agent.decisions.complete(other_version));
    CHECK(refused <= 1);
}

TEST_CASE("swarm - never requests more than the budget of the link") {
    fixture agent(one_data_centre(3));
    agent.decisions.set_budget({10'000, false}, agent.now);
    agent.receive_manifest(200);
    agent.decisions.on_have("agent-0", version, full(200), agent.now);
    agent.decisions.on_have("agent-2", version, full(200), agent.now);
    std::uint64_t bytes = 0;
    for (int round = 0; round < 200; ++round)
        for (const fetch_chunk& action : agent.advance(milliseconds(10))) {
            bytes += action.bytes;
            agent.finish(action, fetch_outcome::stored);
        }
    CHECK(bytes <= 2 * 10'000 + 2 * 1000);
    CHECK(bytes >= 2 * 10'000 - 2 * 1000);
}

TEST_CASE("swarm - a lowered budget applies immediately") {
    fixture agent(one_data_centre(3));
    agent.decisions.set_budget({100'000, false}, agent.now);
    agent.receive_manifest(400);
    agent.decisions.on_have("agent-0", version, full(400), agent.now);
    agent.decisions.on_have("agent-2", version, full(400), agent.now);
    agent.decisions.set_budget({10'000, false}, agent.now);
    std::uint64_t bytes = 0;
    for (int round = 0; round < 100; ++round)
        for (const fetch_chunk& action : agent.advance(milliseconds(10))) {
            bytes += action.bytes;
            agent.finish(action, fetch_outcome::stored);
        }
    CHECK(bytes <= 10'000 + 2 * 1000);
}

TEST_CASE("swarm - uploads keep to the budget and refuse when it is full") {
    fixture agent(one_data_centre(20));
    agent.decisions.set_budget({10'000, false}, agent.now);
    agent.decisions.on_manifest(version, make_description(8), full(8),
                                agent.now);
    std::size_t served = 0;
    std::size_t refused = 0;
    for (int step = 0; step < 100; ++step) {
        for (int peer = 2; peer < 8; ++peer)
            agent.decisions.on_request("agent-" + std::to_string(peer), 1,
                                       version, 0);
        const auto actions = agent.decisions.tick(agent.now);
        served += actions_of<serve_chunk>(actions).size();
        refused += actions_of<refuse_chunk>(actions).size();
        agent.now += milliseconds(10);
    }
    CHECK(served <= 12);
    CHECK(served >= 9);
    CHECK(refused > 0);
}

TEST_CASE("swarm - completes despite a peer that sends nothing") {
    fixture agent(one_data_centre(4));
    agent.receive_manifest(16);
    for (const std::string peer : {"agent-0", "agent-2", "agent-3"})
        agent.decisions.on_have(peer, version, full(16), agent.now);
    for (int round = 0; round < 300; ++round)
        for (const fetch_chunk& action : agent.advance(milliseconds(10)))
            if (!is_from(action, "agent-0"))
                agent.finish(action, fetch_outcome::stored);
    CHECK(agent.decisions.complete(version));
    CHECK(agent.decisions.counters().timeouts >= 1);
}
