#include <ospreystage/rollout/config_register.hpp>

#include <catch2/catch.hpp>
#include <tests/support/register_group.hpp>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

const std::vector<std::string> three_witnesses = {"w1", "w2", "w3"};

/// Returns witness `name`'s report on itself; `acked_sequence` is that of the
/// query.
revision_report report(const std::string& name, revision number,
                       std::uint64_t acked_sequence = 0,
                       std::uint64_t incarnation = 1) {
    const process_id id{name, incarnation};
    return {id, number, {{id, number}}, acked_sequence};
}

/// Returns the witnesses that `actions` queries.
std::vector<std::string>
queried_witnesses(const config_register::actions& actions) {
    std::vector<std::string> names;
    for (const register_action& action : actions) {
        if (const auto* query = std::get_if<query_witness>(&action))
            names.push_back(query->witness);
    }
    return names;
}

/// Returns an agent that holds revision 2 and has received reports that w1 and
/// w2 hold it too; its queries to them have the sequence numbers 11 and 12.
config_register querying_agent() {
    config_register node({"a1", 1}, process_role::agent, three_witnesses, 1);
    static_cast<void>(node.on_platform_read(json_of(2), instant()));
    static_cast<void>(node.on_revision_report(report("w1", 2), instant()));
    REQUIRE(queried_witnesses(
                node.on_revision_report(report("w2", 2), instant())) ==
            std::vector<std::string>{"w1", "w2"});
    node.on_witness_queried("w1", 11);
    node.on_witness_queried("w2", 12);
    return node;
}

} // namespace

TEST_CASE("config_register - a revision is in force once a majority has "
          "confirmed that it holds it") {
    const instant now{};
    config_register node({"a1", 1}, process_role::agent, three_witnesses, 1);
    CHECK(node.on_platform_read(json_of(1), now).empty());
    CHECK(node.on_revision_report(report("w1", 1), now).empty());
    // Holding a higher revision counts as well.
    CHECK(queried_witnesses(node.on_revision_report(report("w2", 4), now))
              .size() == 2);
    CHECK(in_force(node) == 0);
    node.on_witness_queried("w1", 11);
    node.on_witness_queried("w2", 12);
    CHECK(queried_witnesses(node.on_revision_report(report("w1", 1, 11), now))
              .empty());
    CHECK(in_force(node) == 0);
    const auto actions = node.on_revision_report(report("w2", 4, 12), now);
    CHECK(in_force(node) == 1);
    bool is_announced = false;
    for (const register_action& action : actions)
        is_announced =
            is_announced || std::holds_alternative<put_in_force>(action);
    CHECK(is_announced);
}

TEST_CASE("config_register - only a reply to the query from the same "
          "incarnation confirms") {
    const instant now{};
    config_register node = querying_agent();
    static_cast<void>(node.on_revision_report(report("w1", 2, 11), now));
    SECTION("the reply to an earlier ping does not") {
        static_cast<void>(node.on_revision_report(report("w2", 2, 10), now));
        CHECK(in_force(node) == 0);
    }
    SECTION("a datagram that is not a reply does not") {
        static_cast<void>(node.on_revision_report(report("w2", 2), now));
        CHECK(in_force(node) == 0);
    }
    SECTION("a restarted witness does not") {
        static_cast<void>(node.on_revision_report(report("w2", 2, 12, 2), now));
        CHECK(in_force(node) == 0);
    }
    SECTION("a witness that reports revision 0 does not") {
        static_cast<void>(node.on_revision_report(report("w2", 0, 12), now));
        CHECK(in_force(node) == 0);
    }
    SECTION("a witness that was not queried does not") {
        static_cast<void>(node.on_revision_report(report("w3", 2, 12), now));
        CHECK(in_force(node) == 0);
    }
    SECTION("the expected reply does") {
        static_cast<void>(node.on_revision_report(report("w2", 2, 12), now));
        CHECK(in_force(node) == 2);
    }
}

TEST_CASE("config_register - a lost query is retried in a new round") {
    const instant now{};
    config_register node = querying_agent();
    static_cast<void>(node.on_revision_report(report("w1", 2, 11), now));
    CHECK(queried_witnesses(node.tick(now + seconds(1))).size() == 2);
    node.on_witness_queried("w1", 21);
    node.on_witness_queried("w2", 22);
    static_cast<void>(node.on_revision_report(report("w2", 2, 22), now));
    CHECK(in_force(node) == 0); // w1 must reply again in the new round
    static_cast<void>(node.on_revision_report(report("w1", 2, 21), now));
    CHECK(in_force(node) == 2);
}

TEST_CASE("config_register - a revision in force elsewhere needs no query") {
    config_register node({"a1", 1}, process_role::agent, three_witnesses, 1);
    static_cast<void>(node.receive(push_of("a2", 2), instant()));
    static_cast<void>(node.on_in_force_elsewhere(2));
    CHECK(in_force(node) == 0); // not recovered
    static_cast<void>(node.on_platform_read(json_of(1), instant()));
    CHECK(in_force(node) == 2);
    static_cast<void>(node.on_in_force_elsewhere(5));
    CHECK(in_force(node) == 2);
}

TEST_CASE("config_register - a revision held by an earlier incarnation of "
          "a witness does not count after it restarts without it") {
    const instant now{};
    config_register w2({"w2", 1}, process_role::entry, three_witnesses, 1);
    config_register w3({"w3", 1}, process_role::entry, three_witnesses, 1);
    for (config_register* node : {&w2, &w3})
        static_cast<void>(node->on_platform_read(json_of(1), now));
    // w1 held revision 2 and reported it only to a1, then restarted without
    // state and recovered from w2 and w3, which did not hold revision 2 yet.
    config_register a1({"a1", 1}, process_role::agent, three_witnesses, 1);
    static_cast<void>(a1.on_platform_read(json_of(2), now));
    static_cast<void>(a1.on_revision_report(report("w1", 2), now));
    config_register w1({"w1", 2}, process_role::entry, three_witnesses, 1);
    for (config_register* node : {&w2, &w3})
        static_cast<void>(w1.receive(node->answer({{"w1", 2}, 0}), now));
    REQUIRE(w1.recovered());
    REQUIRE(w1.document() == 1);
    // w2 receives revision 2: one witness of three holds it.
    static_cast<void>(w2.receive(push_of("a1", 2), now));
    CHECK(
        queried_witnesses(a1.on_revision_report(report("w2", 2), now)).size() ==
        2);
    a1.on_witness_queried("w1", 11);
    a1.on_witness_queried("w2", 12);
    static_cast<void>(
        a1.on_revision_report({{"w1", 2}, w1.document(), w1.held(), 11}, now));
    static_cast<void>(
        a1.on_revision_report({{"w2", 1}, w2.document(), w2.held(), 12}, now));
    CHECK(in_force(a1) == 0);
    // A process that recovers from w1 and w3 therefore misses no revision that
    // is in force.
    config_register a2({"a2", 1}, process_role::agent, three_witnesses, 1);
    for (config_register* node : {&w1, &w3})
        static_cast<void>(a2.receive(node->answer({{"a2", 1}, 0}), now));
    REQUIRE(a2.recovered());
    CHECK(in_force(a2) <= 1);
    // The new incarnation counts as soon as it holds the document itself.
    static_cast<void>(w1.receive(push_of("w2", 2), now));
    static_cast<void>(a1.on_revision_report({{"w1", 2}, 2, w1.held(), 0}, now));
    REQUIRE(queried_witnesses(a1.tick(now)).size() == 2);
    a1.on_witness_queried("w1", 21);
    a1.on_witness_queried("w2", 22);
    static_cast<void>(
        a1.on_revision_report({{"w1", 2}, 2, w1.held(), 21}, now));
    static_cast<void>(
        a1.on_revision_report({{"w2", 1}, 2, w2.held(), 22}, now));
    CHECK(in_force(a1) == 2);
}

TEST_CASE("config_register - a process waits for the highest revision "
          "reported before it recovered") {
    const instant now{};
    config_register node({"a1", 1}, process_role::agent, three_witnesses, 1);
    static_cast<void>(node.receive(push_of("a2", 1), now));
    for (const char* name : {"w1", "w2"}) {
        sync_reply reply;
        reply.sender = {name, 1};
        reply.recovered = true;
        reply.document = 2; // the document itself is missing
        reply.held = {{{"w1", 1}, 2}, {{"w2", 1}, 2}};
        static_cast<void>(node.receive(reply, now));
    }
    CHECK(node.recovered());
    static_cast<void>(node.on_in_force_elsewhere(2));
    CHECK(in_force(node) == 0);
    static_cast<void>(node.receive(push_of("w1", 2), now));
    CHECK(in_force(node) == 2);
}

TEST_CASE("config_register - a malformed document is refused and names its "
          "peer") {
    config_register node({"a1", 1}, process_role::agent, three_witnesses, 1);
    document_push push = push_of("a2", 4);
    push.json = "{\"schema\":\"other\"}";
    const auto actions = node.receive(push, instant());
    REQUIRE_FALSE(actions.empty());
    const auto* refused = std::get_if<document_refused>(&actions.front());
    REQUIRE(refused != nullptr);
    CHECK(refused->reason.peer == "a2");
    CHECK(node.document() == 0);
    // A malformed value from the platform does not complete recovery.
    static_cast<void>(node.on_platform_read("{}", instant()));
    CHECK_FALSE(node.recovered());
}
