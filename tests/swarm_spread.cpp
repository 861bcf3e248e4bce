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

void check_complete(const swarm_measurement& result) {
    CAPTURE(result.time_ratio, result.origin_copies, result.remote_copies);
    CHECK(result.completed == result.survivors);
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
