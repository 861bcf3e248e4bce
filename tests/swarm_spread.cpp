#include <catch2/catch.hpp>
#include <tests/support/swarm_experiment.hpp>

using namespace ospreystage;
using namespace ospreystage::support;

// The bounds are those that the users set for complete processes; these tests
// run the decision logic alone over simulated links. Board allows four copies
// from the origin, Tokachi one.

namespace {

constexpr double four_copies_max_ratio = 1.25;
constexpr double four_copies_max_origin_copies = 4;
constexpr double one_copy_max_ratio = 1.5;
constexpr double one_copy_max_origin_copies = 1.05;
constexpr double max_faulty_ratio = 2;
constexpr double max_faulty_copies = 1.25;
/// A chunk enters each of the two other data centres about once.
constexpr double max_remote_copies = 3;

swarm_scenario scenario_of(std::uint32_t members, bool shared_directions,
                           std::uint32_t origin_copies) {
    swarm_scenario scenario;
    scenario.members = members;
    scenario.shared_directions = shared_directions;
    scenario.strategy = rendezvous_strategy{origin_copies};
    return scenario;
}

/// A new version at a deployment whose agents' links are hardly faster than the
/// origin's; agents get the manifest one after the other.
swarm_scenario publication(std::uint32_t members) {
    swarm_scenario scenario = scenario_of(members, false, 1);
    scenario.chunks = 48;
    scenario.chunk_bytes = 49'152;
    scenario.rates = link_rates{1'125'000, 1'175'000, 0.8};
    scenario.strategy = rendezvous_strategy{1, 24};
    scenario.options.max_origin_requests = 1;
    scenario.manifest_spacing = milliseconds(5);
    scenario.is_new_version = true;
    scenario.max_origin_connections = 48;
    return scenario;
}

void check_complete(const swarm_measurement& result) {
    CAPTURE(result.time_ratio, result.origin_copies, result.remote_copies);
    CHECK(result.completed == result.survivors);
}

/// A copy takes 2,097 ms on the origin's link and 2,008 ms on an agent's.
constexpr milliseconds publication_limit{4105};
constexpr int max_publication_percent = 115;
/// An origin that fails this long after a publication has sent every chunk.
constexpr milliseconds max_origin_time{2400};

void check_publication(std::uint32_t members) {
    const auto seed = GENERATE(1U, 2U, 3U);
    swarm_scenario scenario = publication(members);
    scenario.seed = seed;
    const auto result = run_experiment(scenario);
    CAPTURE(members, seed, result.origin_time, result.time);
    check_complete(result);
    CHECK(result.origin_copies <= one_copy_max_origin_copies);
    CHECK(result.origin_time <= max_origin_time);
    CHECK(result.time <= publication_limit * max_publication_percent / 100);
}

swarm_measurement run_outage(std::uint32_t members, std::uint32_t seed) {
    swarm_scenario scenario = publication(members);
    scenario.seed = seed;
    scenario.outage = origin_outage{milliseconds(1500), milliseconds(7500)};
    return run_experiment(scenario);
}

} // namespace

TEST_CASE("swarm_spread - four origin copies: near the limit of the links") {
    const auto members = GENERATE(8U, 24U, 72U);
    const bool shared = GENERATE(false, true);
    const auto result = run_experiment(scenario_of(members, shared, 4));
    CAPTURE(members, shared);
    check_complete(result);
    CHECK(result.time_ratio <= four_copies_max_ratio);
    CHECK(result.origin_copies <= four_copies_max_origin_copies);
    CHECK(result.remote_copies <= max_remote_copies);
}

TEST_CASE("swarm_spread - one origin copy: close to one copy is read") {
    const auto members = GENERATE(8U, 24U, 72U);
    const bool shared = GENERATE(false, true);
    const auto result = run_experiment(scenario_of(members, shared, 1));
    CAPTURE(members, shared);
    check_complete(result);
    CHECK(result.time_ratio <= one_copy_max_ratio);
    CHECK(result.origin_copies <= one_copy_max_origin_copies);
    CHECK(result.remote_copies <= max_remote_copies);
}

TEST_CASE("swarm_spread - one origin copy: kills, stalls and corrupt chunks") {
    const auto members = GENERATE(24U, 72U);
    const bool shared = GENERATE(false, true);
    const auto seed = GENERATE(1U, 2U, 3U);
    swarm_scenario scenario = scenario_of(members, shared, 1);
    scenario.seed = seed;
    scenario.killed = members / 10;
    scenario.stalled = members / 10;
    scenario.corrupt_per_mille = 10;
    const auto result = run_experiment(scenario);
    CAPTURE(members, shared, seed);
    check_complete(result);
    CHECK(result.counters.corrupt > 0);
    CHECK(result.time_ratio <= max_faulty_ratio);
    CHECK(result.origin_copies <= max_faulty_copies);
}

TEST_CASE("swarm_spread - completes after the origin served one copy") {
    const auto members = GENERATE(8U, 72U);
    swarm_scenario scenario = scenario_of(members, false, 1);
    scenario.origin_copies_available = 1;
    const auto result = run_experiment(scenario);
    check_complete(result);
    CHECK(result.origin_copies <= 1);
}

TEST_CASE("swarm_spread - faster than direct reads and than a tree") {
    const auto members = GENERATE(8U, 24U);
    const auto result = run_experiment(scenario_of(members, false, 1));
    swarm_scenario baseline = scenario_of(members, false, 1);
    baseline.strategy = direct_strategy{};
    const auto direct = run_experiment(baseline);
    baseline.strategy = tree_strategy{};
    const auto tree = run_experiment(baseline);
    CAPTURE(members, direct.time_ratio, tree.time_ratio);
    check_complete(result);
    check_complete(direct);
    check_complete(tree);
    CHECK(direct.origin_copies == Approx(members));
    CHECK(result.time_ratio < direct.time_ratio);
    CHECK(result.time_ratio < tree.time_ratio);
}

TEST_CASE("swarm_spread - control bytes stay flat from 270 to 600 members") {
    swarm_scenario scenario = scenario_of(270, false, 1);
    scenario.chunks = 64;
    const auto smaller = run_experiment(scenario);
    scenario.members = 600;
    const auto larger = run_experiment(scenario);
    CAPTURE(smaller.control_bytes_per_second, larger.control_bytes_per_second);
    check_complete(smaller);
    check_complete(larger);
    CHECK(larger.control_bytes_per_second <=
          1.2 * smaller.control_bytes_per_second);
}

// Guards against readers that leave the origin's link idle: by waiting for
// announcements of a version that nobody can have, or because only some of the
// readers that the settings state are chosen.
TEST_CASE("swarm_spread - a new version leaves the origin without gaps") {
    check_publication(GENERATE(20U, 60U));
}

// The same where many agents share the first chunks.
TEST_CASE("swarm_spread - a new version for 270 agents leaves the origin "
          "without gaps") {
    check_publication(270);
}

// Guards against backoffs and long timeouts that keep readers from an origin
// that is back.
TEST_CASE("swarm_spread - the rest of a version is read when the origin is "
          "back") {
    const auto members = GENERATE(20U, 60U);
    const auto seed = GENERATE(1U, 2U, 3U);
    const auto result = run_outage(members, seed);
    CAPTURE(members, seed, result.resume_time);
    check_complete(result);
    CHECK(result.resume_time <= milliseconds(100));
}

// Guards against reads that an outage of the origin makes useless.
TEST_CASE("swarm_spread - an outage of the origin repeats nothing") {
    const auto members = GENERATE(20U, 60U);
    const auto seed = GENERATE(1U, 2U, 3U);
    const auto result = run_outage(members, seed);
    CAPTURE(members, seed, result.origin_time);
    CHECK(result.origin_copies <= one_copy_max_origin_copies);
}
