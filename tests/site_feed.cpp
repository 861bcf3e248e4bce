#include "tests/support/free_ports.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/running_kernel.hpp"

#include <ospreystage/core/stable_hash.hpp>
#include <ospreystage/fleet/site_feed.hpp>

#include <absl/container/flat_hash_set.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

using namespace ospreystage;
using testing::raw_connection;
using testing::running_kernel;

namespace {

const instant start{seconds(1000)};

backend_server make_server(const std::string& id) {
    backend_server server;
    server.id = id;
    server.service = "desk";
    server.endpoint = {"10.0.0.1", 80};
    server.layers = {{0, 16, 2}};
    return server;
}

/// Returns a copy with one document, entry and server, read at revision 10.
site_copy make_copy(instant read_at) {
    site_copy copy;
    copy.on_document({"op/config", "text", 7});
    copy.on_documents_read(10, read_at);
    copy.on_entry({"edge-1", {"10.0.0.9", 8000}, "north"});
    copy.on_entries_read(10);
    copy.on_servers_read({make_server("i-1")}, 10, read_at);
    return copy;
}

site_changes transfer(const site_copy& from, const site_copy& to, instant now) {
    error failure;
    auto changes = value_or_error(
        [&] {
            return decode_site_changes(
                encode(from.changes_since(to.revisions(), now)), "test");
        },
        failure);
    REQUIRE(changes);
    return std::move(*changes);
}

feed_selection make_selection(const std::string& self) {
    return {self, {}, start};
}

/// Starts feeds; returns false if one of them fails.
bool start_all(const std::vector<site_feed*>& feeds) {
    error failure;
    return value_or_error(
               [&]() -> leaf::result<bool> {
                   for (site_feed* feed : feeds)
                       BOOST_LEAF_CHECK(feed->start());
                   return true;
               },
               failure)
        .has_value();
}

/// Checks that an entry alone in its region, which polls if it `is_started`,
/// takes the state of an entry of another region.
void check_lone_entry(bool is_started) {
    const std::uint16_t port = support::free_ports(1).front();
    kernel core;
    web_client client(core);
    site_copy source = make_copy(steady::now());
    site_copy copy;
    for (site_copy* each : {&source, &copy}) {
        each->on_entry({"lone", {"127.0.0.3", 80}, "north"});
        each->on_entry({"elsewhere", {"127.0.0.2", 80}, "south"});
    }
    site_feed elsewhere(core, client, source,
                        {"elsewhere", "south", {"127.0.0.2", port}, {}},
                        [](const site_copy::applied_parts&) {});
    site_feed lone(core, client, copy,
                   {"lone", "north", {"127.0.0.3", port}, {}},
                   [](const site_copy::applied_parts&) {});
    std::vector<site_feed*> started{&elsewhere};
    if (is_started)
        started.push_back(&lone);
    REQUIRE(start_all(started));
    running_kernel running(core);
    running.ask([&] {
        lone.on_entries_changed();
        return true;
    });
    CHECK(running.until([&] { return copy.revisions() == source.revisions(); },
                        seconds(2)));
}

const std::vector<std::string> five_entries{"e-1", "e-2", "e-3", "e-4", "e-5"};

} // namespace

// ---- Copies ----------------------------------------------------------------

TEST_CASE("site copy - an empty copy takes over everything with its age") {
    const site_copy source = make_copy(start);
    site_copy copy;
    const auto applied =
        copy.apply(transfer(source, copy, start + milliseconds(300)),
                   start + milliseconds(300));
    CHECK(copy.revisions() == source.revisions());
    REQUIRE(applied.documents.size() == 1);
    CHECK(applied.documents.front().text == "text");
    CHECK(applied.has_entries);
    REQUIRE(applied.servers);
    CHECK(applied.servers->read_at == start);
    CHECK(copy.servers() == source.servers());
    CHECK(copy.entries() == source.entries());
    CHECK(copy.age(start + seconds(1)) == seconds(1));
}

TEST_CASE("site copy - an older copy changes nothing") {
    const site_copy source = make_copy(start);
    site_copy copy = make_copy(start);
    copy.on_document({"op/config", "newer", 12});
    copy.on_documents_read(12, start + seconds(1));
    copy.on_servers_read({}, 12, start + seconds(1));
    copy.on_entry_removed("edge-1");
    copy.on_entries_read(12);
    // Requested before the copy read the newer state elsewhere.
    const site_changes late = source.changes_since({}, start);
    const auto applied = copy.apply(late, start + seconds(1));
    CHECK(applied.documents.empty());
    CHECK_FALSE(applied.has_entries);
    CHECK_FALSE(applied.servers);
    CHECK(copy.servers().empty());
    CHECK(copy.entries().empty());
    CHECK(copy.revisions().servers == 12);
}

TEST_CASE("site copy - unchanged parts are not sent again") {
    const site_copy source = make_copy(start);
    const site_changes changes =
        source.changes_since(source.revisions(), start);
    CHECK(changes.documents.empty());
    CHECK(changes.entries.empty());
    CHECK(changes.servers.empty());
    CHECK(changes.servers_age == milliseconds(0));
}

TEST_CASE("site copy - a list of servers that a heartbeat has not changed is "
          "not sent again") {
    site_copy source = make_copy(start);
    site_copy copy = make_copy(start);
    source.on_servers_read({make_server("i-1")}, 12, start + seconds(1));
    const site_changes changes = source.changes_since(
        copy.revisions(), start + seconds(1), copy.servers_digest());
    CHECK(changes.servers.empty());
    CHECK(changes.unchanged_servers == copy.servers_digest());
    const auto applied = copy.apply(changes, start + seconds(1));
    REQUIRE(applied.servers);
    CHECK(applied.servers->read_at == start + seconds(1));
    CHECK(copy.revisions().servers == 12);
    CHECK(copy.servers() == source.servers());
}

TEST_CASE("site copy - a list that changed and changed back between two reads "
          "of the source replaces the one in between") {
    site_copy source = make_copy(start);
    site_copy copy = make_copy(start);
    // Read by another entry at a moment that the source did not see.
    copy.on_servers_read({}, 11, start + seconds(1));
    source.on_servers_read({make_server("i-1")}, 12, start + seconds(2));
    copy.apply(source.changes_since(copy.revisions(), start + seconds(2),
                                    copy.servers_digest()),
               start + seconds(2));
    CHECK(copy.servers() == source.servers());
}

TEST_CASE("site copy - an answer that refers to a list that is no longer held "
          "changes nothing") {
    site_copy source = make_copy(start);
    site_copy copy = make_copy(start);
    source.on_servers_read({make_server("i-1")}, 13, start + seconds(1));
    const site_changes changes = source.changes_since(
        copy.revisions(), start + seconds(1), copy.servers_digest());
    copy.on_servers_read({}, 12, start + seconds(1));
    CHECK_FALSE(copy.apply(changes, start + seconds(1)).servers);
    CHECK(copy.servers().empty());
    CHECK(copy.revisions().servers == 12);
}

TEST_CASE(
    "site copy - a copy says since when its lists of servers have no gap") {
    site_copy copy = make_copy(start);
    copy.on_servers_read({}, 11, start + seconds(1));
    const instant later = start + seconds(2);
    CHECK(copy.changes_since({}, later).servers_unbroken == seconds(2));
    copy.on_servers_read({}, 12, start + seconds(4));
    CHECK(copy.changes_since({}, start + seconds(4)).servers_unbroken ==
          milliseconds(0));
}

TEST_CASE(
    "site copy - a later read of the same revision makes a copy younger") {
    site_copy source = make_copy(start);
    site_copy copy = make_copy(start);
    source.on_servers_read({make_server("i-1")}, 10, start + seconds(1));
    source.on_documents_read(source.revisions().documents, start + seconds(1));
    const instant now = start + milliseconds(1200);
    const auto applied = copy.apply(
        source.changes_since(copy.revisions(), now, copy.servers_digest()), now,
        "edge-2");
    CHECK_FALSE(applied.servers);
    REQUIRE(applied.confirmed_servers);
    CHECK(applied.confirmed_servers->read_at == start + seconds(1));
    CHECK(applied.confirmed_servers->unbroken_since == start);
    CHECK(copy.age(now) == milliseconds(200));
    CHECK(copy.changes_since({}, now).servers_unbroken == milliseconds(1200));
    // The same answer once more says nothing new.
    CHECK_FALSE(copy.apply(source.changes_since(copy.revisions(), now), now)
                    .confirmed_servers);
}

TEST_CASE("site copy - an outage that does not concern a copy is not passed on "
          "by it") {
    site_copy source = make_copy(start);
    source.on_outage_ended(start + seconds(1));
    site_copy copy = make_copy(start);
    const auto applied =
        copy.apply(source.changes_since(copy.revisions(), start + seconds(2)),
                   start + seconds(2));
    CHECK(applied.outage_ended == start + seconds(1));
    CHECK_FALSE(copy.changes_since({}, start + seconds(2)).outage_ended_ago);
}

TEST_CASE(
    "site copy - a state of a later era replaces one of a higher revision") {
    site_copy source;
    source.on_documents_era(2);
    source.on_document({"op/config", "after", 4});
    source.on_documents_read({2, 4}, start + seconds(1));
    source.on_entry({"edge-2", {"10.0.0.8", 8000}, "north"});
    source.on_entries_read({2, 4});
    source.on_servers_read({make_server("i-2")}, {2, 4}, start + seconds(1));
    site_copy copy;
    copy.on_documents_era(1);
    copy.on_document({"op/config", "before", 1035});
    copy.on_document({"op/other", "before", 1036});
    copy.on_documents_read({1, 1036}, start);
    copy.on_entry({"edge-1", {"10.0.0.9", 8000}, "north"});
    copy.on_entries_read({1, 1036});
    copy.on_servers_read({make_server("i-1")}, {1, 1036}, start);
    const site_changes earlier =
        copy.changes_since(source.revisions(), start + seconds(1));
    CHECK(earlier.documents.empty());
    const auto applied =
        copy.apply(source.changes_since(copy.revisions(), start + seconds(2)),
                   start + seconds(2));
    CHECK(copy.revisions() == source.revisions());
    REQUIRE(applied.documents.size() == 1);
    CHECK(applied.documents.front().text == "after");
    CHECK(applied.has_entries);
    CHECK(copy.entries() == source.entries());
    CHECK(copy.servers() == source.servers());
    // The state from before, requested earlier, changes nothing.
    const auto late = copy.apply(earlier, start + seconds(2));
    CHECK(late.documents.empty());
    CHECK_FALSE(late.has_entries);
    CHECK_FALSE(late.servers);
    CHECK(copy.changes_since({}, start + seconds(2)).documents.size() == 1);
}

TEST_CASE("site copy - its age is that of the older part") {
    site_copy copy = make_copy(start);
    copy.on_servers_read({}, 12, start + seconds(3));
    CHECK(copy.age(start + seconds(4)) == seconds(4));
    copy.on_documents_read(copy.revisions().documents, start + seconds(3));
    CHECK(copy.age(start + seconds(4)) == seconds(1));
    CHECK_FALSE(site_copy().age(start));
}

TEST_CASE("site copy - bytes that are no changes are refused") {
    error failure;
    const std::string bytes = encode(make_copy(start).changes_since({}, start));
    CHECK_FALSE(value_or_error(
        [&] { return decode_site_changes(bytes + "x", "test"); }, failure));
    CHECK(failure.code == error_code::malformed);
    CHECK_FALSE(value_or_error(
        [&] {
            return decode_site_changes(bytes.substr(0, bytes.size() / 2),
                                       "test");
        },
        failure));
    CHECK_FALSE(value_or_error(
        [&] { return decode_site_revisions("short", "test"); }, failure));
}

// ---- Selection -------------------------------------------------------------

TEST_CASE("feed selection - two entries of a region read the store") {
    int readers = 0;
    for (const std::string& name : five_entries) {
        feed_selection selection = make_selection(name);
        selection.set_entries(five_entries);
        selection.on_state(start);
        if (selection.reads_store(start + milliseconds(500))) {
            ++readers;
            CHECK(selection.sources(start).size() == 1);
        } else {
            CHECK(selection.sources(start).size() == 2);
        }
    }
    CHECK(readers == 2);
}

TEST_CASE(
    "feed selection - an entry reads the store once the readers' state is "
    "too old") {
    // With two others, which are the readers, it is the first to take over.
    feed_selection selection = make_selection("e-0");
    selection.set_entries({"e-1", "e-2"});
    REQUIRE_FALSE(selection.is_reader());
    selection.on_state(start);
    CHECK_FALSE(selection.reads_store(start + seconds(2)));
    CHECK(selection.reads_store(start + milliseconds(2001)));
    selection.on_state(start + seconds(3));
    CHECK_FALSE(selection.reads_store(start + seconds(4)));
}

TEST_CASE("feed selection - entries whose state is too old do not all turn to "
          "the store at once") {
    std::vector<std::string> names;
    names.reserve(30);
    for (int number = 0; number < 30; ++number)
        names.push_back("e-" + std::to_string(number));
    std::vector<feed_selection> selections;
    for (const std::string& name : names) {
        selections.push_back(make_selection(name));
        selections.back().set_entries(names);
        selections.back().on_state(start);
    }
    const auto reading = [&](milliseconds age) {
        return std::count_if(selections.begin(), selections.end(),
                             [&](const feed_selection& each) {
                                 return each.reads_store(start + age);
                             });
    };
    CHECK(reading(milliseconds(2000)) == 2);
    CHECK(reading(milliseconds(2001)) == 8);
    CHECK(reading(milliseconds(2400)) == 8);
    CHECK(reading(milliseconds(2401)) == 30);
    // While the store is away, most of them call it every 3 s only.
    std::vector<milliseconds> pauses;
    pauses.reserve(selections.size());
    for (const feed_selection& each : selections) {
        pauses.push_back(each.retry_pause());
        CHECK(each.sources(start + milliseconds(2000)).size() <= 2);
        // The readers have nothing newer then, the first tier soon will.
        const auto sources = each.sources(start + milliseconds(2001));
        CHECK(sources.size() <= 6);
        CHECK(std::none_of(
            sources.begin(), sources.end(), [&](const std::string& name) {
                const auto found = std::find(names.begin(), names.end(), name);
                return selections[static_cast<std::size_t>(found -
                                                           names.begin())]
                    .is_reader();
            }));
    }
    std::sort(pauses.begin(), pauses.end());
    CHECK(pauses[1] == milliseconds(0));
    CHECK(pauses[2] == milliseconds(800));
    CHECK(pauses[8] == milliseconds(3200));
}

// Guards against entries that all read a large document which a reader is
// already receiving over the same link.
TEST_CASE("feed selection - entries whose readers are receiving documents wait "
          "for them, but not forever") {
    feed_selection selection = make_selection("e-0");
    selection.set_entries({"e-1", "e-2"});
    REQUIRE_FALSE(selection.is_reader());
    selection.on_state(start);
    // The last answer of a reader that says so counts for 0.8 s.
    selection.on_reader_receiving(start + milliseconds(1600));
    CHECK_FALSE(selection.reads_store(start + milliseconds(2400)));
    CHECK(selection.sources(start + milliseconds(2400)).size() == 2);
    CHECK(selection.reads_store(start + milliseconds(2401)));
    for (milliseconds passed{2000}; passed < seconds(4);
         passed += milliseconds(200))
        selection.on_reader_receiving(start + passed);
    CHECK_FALSE(selection.reads_store(start + seconds(4)));
    CHECK(selection.reads_store(start + milliseconds(4001)));
}

TEST_CASE("feed selection - a reader whose reads fail asks the other reader") {
    for (const std::string& name : five_entries) {
        feed_selection selection = make_selection(name);
        selection.set_entries(five_entries);
        const instant read_at = start + seconds(5);
        selection.on_store_read(false, read_at);
        CHECK_FALSE(selection.is_store_failing());
        selection.on_store_read(true, read_at + seconds(1));
        CHECK(selection.is_store_failing() == selection.is_reader());
        if (!selection.is_reader())
            continue;
        const auto readers = selection.sources(read_at + seconds(1));
        REQUIRE(readers.size() == 1);
        feed_selection other = make_selection(readers.front());
        other.set_entries(five_entries);
        CHECK(other.is_reader());
        // Once the other reader's state is too old as well, further entries
        // are asked.
        CHECK(selection.sources(read_at + seconds(4)).size() > 1);
    }
}

TEST_CASE("feed selection - an entry that others ask reads the store") {
    feed_selection selection = make_selection("e-0");
    selection.set_entries(five_entries);
    selection.on_state(start + seconds(10));
    selection.on_request(start + seconds(10));
    CHECK(selection.reads_store(start + seconds(11)));
    selection.on_state(start + seconds(13));
    CHECK_FALSE(selection.reads_store(start + seconds(13)));
}

TEST_CASE("feed selection - the readers may answer first after a start") {
    feed_selection selection = make_selection("e-0");
    CHECK_FALSE(selection.reads_store(start + milliseconds(100)));
    CHECK(selection.reads_store(start + milliseconds(400)));
    selection.set_entries({});
    CHECK(selection.is_reader());
    CHECK(selection.reads_store(start));
}

TEST_CASE("feed selection - a reader that starts lets the other reader answer "
          "before the store, which may be an older copy") {
    for (const std::string& name : five_entries) {
        feed_selection selection = make_selection(name);
        selection.set_entries(five_entries);
        if (!selection.is_reader())
            continue;
        CHECK_FALSE(selection.reads_store(start + milliseconds(100)));
        CHECK(selection.sources(start + milliseconds(100)).size() == 1);
        // Nobody answers, as after the start of all entries.
        CHECK(selection.reads_store(start + milliseconds(400)));
        selection.on_state(start + milliseconds(50));
        CHECK(selection.reads_store(start + milliseconds(100)));
    }
}

// ---- Feed ------------------------------------------------------------------

// Guards against an entry without another one in its region that starts after
// a drill and takes an older configuration from the store.
TEST_CASE("feed selection - a reader that starts lets entries of other regions "
          "answer first") {
    const std::vector<std::string> local =
        GENERATE(std::vector<std::string>{"e-1"},
                 std::vector<std::string>{"e-1", "e-2"});
    feed_selection selection = make_selection("e-1");
    selection.set_entries(
        local, {{"a", {"a-1", "a-2", "a-3"}}, {"b", {"b-1"}}, {"c", {"c-1"}}});
    CHECK_FALSE(selection.reads_store(start + milliseconds(300)));
    const auto sources = selection.startup_sources(start + milliseconds(300));
    REQUIRE(sources.size() == 2);
    CHECK(sources[0].front() != sources[1].front());
    CHECK(selection.startup_sources(start + milliseconds(100)) == sources);
    // Nobody has answered.
    CHECK(selection.reads_store(start + milliseconds(400)));
    CHECK(selection.startup_sources(start + milliseconds(400)).empty());
    // A state from there has come.
    selection.on_state(start + milliseconds(350));
    CHECK(selection.startup_sources(start + milliseconds(360)).empty());
    CHECK(selection.reads_store(start + milliseconds(360)));
}

// Guards against an entry that learns of the others late, and then has no time
// left to ask them before it takes the state of the store.
TEST_CASE("feed selection - other entries may answer first for some time after "
          "they are known") {
    feed_selection selection = make_selection("e-1");
    selection.set_entries({"e-1"}, {{"a", {"a-1"}}});
    selection.on_entries_known(start + milliseconds(300));
    CHECK_FALSE(selection.reads_store(start + milliseconds(699)));
    CHECK(selection.startup_sources(start + milliseconds(699)).size() == 1);
    CHECK(selection.reads_store(start + milliseconds(700)));
    selection.on_entries_known(start + seconds(2));
    CHECK(selection.reads_store(start + seconds(2)));
}

// Guards against entries that all turn to the store when they start together:
// an entry that is asked reads it.
TEST_CASE("feed selection - only readers ask other regions, and only readers "
          "are asked there") {
    for (const std::string& name : five_entries) {
        feed_selection asking = make_selection(name);
        asking.set_entries(five_entries, {{"a", {"a-1", "a-2", "a-3", "a-4"}}});
        const auto sources = asking.startup_sources(start);
        REQUIRE(sources.size() == (asking.is_reader() ? 1U : 0U));
        for (const std::string& source : sources) {
            feed_selection asked = make_selection(source);
            asked.set_entries({"a-1", "a-2", "a-3", "a-4"});
            CHECK(asked.is_reader());
        }
    }
}

TEST_CASE("site feed - an entry that is alone in its region takes the state of "
          "another one after its start") {
    check_lone_entry(true);
}

// Guards against a first request that comes too late for an answer before the
// entry reads the store. An entry that has not started sends no other request.
TEST_CASE("site feed - an entry that is alone in its region asks others as "
          "soon as it knows them") {
    check_lone_entry(false);
}

TEST_CASE("site feed - a copy follows the reader that answers") {
    const std::uint16_t port = support::free_ports(1).front();
    kernel core;
    web_client client(core);
    site_copy source = make_copy(steady::now());
    site_copy copy;
    for (site_copy* each : {&source, &copy}) {
        each->on_entry({"reader", {"127.0.0.2", 80}, "north"});
        each->on_entry({"stopped", {"127.0.0.4", 80}, "north"});
        each->on_entry({"elsewhere", {"127.0.0.9", 80}, "south"});
    }
    int updates = 0;
    site_feed reader(core, client, source,
                     {"reader", "north", {"127.0.0.2", port}, {}}, nullptr);
    site_feed follower(core, client, copy,
                       {"follower", "north", {"127.0.0.3", port}, {}},
                       [&](const site_copy::applied_parts&) { ++updates; });
    running_kernel running(core);
    running.ask([&] {
        const bool listening = start_all({&reader, &follower});
        follower.on_entries_changed();
        return listening;
    });
    CHECK(running.until([&] { return copy.revisions().servers == 10; },
                        seconds(2)));
    CHECK(running.ask(
        [&] { return reader.selection().reads_store(steady::now()); }));
    running.ask([&] {
        source.on_document({"op/config", "newer", 11});
        source.on_documents_read(11, steady::now());
        return true;
    });
    CHECK(running.until([&] { return copy.revisions().documents == 11; },
                        seconds(2)));
    CHECK(running.ask([&] { return updates; }) >= 2);
    raw_connection stranger({"127.0.0.2", port});
    stranger.send("POST /v1/site HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 1\r\nConnection: close\r\n\r\nx");
    CHECK(stranger.read_all().find(" 400 ") != std::string::npos);
    running.stop();
}

TEST_CASE("site feed - a reader behind a narrow link does not keep an entry "
          "from the other one") {
    const std::uint16_t port = support::free_ports(1).front();
    kernel core;
    web_client client(core);
    site_copy source = make_copy(steady::now());
    // A large document crosses the narrow link, a few bytes at a time.
    absl::flat_hash_set<std::uint64_t> answers;
    web_server narrow(core,
                      {[&](exchange_id exchange, const http_request&) {
                           narrow.begin(exchange, {}, 276'557);
                           answers.insert(static_cast<std::uint64_t>(exchange));
                       },
                       [&](exchange_id exchange) {
                           answers.erase(static_cast<std::uint64_t>(exchange));
                       },
                       nullptr});
    core.every("test", milliseconds(100), [&] {
        for (const std::uint64_t exchange : answers)
            narrow.write(exchange_id{exchange}, "some bytes");
    });
    site_copy copy;
    for (site_copy* each : {&source, &copy}) {
        each->on_entry({"narrow", {"127.0.0.2", 80}, "north"});
        each->on_entry({"reader", {"127.0.0.3", 80}, "north"});
    }
    site_feed reader(core, client, source,
                     {"reader", "north", {"127.0.0.3", port}, {}}, nullptr);
    site_feed follower(core, client, copy,
                       {"follower", "north", {"127.0.0.4", port}, {}},
                       [](const site_copy::applied_parts&) {});
    running_kernel running(core);
    running.ask([&] {
        error failure;
        const auto listening = value_or_error(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(narrow.listen({"127.0.0.2", port}));
                BOOST_LEAF_CHECK(reader.start());
                BOOST_LEAF_CHECK(follower.start());
                return true;
            },
            failure);
        follower.on_entries_changed();
        return listening.has_value();
    });
    // Whichever reader is asked first, and after each new document.
    for (std::int64_t revision = 11; revision <= 15; ++revision) {
        running.ask([&] {
            source.on_document({"op/config", "newer", revision});
            source.on_documents_read(revision, steady::now());
            return true;
        });
        CHECK(running.until(
            [&] { return copy.revisions().documents == revision; },
            milliseconds(1500)));
    }
    running.stop();
}

TEST_CASE("site feed - an entry of an earlier release is answered by revision, "
          "and its answers do not replace a state of a later era") {
    const std::uint16_t port = support::free_ports(1).front();
    kernel core;
    web_client client(core);
    site_copy copy;
    copy.on_documents_era(2);
    copy.on_document({"op/config", "after", 4});
    copy.on_documents_read({2, 4}, steady::now());
    copy.on_servers_read({make_server("i-2")}, {2, 4}, steady::now());
    site_feed feed(core, client, copy,
                   {"edge-2", "north", {"127.0.0.1", port}, {}},
                   [](const site_copy::applied_parts&) {});
    error failure;
    REQUIRE(value_or_error(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(feed.start());
            return true;
        },
        failure));
    running_kernel running(core);
    const auto ask = [&](const site_revisions& known, const std::string& eras) {
        raw_connection caller({"127.0.0.1", port});
        const std::string body = encode(known);
        caller.send(fmt::format("POST /v1/site HTTP/1.1\r\nHost: edge-2\r\n"
                                "{}Content-Length: {}\r\n\r\n{}",
                                eras, body.size(), body));
        const std::string head = caller.read_until("\r\n\r\n");
        CHECK(head.find("Ospreystage-Eras: 2,0,2\r\n") != std::string::npos);
        return caller.read_all(milliseconds(200));
    };
    const auto has_document = [](const std::string& body) {
        return body.find("after") != std::string::npos;
    };
    CHECK(has_document(ask({}, "")));
    CHECK_FALSE(has_document(ask({4, 0, 4}, "")));
    CHECK(has_document(ask({9, 0, 9}, "Ospreystage-Eras: 1,0,1\r\n")));
    CHECK_FALSE(has_document(ask({4, 0, 4}, "Ospreystage-Eras: 2,0,2\r\n")));
    // Unreadable eras count as those of an earlier release.
    CHECK_FALSE(has_document(ask({4, 0, 4}, "Ospreystage-Eras: 1,x,-1\r\n")));
    // An answer without eras, as an earlier release sends it.
    site_changes answer;
    answer.revisions = {1035, 0, 1035};
    answer.documents_age = answer.servers_age = milliseconds(0);
    answer.documents = {{"op/config", "before", 1035}};
    answer.servers = {make_server("i-1")};
    const auto applied =
        running.ask([&] { return copy.apply(answer, steady::now()); });
    CHECK(applied.documents.empty());
    CHECK_FALSE(applied.servers);
}

// Guards against a large configuration that each entry of a region gets at its
// full size: callers' requests wait behind it in the same links.
TEST_CASE("site feed - a large configuration of similar routes reaches another "
          "entry at a fraction of its size, and an entry of an earlier release "
          "at its full size") {
    std::string text;
    for (int route = 0; route < 1400; ++route)
        text += fmt::format(
            R"({{"name":"r-{0:x}","hostname":"desk-{0}.example",)"
            R"("path_prefix":"/read/{1:x}/","kind":"streaming",)"
            R"("timeout_ms":6000,"service":"reader","max_attempts":2}})",
            route, stable_hash(std::to_string(route)));
    const std::uint16_t port = support::free_ports(1).front();
    kernel core;
    web_client client(core);
    site_copy source = make_copy(steady::now());
    source.on_document({"op/config", text, 11});
    source.on_document({"op/evacuate/hall-a", "", 11}); // A removal.
    source.on_documents_read(11, steady::now());
    site_copy copy;
    for (site_copy* each : {&source, &copy})
        each->on_entry({"reader", {"127.0.0.2", 80}, "north"});
    site_feed reader(core, client, source,
                     {"reader", "north", {"127.0.0.2", port}, {}}, nullptr);
    std::vector<site_document> received;
    site_feed follower(core, client, copy,
                       {"follower", "north", {"127.0.0.3", port}, {}},
                       [&](const site_copy::applied_parts& applied) {
                           for (const site_document& each : applied.documents)
                               received.push_back(each);
                       });
    REQUIRE(start_all({&reader, &follower}));
    follower.on_entries_changed();
    running_kernel running(core);
    CHECK(running.until([&] { return received.size() == 2; }, seconds(2)));
    running.ask([&] {
        REQUIRE(received.size() == 2);
        CHECK(received[0] == site_document{"op/config", text, 11});
        CHECK(received[1] == site_document{"op/evacuate/hall-a", "", 11});
        return true;
    });
    const auto answer_size = [&](const std::string& fields) {
        raw_connection caller({"127.0.0.2", port});
        const std::string body = encode(site_revisions{});
        caller.send(fmt::format("POST /v1/site HTTP/1.1\r\nHost: reader\r\n"
                                "{}Content-Length: {}\r\n\r\n{}",
                                fields, body.size(), body));
        return caller.read_all(milliseconds(300)).size();
    };
    CHECK(answer_size("") > text.size());
    CHECK(answer_size("Ospreystage-Documents: zlib\r\n") < text.size() / 5);
}
