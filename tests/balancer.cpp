#include <ospreystage/requests/balancer.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>

using namespace ospreystage;

namespace {

balancer_candidate idle_agent(const std::string& name) {
    balancer_candidate value;
    value.agent = name;
    value.capacity = 16;
    return value;
}

std::vector<std::string> names(const std::string& prefix, int count) {
    std::vector<std::string> list;
    list.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        list.push_back(fmt::format("{}-{:03}", prefix, index));
    return list;
}

deployment deployment_with_rule(const std::string& name,
                                const std::string& organisation,
                                std::uint32_t percent) {
    deployment value;
    value.name = name;
    value.service = "pool";
    value.traffic = {{organisation, percent}};
    return value;
}

/// Returns how many of 10000 requests each deployment gets, by name.
std::map<std::string, int> shares(const rollout_document& document,
                                  const std::string& organisation) {
    std::map<std::string, int> count;
    for (std::uint64_t request = 1; request <= 10'000; ++request) {
        const auto chosen =
            choose_deployments(document, "pool", organisation, request);
        if (!chosen.empty())
            ++count[chosen.front()->name];
    }
    return count;
}

} // namespace

TEST_CASE("balancer - no candidates give no choice") {
    balancer value("two_choice", 1);
    CHECK_FALSE(value.choose({}).has_value());
}

TEST_CASE("balancer - an old report counts less than a fresh one") {
    balancer_candidate fresh = idle_agent("a");
    fresh.reported = 8;
    balancer_candidate old = fresh;
    old.age = milliseconds{1500};
    CHECK(load_score(fresh) == Approx(0.5));
    CHECK(load_score(old) == Approx(0.125));
}

TEST_CASE("balancer - own attempts in a report are not counted twice") {
    balancer_candidate value = idle_agent("a");
    value.reported = 6;
    value.outstanding_at_report = 4;
    value.outstanding = 4;
    CHECK(load_score(value) == Approx(6.0 / 16));
    value.outstanding_at_report = 9;
    CHECK(load_score(value) == Approx(4.0 / 16));
}

TEST_CASE(
    "balancer - a cached prefix is preferred unless the agent is loaded") {
    balancer value("two_choice", 1);
    std::vector<balancer_candidate> agents;
    for (const std::string& name : names("vm", 8))
        agents.push_back(idle_agent(name));
    agents[5].has_prefix = true;
    for (int round = 0; round < 20; ++round)
        CHECK(value.choose(agents) == 5);
    agents[5].outstanding = 16;
    for (int round = 0; round < 20; ++round)
        CHECK(value.choose(agents) != 5);
}

TEST_CASE("balancer - two choices avoid the loaded half") {
    balancer value("two_choice", 7);
    std::vector<balancer_candidate> agents;
    for (const std::string& name : names("vm", 10))
        agents.push_back(idle_agent(name));
    for (std::size_t index = 0; index < 5; ++index)
        agents[index].outstanding = 12;
    int loaded = 0;
    for (int round = 0; round < 2000; ++round)
        loaded += *value.choose(agents) < 5 ? 1 : 0;
    CHECK(loaded < 2000 * 30 / 100);
}

TEST_CASE("balancer - round robin takes turns, random reaches all") {
    std::vector<balancer_candidate> agents;
    for (const std::string& name : names("vm", 4))
        agents.push_back(idle_agent(name));
    balancer turns("round_robin", 1);
    for (std::size_t round = 0; round < 8; ++round)
        CHECK(turns.choose(agents) == round % 4);
    balancer any("random", 1);
    std::map<std::size_t, int> seen;
    for (int round = 0; round < 200; ++round)
        ++seen[*any.choose(agents)];
    CHECK(seen.size() == 4);
}

TEST_CASE("balancer - the same seed makes the same choices") {
    std::vector<balancer_candidate> agents;
    for (const std::string& name : names("vm", 16))
        agents.push_back(idle_agent(name));
    balancer one("random", 42);
    balancer two("random", 42);
    for (int round = 0; round < 50; ++round)
        CHECK(one.choose(agents) == two.choose(agents));
}

TEST_CASE("balancer - subsets of all entries cover every agent evenly") {
    const auto entries = names("entry", 8);
    const auto agents = names("vm", 190);
    std::map<std::string, int> covered;
    for (const std::string& entry : entries) {
        const auto subset = agent_subset(entry, entries, agents, 24);
        CHECK(subset.size() == 24);
        for (const std::string& agent : subset)
            ++covered[agent];
    }
    CHECK(covered.size() == agents.size());
    for (const auto& [agent, count] : covered) {
        CHECK(count >= 1);
        CHECK(count <= 2);
    }
}

TEST_CASE("balancer - subsets grow when few entries must cover the agents") {
    const auto entries = names("entry", 2);
    const auto agents = names("vm", 100);
    CHECK(agent_subset("entry-000", entries, agents, 24).size() == 50);
    CHECK(agent_subset("entry-000", entries, names("vm", 5), 24).size() == 5);
    CHECK(agent_subset("unknown", entries, agents, 24).size() == 24);
}

TEST_CASE("balancer - an added agent changes few members of a subset") {
    const auto entries = names("entry", 8);
    const auto before =
        agent_subset("entry-003", entries, names("vm", 190), 24);
    const auto after = agent_subset("entry-003", entries, names("vm", 191), 24);
    std::size_t kept = 0;
    for (const std::string& agent : before)
        kept += std::find(after.begin(), after.end(), agent) != after.end();
    CHECK(kept >= 22);
}

TEST_CASE("balancer - traffic follows the percentages") {
    rollout_document document;
    document.deployments = {deployment_with_rule("new", "*", 10),
                            deployment_with_rule("old", "*", 90)};
    auto count = shares(document, "board");
    CHECK(count["new"] > 800);
    CHECK(count["new"] < 1200);
    CHECK(count["new"] + count["old"] == 10'000);
}

TEST_CASE("balancer - the highest percentage also gets the remainder") {
    rollout_document document;
    document.deployments = {deployment_with_rule("new", "*", 10),
                            deployment_with_rule("old", "*", 30)};
    auto count = shares(document, "board");
    CHECK(count["new"] < 1200);
    CHECK(count["new"] + count["old"] == 10'000);
}

TEST_CASE("balancer - an organisation's own rule overrides the general one") {
    rollout_document document;
    deployment trial = deployment_with_rule("trial", "*", 0);
    trial.traffic.push_back({"board", 100});
    document.deployments = {trial, deployment_with_rule("old", "*", 100)};
    document.deployments.back().traffic.push_back({"board", 0});
    CHECK(shares(document, "board")["trial"] == 10'000);
    CHECK(shares(document, "tokachi")["old"] == 10'000);
}

TEST_CASE("balancer - an organisation without a rule has no deployment") {
    rollout_document document;
    document.deployments = {deployment_with_rule("new", "board", 100)};
    CHECK(choose_deployments(document, "pool", "tokachi", 1).empty());
    CHECK(choose_deployments(document, "other", "board", 1).empty());
}
