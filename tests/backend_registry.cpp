#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/fleet/entry_list.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

const instant start{};

backend_server make_server(const std::string& id) {
    backend_server server;
    server.id = id;
    server.service = "desk";
    server.endpoint = {"10.0.0.1", 80};
    return server;
}

} // namespace

TEST_CASE("backend registry - a missing server is removed at once") {
    backend_registry registry;
    registry.on_list({make_server("a"), make_server("b")}, start);
    registry.on_list({make_server("b")}, start + seconds(1));
    CHECK(registry.find("a") == nullptr);
    CHECK(registry.serving("desk").size() == 1);
}

TEST_CASE("backend registry - a draining server gets no requests") {
    backend_registry registry;
    backend_server leaving = make_server("a");
    leaving.is_draining = true;
    registry.on_list({leaving, make_server("b")}, start);
    REQUIRE(registry.serving("desk").size() == 1);
    CHECK(registry.serving("desk").front()->id == "b");
}

TEST_CASE(
    "backend registry - neither servers that an older copy lacks are lost "
    "nor those that it brings back are used") {
    const auto list = [](std::int64_t era, std::int64_t revision, instant at) {
        return state_origin{{era, revision}, at, "", {}};
    };
    const auto is_held = [](const backend_registry& registry,
                            const std::string& id) {
        return registry.find(id) != nullptr;
    };
    backend_registry registry;
    registry.on_list({make_server("left"), make_server("stays")}, start,
                     list(1, 10, start));
    const instant before = start + seconds(1);
    registry.on_list({make_server("stays"), make_server("new")}, before,
                     list(1, 20, before));
    REQUIRE_FALSE(is_held(registry, "left"));
    const instant returned = start + seconds(2);
    registry.on_list({make_server("left"), make_server("stays")}, returned,
                     list(2, 11, returned));
    CHECK_FALSE(is_held(registry, "left"));
    CHECK(is_held(registry, "new"));
    // A server that the copy lists and that leaves now is dropped at once.
    const instant later = returned + seconds(1);
    registry.on_list({make_server("left"), make_server("new")}, later,
                     list(2, 15, later));
    CHECK_FALSE(is_held(registry, "stays"));
    CHECK_FALSE(is_held(registry, "left"));
    // What the list says counts once all had time to write again.
    const instant settled = returned + seconds(3);
    registry.on_list({make_server("left")}, settled, list(2, 16, settled));
    CHECK(is_held(registry, "left"));
    CHECK_FALSE(is_held(registry, "new"));
}

TEST_CASE("backend registry - the outage of one reader during a drill keeps no "
          "server that leaves after it") {
    backend_registry registry;
    registry.on_list({make_server("a"), make_server("b")}, start,
                     state_origin{{1, 10}, start, "", {}});
    const instant returned = start + seconds(1);
    registry.on_list({make_server("a"), make_server("b")}, returned,
                     state_origin{{2, 5}, returned, "", {}});
    CHECK_FALSE(registry.on_outage_ended(returned + milliseconds(500)));
    const instant later = returned + seconds(1);
    registry.on_list({make_server("b")}, later,
                     state_origin{{2, 6}, later, "edge-2", start});
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("backend registry - a heartbeat from before does not undo that a "
          "server drains") {
    backend_registry registry;
    backend_server leaving = make_server("a");
    leaving.is_draining = true;
    registry.on_list({leaving}, start);
    registry.on_list({make_server("a")}, start + seconds(1));
    CHECK(registry.serving("desk").empty());
    backend_server restarted = make_server("a");
    restarted.started_unix_ms = 1'793'055'298'024;
    registry.on_list({restarted}, start + seconds(2));
    CHECK(registry.serving("desk").size() == 1);
}

// Guards against requests to a leaving server that an older copy of the store
// shows as it was before it had started again.
TEST_CASE("backend registry - an earlier start that an older copy of the store "
          "shows does not replace a later one") {
    const bool has_departed = GENERATE(false, true);
    backend_registry registry;
    backend_server first = make_server("a");
    first.started_unix_ms = 1000;
    backend_server second = first;
    second.started_unix_ms = 2000;
    second.is_draining = true;
    const auto list = [&](const std::vector<backend_server>& servers,
                          store_position position, instant now) {
        registry.on_list(servers, now, state_origin{position, now, "", {}});
    };
    list({first}, {1, 10}, start);
    list({second}, {1, 12}, start + seconds(1));
    if (has_departed)
        list({}, {1, 13}, start + seconds(2));
    const instant returned = start + seconds(3);
    list({first}, {2, 5}, returned);
    CHECK(registry.serving("desk").empty());
    list({first}, {2, 5}, returned + seconds(1));
    CHECK(registry.serving("desk").empty());
    // What it writes itself counts at once, and later whatever is listed.
    backend_server third = second;
    third.started_unix_ms = 3000;
    third.is_draining = false;
    list({third}, {2, 6}, returned + milliseconds(1500));
    CHECK(registry.serving("desk").size() == 1);
    list({first}, {2, 7}, returned + seconds(3));
    REQUIRE(registry.find("a") != nullptr);
    CHECK(registry.find("a")->started_unix_ms == 1000);
}

TEST_CASE("backend registry - the last list holds through an outage") {
    backend_registry registry;
    registry.on_list({make_server("a")}, start);
    registry.on_unreachable(start + seconds(1));
    registry.advance(start + seconds(60));
    CHECK(registry.serving("desk").size() == 1);
}

TEST_CASE("backend registry - expired servers can register again") {
    backend_registry registry;
    registry.on_list({make_server("a"), make_server("b")}, start);
    registry.on_unreachable(start + seconds(1));
    const instant returned = start + seconds(6);
    registry.on_list({}, returned);
    CHECK(registry.serving("desk").size() == 2);
    registry.on_list({make_server("b")}, returned + seconds(1));
    CHECK(registry.serving("desk").size() == 2);
    registry.on_list({make_server("b")}, returned + seconds(3));
    CHECK(registry.find("a") == nullptr);
    CHECK(registry.find("b") != nullptr);
}

TEST_CASE(
    "backend registry - a server that withdraws after an outage is removed "
    "at once") {
    backend_registry registry;
    registry.on_list({make_server("a"), make_server("b")}, start);
    registry.on_unreachable(start + seconds(1));
    const instant returned = start + seconds(6);
    registry.on_list({make_server("a")}, returned);
    REQUIRE(registry.find("b") != nullptr);
    registry.on_list({}, returned + milliseconds(600));
    CHECK(registry.find("a") == nullptr);
    CHECK(registry.find("b") != nullptr);
}

TEST_CASE("backend registry - an outage that another process saw counts") {
    backend_registry registry;
    registry.on_list({make_server("a")}, start);
    registry.on_outage_ended(start + seconds(5));
    registry.on_list({}, start + seconds(6));
    CHECK(registry.find("a") != nullptr);
    registry.on_list({}, start + seconds(8));
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("backend registry - failed reads between lists from elsewhere are no "
          "outage") {
    backend_registry registry;
    registry.on_list({make_server("a")}, start + milliseconds(800));
    registry.on_unreachable(start);
    registry.on_list({}, start + milliseconds(1200));
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("backend registry - the outage of another reader keeps no removed "
          "server where the list was read all along") {
    backend_registry registry;
    registry.on_list({make_server("a"), make_server("b")}, start);
    registry.on_list({make_server("a"), make_server("b")}, start + seconds(1));
    registry.on_list({make_server("a"), make_server("b")}, start + seconds(2));
    registry.on_outage_ended(start + milliseconds(2300));
    registry.on_list({make_server("b")}, start + seconds(3));
    CHECK(registry.find("a") == nullptr);
    CHECK(registry.find("b") != nullptr);
}

TEST_CASE("backend registry - a list that another entry has read meanwhile "
          "shows that failed reads were no outage") {
    backend_registry registry;
    registry.on_list({make_server("a"), make_server("b")}, start);
    registry.on_unreachable(start + seconds(1));
    const instant read_at = start + seconds(3);
    registry.on_list({make_server("b")}, read_at + milliseconds(100),
                     state_origin{{1, 7}, read_at, "edge-2", start});
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("backend registry - a list from an entry that was without the store "
          "itself does not show that there was no outage") {
    const std::optional<instant> unbroken_since =
        GENERATE(std::optional<instant>(),
                 std::optional<instant>(start + milliseconds(2900)));
    backend_registry registry;
    registry.on_list({make_server("a"), make_server("b")}, start);
    registry.on_unreachable(start + seconds(1));
    const instant read_at = start + seconds(3);
    registry.on_list({make_server("b")}, read_at + milliseconds(100),
                     state_origin{{1, 7}, read_at, "edge-2", unbroken_since});
    CHECK(registry.find("a") != nullptr);
    registry.advance(read_at + seconds(3));
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE(
    "backend registry - what other entries read before an outage does not "
    "hide it") {
    backend_registry registry;
    registry.on_list({make_server("a")}, start);
    registry.on_unreachable(start + seconds(1));
    // The time of another entry's read is known to a millisecond or so.
    for (int count = 1; count <= 10; ++count) {
        const instant now = start + seconds(1) + count * milliseconds(200);
        registry.on_confirmed(
            {{1, 7}, start + milliseconds(900 + count), "edge-2", start}, now);
        registry.on_unreachable(now);
    }
    const instant returned = start + seconds(4);
    registry.on_list({}, returned);
    CHECK(registry.find("a") != nullptr);
    registry.advance(returned + seconds(3));
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE(
    "backend registry - an outage that ends between two reads of the list "
    "concerns no entry that made them in time") {
    for (milliseconds age(0); age <= milliseconds(1500);
         age += milliseconds(50)) {
        backend_registry registry;
        registry.on_list({make_server("a"), make_server("b")}, start);
        CHECK_FALSE(registry.on_outage_ended(start + age));
        registry.on_list({make_server("b")}, start + age + milliseconds(200));
        CHECK(registry.find("a") == nullptr);
    }
}

TEST_CASE("backend registry - an unchanged list that is read again shows that "
          "there was no outage") {
    backend_registry registry;
    registry.on_list({make_server("a"), make_server("b")}, start);
    registry.on_unreachable(start + milliseconds(100));
    for (int count = 1; count <= 6; ++count) {
        const instant read_at = start + count * milliseconds(500);
        registry.on_confirmed({{1, 7}, read_at, "edge-2", start},
                              read_at + milliseconds(50));
    }
    CHECK_FALSE(registry.outage_ended());
    CHECK_FALSE(registry.on_outage_ended(start + milliseconds(3100)));
    registry.on_list({make_server("b")}, start + milliseconds(3400));
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("backend registry - servers that expired in an outage stay in use at "
          "entries that another one tells of it") {
    backend_registry registry;
    registry.on_list({make_server("a")}, start);
    const instant returned = start + seconds(6);
    registry.on_outage_ended(returned);
    registry.on_list({}, returned + milliseconds(200),
                     state_origin{{1, 7}, returned, "edge-2"});
    CHECK(registry.find("a") != nullptr);
    registry.advance(returned + seconds(3));
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("backend registry - the age of the list counts from its read") {
    backend_registry registry;
    registry.on_list({}, start + seconds(3), start + seconds(1));
    CHECK(registry.age(start + seconds(4)) == seconds(3));
}

TEST_CASE("backend registry - a short failure is no outage") {
    backend_registry registry;
    registry.on_list({make_server("a")}, start);
    registry.on_unreachable(start + milliseconds(600));
    registry.on_list({}, start + milliseconds(900));
    CHECK(registry.find("a") == nullptr);
}

TEST_CASE("backend registry - a server that is missing after a time in which "
          "no registration lapses has left") {
    constexpr milliseconds lapse{2400};
    const auto is_kept_after = [&](milliseconds gap) {
        backend_registry registry({.min_lapse_time = lapse});
        registry.on_list({make_server("a"), make_server("b")}, start, start);
        registry.on_unreachable(start + milliseconds(100));
        const instant now = start + gap;
        registry.on_list({make_server("b")}, now, now);
        return registry.find("a") != nullptr;
    };
    CHECK_FALSE(is_kept_after(milliseconds(2300)));
    CHECK(is_kept_after(milliseconds(2500)));
    backend_registry registry({.min_lapse_time = lapse});
    registry.on_list({make_server("a")}, start, start);
    CHECK_FALSE(registry.on_outage_ended(start + milliseconds(2300)));
    CHECK(registry.on_outage_ended(start + milliseconds(2500)));
}

TEST_CASE("backend server - holds a version only with every layer of it") {
    backend_server server = make_server("a");
    CHECK_FALSE(server.complete_version(16));
    server.layers = {{8, 16, 2}};
    CHECK_FALSE(server.complete_version(16));
    server.layers = {{8, 16, 2}, {0, 8, 2}};
    CHECK(server.complete_version(16) == 2U);
    server.layers = {{0, 8, 1}, {8, 16, 2}};
    CHECK_FALSE(server.complete_version(16));
}

TEST_CASE("backend registry - servers are found by their address") {
    backend_registry servers;
    backend_server first;
    first.id = "i-1";
    first.endpoint = {"10.0.0.1", 80};
    backend_server second = first;
    second.id = "i-2";
    second.endpoint.port = 81;
    servers.on_list({first, second}, start);
    CHECK(servers.ids_at({"10.0.0.1", 81}) == std::vector<std::string>{"i-2"});
    CHECK(servers.ids_at({"10.0.0.9", 80}).empty());
}

TEST_CASE("entry list - entries expired in an outage are kept a while") {
    entry_list entries(seconds(2));
    entries.on_listed("one", {"10.0.0.1", 80}, start);
    entries.on_store_recovered(start + seconds(10));
    entries.on_removed("one", start + seconds(11));
    CHECK(entries.size() == 1);
    entries.advance(start + seconds(13));
    CHECK(entries.size() == 0);
}

TEST_CASE("entry list - an entry listed after an outage is removed at once") {
    entry_list entries(seconds(2));
    entries.on_store_recovered(start + seconds(10));
    entries.on_listed("one", {"10.0.0.1", 80}, start + seconds(11));
    entries.on_removed("one", start + milliseconds(11'500));
    CHECK(entries.size() == 0);
}

TEST_CASE("entry list - an entry that leaves is removed at once") {
    entry_list entries(seconds(2));
    entries.on_listed("one", {"10.0.0.1", 80}, start);
    entries.on_listed("two", {"10.0.0.2", 80}, start);
    entries.on_removed("one", start + seconds(1));
    REQUIRE(entries.caller_addresses().size() == 1);
    CHECK(entries.caller_addresses().front().host == "10.0.0.2");
}
