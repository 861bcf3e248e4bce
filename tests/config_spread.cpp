#include <ospreystage/rollout/config_register.hpp>

#include <catch2/catch.hpp>
#include <tests/support/register_group.hpp>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

const std::vector<std::string> three_witnesses = {"w1", "w2", "w3"};

revision held_at(const config_register& node, const std::string& witness) {
    for (const held_revision& item : node.held()) {
        if (item.witness.name == witness)
            return item.number;
    }
    return 0;
}

/// Returns three witnesses and two agents that have all read an empty key from
/// the platform.
register_group started_group() {
    register_group all;
    for (const char* name : {"w1", "w2", "w3"})
        all.add(name, process_role::entry, three_witnesses);
    for (const char* name : {"a1", "a2"})
        all.add(name, process_role::agent, three_witnesses);
    for (const char* name : {"w1", "w2", "w3", "a1", "a2"})
        all.apply(name, all.at(name).on_platform_read("", all.now));
    return all;
}

} // namespace

TEST_CASE("config_spread - nothing is in force before the first acceptance") {
    register_group all = started_group();
    all.gossip();
    CHECK(all.at("w1").recovered());
    CHECK(all.count_in_force(0) == 5);
}

TEST_CASE("config_spread - an accepted document is in force everywhere") {
    register_group all = started_group();
    all.apply("w2", all.at("w2").on_accepted(json_of(1)));
    all.gossip();
    all.gossip();
    CHECK(all.count_in_force(1) == 5);
}

TEST_CASE("config_spread - a cluster with one witness works") {
    register_group all;
    all.add("w1", process_role::entry, {"w1"});
    all.add("a1", process_role::agent, {"w1"});
    all.apply("a1", all.at("a1").tick(all.now));
    CHECK_FALSE(all.at("a1").recovered()); // the witness itself is unrecovered
    all.apply("w1", all.at("w1").on_platform_read(json_of(3), all.now));
    CHECK(in_force(all.at("w1")) == 3);
    all.gossip();
    all.gossip();
    CHECK(all.at("a1").recovered());
    CHECK(in_force(all.at("a1")) == 3);
}

TEST_CASE("config_spread - the revision in force never decreases") {
    register_group all = started_group();
    for (const revision number : {1U, 2U, 3U})
        all.apply("w1", all.at("w1").on_accepted(json_of(number)));
    all.gossip();
    REQUIRE(all.count_in_force(3) == 5);
    all.apply("a1", all.at("a1").on_platform_read(json_of(2), all.now));
    all.apply("a1", all.at("a1").receive(push_of("a2", 1), all.now));
    all.apply("a1", all.at("a1").on_platform_read("", all.now));
    CHECK(in_force(all.at("a1")) == 3);
    CHECK(all.at("a1").document() == 3);
}

TEST_CASE("config_spread - gossip delivers a push that some peers missed") {
    register_group all = started_group();
    all.passes = [](const std::string&, const std::string& to) {
        return to != "a2";
    };
    all.apply("w1", all.at("w1").on_accepted(json_of(1)));
    CHECK(all.at("a2").document() == 0);
    all.passes = [](const std::string&, const std::string&) { return true; };
    all.gossip();
    all.gossip();
    CHECK(all.count_in_force(1) == 5);
}

TEST_CASE("config_spread - a node restarts without state while the "
          "platform is down and its nearest peer is outdated") {
    register_group all = started_group();
    all.apply("w1", all.at("w1").on_accepted(json_of(1)));
    all.gossip();
    // Revision 2 reaches every process but a2, the nearest peer of a1.
    all.passes = [](const std::string& from, const std::string& to) {
        return from != "a2" && to != "a2";
    };
    all.apply("w1", all.at("w1").on_accepted(json_of(2)));
    all.gossip();
    REQUIRE(in_force(all.at("a1")) == 2);
    REQUIRE(in_force(all.at("a2")) == 1);

    all.add("a1", process_role::agent, three_witnesses, 2);
    all.passes = [](const std::string& from, const std::string& to) {
        return (from == "a1" && to == "a2") || (from == "a2" && to == "a1");
    };
    for (int round = 0; round < 5; ++round)
        all.gossip();
    CHECK(all.at("a1").document() <= 1);
    CHECK(in_force(all.at("a1")) == 0); // must not fall back to revision 1

    all.passes = [](const std::string&, const std::string& to) {
        return to != "w2"; // a majority is enough
    };
    for (int round = 0; round < 3; ++round)
        all.gossip();
    CHECK(in_force(all.at("a1")) == 2);
}

TEST_CASE("config_spread - a restarted witness reports nothing before a "
          "majority of recovered witnesses has replied") {
    register_group all = started_group();
    all.apply("w1", all.at("w1").on_accepted(json_of(1)));
    all.gossip();
    all.add("w3", process_role::entry, three_witnesses, 2);
    all.passes = [](const std::string& from, const std::string& to) {
        return from != "w2" && to != "w2";
    };
    for (int round = 0; round < 3; ++round)
        all.gossip();
    CHECK_FALSE(all.at("w3").recovered());
    CHECK(held_at(all.at("w3"), "w3") == 0);
    CHECK(in_force(all.at("w3")) == 0);
    // An unrecovered witness does not count for another starting process.
    all.add("a1", process_role::agent, three_witnesses, 2);
    for (int round = 0; round < 3; ++round)
        all.gossip();
    CHECK_FALSE(all.at("a1").recovered());

    all.passes = [](const std::string&, const std::string&) { return true; };
    for (int round = 0; round < 3; ++round)
        all.gossip();
    CHECK(all.at("w3").recovered());
    CHECK(held_at(all.at("w3"), "w3") == 1);
    CHECK(all.count_in_force(1) == 5);
}

TEST_CASE("config_spread - an entry isolated for a minute catches up") {
    register_group all = started_group();
    all.apply("w1", all.at("w1").on_accepted(json_of(1)));
    all.gossip();
    all.passes = [](const std::string& from, const std::string& to) {
        return from != "w3" && to != "w3";
    };
    for (const revision number : {2U, 3U})
        all.apply("w1", all.at("w1").on_accepted(json_of(number)));
    for (int second = 0; second < 60; ++second)
        all.gossip();
    REQUIRE(in_force(all.at("w3")) == 1);
    all.passes = [](const std::string&, const std::string&) { return true; };
    // w3 pushes its outdated document first.
    all.apply("w3", {push_document{"a1", push_of("w3", 1)}});
    CHECK(in_force(all.at("a1")) == 3);
    all.gossip();
    all.gossip();
    CHECK(all.count_in_force(3) == 5);
}

TEST_CASE("config_spread - a minority side of a partition puts nothing new "
          "in force until it heals") {
    register_group all = started_group();
    all.apply("w1", all.at("w1").on_accepted(json_of(1)));
    all.gossip();
    const auto is_left = [](const std::string& name) {
        return name == "w3" || name == "a2";
    };
    all.passes = [&](const std::string& from, const std::string& to) {
        return is_left(from) == is_left(to);
    };
    // The operator's entry is on the minority side; the platform is reachable.
    all.apply("w3", all.at("w3").on_accepted(json_of(2)));
    for (int round = 0; round < 10; ++round)
        all.gossip();
    CHECK(all.count_in_force(1) == 5);
    all.passes = [](const std::string&, const std::string&) { return true; };
    for (int round = 0; round < 3; ++round)
        all.gossip();
    CHECK(all.count_in_force(2) == 5);
}

TEST_CASE("config_spread - pushes alone reach a fleet of 200") {
    register_group all;
    all.auto_update_peers = false;
    const std::vector<std::string> witnesses = {"e0", "e1", "e2", "e3", "e4"};
    for (int index = 0; index < 8; ++index)
        all.add("e" + std::to_string(index), process_role::entry, witnesses);
    for (int index = 0; index < 192; ++index)
        all.add("a" + std::to_string(index), process_role::agent, witnesses);
    all.update_peers();
    all.apply("e7", all.at("e7").on_accepted(json_of(1)));
    std::size_t reached = 0;
    for (int index = 0; index < 192; ++index)
        reached += all.at("a" + std::to_string(index)).document();
    CAPTURE(reached);
    CHECK(reached > 185); // gossip reaches the rest
}
