#include <ospreystage/config_register.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <functional>
#include <map>

using namespace ospreystage;

namespace {

std::string json_of(revision number) {
    rollout_document document;
    document.number = number;
    document.based_on = number - 1;
    document.operation_id = "op-" + std::to_string(number);
    document.accepted_by = "day shift";
    return to_json_text(document);
}

document_push push_of(const std::string& sender, revision number,
                      std::vector<held_revision> held = {}) {
    return {{sender, 1}, number, json_of(number), std::move(held)};
}

const std::vector<std::string> three = {"w1", "w2", "w3"};

revision in_force(const config_register& node) {
    return node.in_force() ? node.in_force()->number : 0;
}

revision held_at(const config_register& node, const std::string& witness) {
    for (const held_revision& item : node.held()) {
        if (item.witness.name == witness)
            return item.number;
    }
    return 0;
}

/// Registers whose messages are delivered at once, in simulated time.
class group {
  public:
    void add(const std::string& name, process_role role,
             const std::vector<std::string>& witnesses,
             std::uint64_t incarnation = 1) {
        nodes_.insert_or_assign(name, config_register({name, incarnation}, role,
                                                      witnesses, incarnation));
        incarnations_[name] = incarnation;
        if (introduces)
            introduce();
    }

    void introduce() {
        std::vector<std::string> names;
        for (const auto& [known, node] : nodes_)
            names.push_back(known);
        for (auto& [known, node] : nodes_)
            node.set_peers(names);
    }

    config_register& at(const std::string& name) { return nodes_.at(name); }

    void apply(const std::string& from,
               const config_register::actions& actions) {
        for (const register_action& action : actions) {
            if (const auto* push = std::get_if<push_document>(&action))
                queue_.push_back({from, push->peer, push->push});
            if (const auto* ask = std::get_if<ask_document>(&action))
                queue_.push_back({from, ask->peer, ask->request});
        }
        while (!queue_.empty()) {
            const letter next = queue_.front();
            queue_.pop_front();
            if (nodes_.contains(next.to) && passes(next.from, next.to))
                deliver(next);
        }
    }

    /// Every register hears the datagrams of every other one, then ticks.
    void gossip() {
        now += milliseconds(1000);
        for (const auto& [from, source] : nodes_) {
            for (auto& [to, node] : nodes_) {
                if (from != to && passes(from, to))
                    apply(to,
                          node.heard({from, incarnations_.at(from)},
                                     source.document(), source.held(), now));
            }
        }
        for (auto& [name, node] : nodes_)
            apply(name, node.tick(now));
    }

    [[nodiscard]] std::size_t count_in_force(revision number) const {
        std::size_t seen = 0;
        for (const auto& [name, node] : nodes_)
            seen += in_force(node) == number ? 1 : 0;
        return seen;
    }

    bool introduces = true; ///< Every `add` updates the peers of all.
    instant now = instant() + std::chrono::hours(1);
    std::function<bool(const std::string&, const std::string&)> passes =
        [](const std::string&, const std::string&) { return true; };

  private:
    struct letter {
        std::string from;
        std::string to;
        message value;
    };

    void deliver(const letter& next) {
        config_register& node = nodes_.at(next.to);
        config_register::actions actions;
        if (const auto* push = std::get_if<document_push>(&next.value))
            actions = node.receive(*push, now);
        if (const auto* reply = std::get_if<sync_reply>(&next.value))
            actions = node.receive(*reply, now);
        if (const auto* request = std::get_if<sync_request>(&next.value))
            queue_.push_back({next.to, next.from, node.answer(*request)});
        for (const register_action& action : actions) {
            if (const auto* push = std::get_if<push_document>(&action))
                queue_.push_back({next.to, push->peer, push->push});
            if (const auto* ask = std::get_if<ask_document>(&action))
                queue_.push_back({next.to, ask->peer, ask->request});
        }
    }

    std::map<std::string, config_register> nodes_;
    std::map<std::string, std::uint64_t> incarnations_;
    std::deque<letter> queue_;
};

/// Three witnesses and two agents that have all read an empty platform.
group started_group() {
    group all;
    for (const char* name : {"w1", "w2", "w3"})
        all.add(name, process_role::entry, three);
    for (const char* name : {"a1", "a2"})
        all.add(name, process_role::agent, three);
    for (const char* name : {"w1", "w2", "w3", "a1", "a2"})
        all.apply(name, all.at(name).platform_read("", all.now));
    return all;
}

} // namespace

TEST_CASE("config_register - nothing accepted means nothing in force") {
    group all = started_group();
    all.gossip();
    CHECK(all.at("w1").recovered());
    CHECK(all.count_in_force(0) == 5);
}

TEST_CASE("config_register - a revision is in force once a majority holds it") {
    config_register node({"a1", 1}, process_role::agent, three, 1);
    const instant now{};
    CHECK(node.platform_read(json_of(1), now).empty());
    CHECK(in_force(node) == 0);
    CHECK(node.heard({"w1", 1}, 1, {{{"w1", 1}, 1}}, now).empty());
    CHECK(in_force(node) == 0);
    const auto actions = node.heard({"w2", 1}, 1, {{{"w2", 1}, 4}}, now);
    CHECK(in_force(node) == 1);
    bool told = false;
    for (const register_action& action : actions)
        told = told || std::holds_alternative<put_in_force>(action);
    CHECK(told);
}

TEST_CASE("config_register - an accepted document is in force everywhere") {
    group all = started_group();
    all.apply("w2", all.at("w2").accepted(json_of(1)));
    all.gossip();
    all.gossip();
    CHECK(all.count_in_force(1) == 5);
}

TEST_CASE("config_register - a cluster with one witness works") {
    group all;
    all.add("w1", process_role::entry, {"w1"});
    all.add("a1", process_role::agent, {"w1"});
    all.apply("a1", all.at("a1").tick(all.now));
    CHECK_FALSE(all.at("a1").recovered()); // the witness is not recovered
    all.apply("w1", all.at("w1").platform_read(json_of(3), all.now));
    CHECK(in_force(all.at("w1")) == 3);
    all.gossip();
    all.gossip();
    CHECK(all.at("a1").recovered());
    CHECK(in_force(all.at("a1")) == 3);
}

TEST_CASE("config_register - what is in force never goes down") {
    group all = started_group();
    for (const revision number : {1U, 2U, 3U})
        all.apply("w1", all.at("w1").accepted(json_of(number)));
    all.gossip();
    REQUIRE(all.count_in_force(3) == 5);
    all.apply("a1", all.at("a1").platform_read(json_of(2), all.now));
    all.apply("a1", all.at("a1").receive(push_of("a2", 1), all.now));
    all.apply("a1", all.at("a1").platform_read("", all.now));
    CHECK(in_force(all.at("a1")) == 3);
    CHECK(all.at("a1").document() == 3);
}

TEST_CASE("config_register - a push that went to some is repaired by gossip") {
    group all = started_group();
    all.passes = [](const std::string&, const std::string& to) {
        return to != "a2";
    };
    all.apply("w1", all.at("w1").accepted(json_of(1)));
    CHECK(all.at("a2").document() == 0);
    all.passes = [](const std::string&, const std::string&) { return true; };
    all.gossip();
    all.gossip();
    CHECK(all.count_in_force(1) == 5);
}

TEST_CASE("config_register - a node restarts with nothing, the platform is "
          "down and its nearest peer is behind") {
    group all = started_group();
    all.apply("w1", all.at("w1").accepted(json_of(1)));
    all.gossip();
    // Revision 2 reaches everybody but a2, the peer that stands nearest.
    all.passes = [](const std::string& from, const std::string& to) {
        return from != "a2" && to != "a2";
    };
    all.apply("w1", all.at("w1").accepted(json_of(2)));
    all.gossip();
    REQUIRE(in_force(all.at("a1")) == 2);
    REQUIRE(in_force(all.at("a2")) == 1);

    all.add("a1", process_role::agent, three, 2);
    all.passes = [](const std::string& from, const std::string& to) {
        return (from == "a1" && to == "a2") || (from == "a2" && to == "a1");
    };
    for (int round = 0; round < 5; ++round)
        all.gossip();
    CHECK(all.at("a1").document() <= 1);
    CHECK(in_force(all.at("a1")) == 0); // better nothing than revision 1

    all.passes = [](const std::string&, const std::string& to) {
        return to != "w2"; // a majority is enough
    };
    for (int round = 0; round < 3; ++round)
        all.gossip();
    CHECK(in_force(all.at("a1")) == 2);
}

TEST_CASE("config_register - a restarted witness reports nothing before it "
          "has heard from a majority of the others") {
    group all = started_group();
    all.apply("w1", all.at("w1").accepted(json_of(1)));
    all.gossip();
    all.add("w3", process_role::entry, three, 2);
    all.passes = [](const std::string& from, const std::string& to) {
        return from != "w2" && to != "w2";
    };
    for (int round = 0; round < 3; ++round)
        all.gossip();
    CHECK_FALSE(all.at("w3").recovered());
    CHECK(held_at(all.at("w3"), "w3") == 0);
    CHECK(in_force(all.at("w3")) == 0);
    // An unrecovered witness does not count for another starting process.
    all.add("a1", process_role::agent, three, 2);
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

TEST_CASE("config_register - what an earlier run of a witness held does not "
          "count once its new run has recovered without it") {
    const instant now{};
    config_register w2({"w2", 1}, process_role::entry, three, 1);
    config_register w3({"w3", 1}, process_role::entry, three, 1);
    for (config_register* node : {&w2, &w3})
        static_cast<void>(node->platform_read(json_of(1), now));
    // w1 held revision 2 and told only a1, then restarted with nothing and
    // recovered from w2 and w3, which did not have revision 2 yet.
    config_register a1({"a1", 1}, process_role::agent, three, 1);
    static_cast<void>(a1.platform_read(json_of(2), now));
    static_cast<void>(a1.heard({"w1", 1}, 2, {{{"w1", 1}, 2}}, now));
    config_register w1({"w1", 2}, process_role::entry, three, 1);
    for (config_register* node : {&w2, &w3})
        static_cast<void>(w1.receive(node->answer({{"w1", 2}, 0}), now));
    REQUIRE(w1.recovered());
    REQUIRE(w1.document() == 1);
    // w2 gets revision 2 now: one witness of three holds it.
    static_cast<void>(w2.receive(push_of("a1", 2), now));
    static_cast<void>(a1.heard({"w2", 1}, w2.document(), w2.held(), now));
    CHECK(in_force(a1) == 0);
    // So a process that starts and hears w1 and w3 misses nothing in force.
    config_register a2({"a2", 1}, process_role::agent, three, 1);
    for (config_register* node : {&w1, &w3})
        static_cast<void>(a2.receive(node->answer({{"a2", 1}, 0}), now));
    REQUIRE(a2.recovered());
    CHECK(in_force(a2) <= 1);
    // The new run counts as soon as it holds the document itself.
    static_cast<void>(w1.receive(push_of("w2", 2), now));
    static_cast<void>(a1.heard({"w1", 2}, w1.document(), w1.held(), now));
    CHECK(in_force(a1) == 2);
}

TEST_CASE("config_register - an entry paused for a minute comes back") {
    group all = started_group();
    all.apply("w1", all.at("w1").accepted(json_of(1)));
    all.gossip();
    all.passes = [](const std::string& from, const std::string& to) {
        return from != "w3" && to != "w3";
    };
    for (const revision number : {2U, 3U})
        all.apply("w1", all.at("w1").accepted(json_of(number)));
    for (int second = 0; second < 60; ++second)
        all.gossip();
    REQUIRE(in_force(all.at("w3")) == 1);
    all.passes = [](const std::string&, const std::string&) { return true; };
    // It pushes its old document first.
    all.apply("w3", {push_document{"a1", push_of("w3", 1)}});
    CHECK(in_force(all.at("a1")) == 3);
    all.gossip();
    all.gossip();
    CHECK(all.count_in_force(3) == 5);
}

TEST_CASE("config_register - a minority side of a partition puts nothing new "
          "in force until it heals") {
    group all = started_group();
    all.apply("w1", all.at("w1").accepted(json_of(1)));
    all.gossip();
    const auto is_left = [](const std::string& name) {
        return name == "w3" || name == "a2";
    };
    all.passes = [&](const std::string& from, const std::string& to) {
        return is_left(from) == is_left(to);
    };
    // The operator's entry is on the small side; the platform is reachable.
    all.apply("w3", all.at("w3").accepted(json_of(2)));
    for (int round = 0; round < 10; ++round)
        all.gossip();
    CHECK(all.count_in_force(1) == 5);
    all.passes = [](const std::string&, const std::string&) { return true; };
    for (int round = 0; round < 3; ++round)
        all.gossip();
    CHECK(all.count_in_force(2) == 5);
}

TEST_CASE("config_register - a process that heard of a higher revision waits "
          "for it") {
    const instant now{};
    config_register node({"a1", 1}, process_role::agent, three, 1);
    static_cast<void>(node.receive(push_of("a2", 1), now));
    for (const char* name : {"w1", "w2"}) {
        sync_reply reply;
        reply.sender = {name, 1};
        reply.recovered = true;
        reply.document = 2; // its text is lost on the way
        reply.held = {{{"w1", 1}, 2}, {{"w2", 1}, 2}};
        static_cast<void>(node.receive(reply, now));
    }
    CHECK(node.recovered());
    CHECK(in_force(node) == 0);
    static_cast<void>(node.receive(push_of("w1", 2), now));
    CHECK(in_force(node) == 2);
}

TEST_CASE("config_register - a damaged document is refused with its peer") {
    config_register node({"a1", 1}, process_role::agent, three, 1);
    document_push push = push_of("a2", 4);
    push.json = "{\"schema\":\"other\"}";
    const auto actions = node.receive(push, instant());
    REQUIRE_FALSE(actions.empty());
    const auto* refused = std::get_if<document_refused>(&actions.front());
    REQUIRE(refused != nullptr);
    CHECK(refused->reason.peer == "a2");
    CHECK(node.document() == 0);
    // A damaged value of the platform recovers nothing.
    static_cast<void>(node.platform_read("{}", instant()));
    CHECK_FALSE(node.recovered());
}

TEST_CASE("config_register - pushes alone reach a fleet of 200") {
    group all;
    all.introduces = false;
    const std::vector<std::string> witnesses = {"e0", "e1", "e2", "e3", "e4"};
    for (int index = 0; index < 8; ++index)
        all.add("e" + std::to_string(index), process_role::entry, witnesses);
    for (int index = 0; index < 192; ++index)
        all.add("a" + std::to_string(index), process_role::agent, witnesses);
    all.introduce();
    all.apply("e7", all.at("e7").accepted(json_of(1)));
    std::size_t reached = 0;
    for (int index = 0; index < 192; ++index)
        reached += all.at("a" + std::to_string(index)).document();
    CAPTURE(reached);
    CHECK(reached > 185); // gossip repairs the rest
}
