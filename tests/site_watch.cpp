#include "platform/site_watch.hpp"

#include "tests/support/free_ports.hpp"
#include "tests/support/platform_store.hpp"
#include "tests/support/scripted_server.hpp"
#include "tests/support/slow_link.hpp"

#include <ospreystage/http/web_server.hpp>

#include <absl/container/flat_hash_set.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

using namespace ospreystage;
using namespace ospreystage::platform;
using testing::platform_store;
using testing::running_kernel;

namespace {

constexpr seconds timeout{8};
constexpr milliseconds call_timeout{1000};
constexpr std::uint64_t link_bytes_per_second = 10'000'000;
constexpr const char* entry_key = "ospreystage/entries/edge-1";

/// Makes one store call and returns the result passed to its handler.
template <typename Result>
Result call_store(
    platform_store& store,
    const std::function<void(store_client&, std::function<void(Result)>)>& make,
    const std::optional<address>& endpoint = std::nullopt) {
    kernel core;
    web_client web(core);
    store_client client(web, endpoint.value_or(store.endpoint()), call_timeout);
    std::optional<Result> result;
    core.after("test", std::chrono::nanoseconds(0), [&] {
        make(client, [&](Result value) {
            result = std::move(value);
            core.stop();
        });
    });
    core.after("test", timeout, [&] { core.stop(); });
    core.run();
    REQUIRE(result);
    return std::move(*result);
}

store_result read_all(platform_store& store, const std::string& prefix,
                      const std::optional<address>& endpoint = std::nullopt) {
    return call_store<store_result>(
        store,
        [&](store_client& client, auto done) {
            client.read_all(prefix, std::move(done));
        },
        endpoint);
}

std::string configuration_text(int version) {
    return fmt::format(R"({{"version":{},"routes":[],"services":[]}})",
                       version);
}

std::string server_text(int port) {
    return fmt::format(
        R"({{"service":"desk","address":"10.0.0.1:{}","zone":"hall-a",
             "slots":4,"state":"ready","born":1793055298024}})",
        port);
}

/// A `site_watch` with the state that it updates for one entry.
class entry_view {
  public:
    explicit entry_view(const platform_store& store)
        : entry_view(store.endpoint()) {}
    explicit entry_view(const address& store)
        : web(core), client(web, store, call_timeout), versions(seconds(8)),
          entries(milliseconds(2200)),
          watch(core, client, settings, {routes, servers, versions, entries},
                {[] {}, [] {}, [] {}, [] {}}) {
        settings.name = "edge-1";
        settings.data_centre = "hall-a";
        settings.front = {"10.1.0.40", 8005};
        settings.drain_time = milliseconds(300);
        settings.min_store_lease = milliseconds(250);
        core.post("test", [this] { watch.start(); });
    }

    kernel core;
    node_settings settings;
    web_client web;
    store_client client;
    route_table routes;
    backend_registry servers;
    published_versions versions;
    entry_list entries;
    site_watch watch;
};

} // namespace

// ---- Store client ----------------------------------------------------------

TEST_CASE("store client - all pages of a prefix are read") {
    platform_store store;
    store.set_page_size(2);
    for (const char* key : {"a/1", "a/2", "a/3", "a/4 x", "a/5", "b/1"})
        store.put(key, std::string("value of ") + key);
    const store_result result = read_all(store, "a/");
    CHECK_FALSE(result.failure);
    REQUIRE(result.items.size() == 5);
    CHECK(result.items[3].key == "a/4 x");
    CHECK(result.items[3].value == "value of a/4 x");
    CHECK(result.revision == 7);
    CHECK(store.calls("/v1/kv-range") == 3);
}

TEST_CASE(
    "store client - a watch reports writes and removals after a revision") {
    platform_store store;
    store.put("a/1", "old");
    const std::int64_t known = read_all(store, "a/").revision;
    const auto watch = [&](std::int64_t after, milliseconds wait) {
        return call_store<store_result>(
            store, [&](store_client& client, auto done) {
                client.watch("a/", after, wait, std::move(done));
            });
    };
    const store_result nothing = watch(known, milliseconds(50));
    CHECK_FALSE(nothing.failure);
    CHECK(nothing.items.empty());
    store.put("b/1", "elsewhere");
    store.put("a/2", "new");
    store.erase("a/1");
    const store_result changes = watch(known, seconds(2));
    REQUIRE(changes.items.size() == 2);
    CHECK(changes.items[0].value == "new");
    CHECK(changes.items[1].is_removed);
    CHECK(changes.revision == known + 3);
    store.compact();
    CHECK(watch(known, seconds(2)).failure == store_failure::compacted);
}

TEST_CASE("store client - each kind of failure is reported as such") {
    platform_store store;
    const std::vector<std::pair<std::uint16_t, store_failure>> cases = {
        {404, store_failure::no_lease}, {410, store_failure::compacted},
        {412, store_failure::conflict}, {429, store_failure::refused},
        {503, store_failure::refused},  {500, store_failure::malformed}};
    for (const auto& [status, failure] : cases) {
        store.fail_next("/v1/kv-range", 1, status);
        CHECK(read_all(store, "a/").failure == failure);
    }
    store.set_malformed(true);
    CHECK(read_all(store, "a/").failure == store_failure::malformed);
    const address unreachable{"127.0.0.1", 1};
    CHECK(read_all(store, "a/", unreachable).failure ==
          store_failure::unreachable);
}

TEST_CASE("store client - keys of a lease are removed when it ends") {
    platform_store store;
    const auto lease =
        call_store<std::uint64_t>(store, [](store_client& client, auto done) {
            client.grant_lease(seconds(5), [done](auto failure, auto granted) {
                CHECK_FALSE(failure);
                done(granted);
            });
        });
    using outcome = std::optional<store_failure>;
    const auto call = [&](auto body) {
        return call_store<outcome>(store, [&](store_client& client, auto done) {
            body(client, std::move(done));
        });
    };
    CHECK_FALSE(call([&](store_client& client, auto done) {
        client.write("a/1", "bytes\n", lease, done);
    }));
    CHECK(store.value("a/1") == "bytes\n");
    CHECK_FALSE(call([&](store_client& client, auto done) {
        client.renew_lease(lease, done);
    }));
    CHECK_FALSE(call([&](store_client& client, auto done) {
        client.end_lease(lease, done);
    }));
    CHECK_FALSE(store.value("a/1"));
    CHECK(call([&](store_client& client, auto done) {
              client.renew_lease(lease, done);
          }) == store_failure::no_lease);
    CHECK(call([&](store_client& client, auto done) {
              client.write("a/1", "late", lease, done);
          }) == store_failure::no_lease);
}

TEST_CASE("store client - every call is reported with its size and outcome") {
    platform_store store;
    store.put("a/1", std::string(1000, 'x'));
    store.fail_next("/v1/kv-range", 1, 503);
    std::vector<std::tuple<std::string, bool, bool>> reported;
    for (int call = 0; call < 2; ++call)
        call_store<store_result>(store, [&](store_client& client, auto done) {
            client.set_observer([&](const store_call& ended) {
                reported.emplace_back(ended.operation,
                                      ended.failure.has_value(),
                                      ended.received_bytes > 1000);
            });
            client.read_all("a/", std::move(done));
        });
    REQUIRE(reported.size() == 2);
    CHECK(reported[0] == std::tuple("read a/", true, false));
    CHECK(reported[1] == std::tuple("read a/", false, true));
}

// ---- Site watch ------------------------------------------------------------

TEST_CASE("site watch - configurations are applied and never revert") {
    platform_store store;
    store.put("op/config", configuration_text(3));
    entry_view entry(store);
    running_kernel running(entry.core);
    const auto in_force = [&] { return entry.routes.current().version; };
    REQUIRE(running.until([&] { return in_force() == 3; }, seconds(1)));
    store.put("op/config", configuration_text(7));
    CHECK(running.until([&] { return in_force() == 7; }, milliseconds(500)));
    store.put("op/config", configuration_text(5));
    store.put("op/config", "not json");
    store.put("op/config", configuration_text(9));
    CHECK(running.until([&] { return in_force() == 9; }, milliseconds(500)));
}

TEST_CASE("site watch - known state stays in effect while the store is down") {
    platform_store store;
    store.set_status(503);
    entry_view entry(store);
    running_kernel running(entry.core);
    const auto in_force = [&] { return entry.routes.current().version; };
    CHECK_FALSE(running.until([&] { return entry.routes.is_configured(); },
                              milliseconds(500)));
    store.put("op/config", configuration_text(3));
    store.put("servers/i-1", server_text(80));
    store.set_status(0);
    REQUIRE(running.until(
        [&] { return in_force() == 3 && entry.servers.has_list(); },
        seconds(2)));
    store.set_status(429);
    std::this_thread::sleep_for(milliseconds(600));
    CHECK(running.ask(in_force) == 3);
    CHECK(running.ask([&] { return entry.servers.serving("desk").size(); }) ==
          1);
    store.put("op/config", configuration_text(4));
    store.set_status(0);
    CHECK(running.until([&] { return in_force() == 4; }, seconds(2)));
}

TEST_CASE(
    "site watch - all items are read again after the history is compacted") {
    platform_store store;
    store.put("op/config", configuration_text(3));
    store.put("op/version/m", R"({"model":"m","version":1})");
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return entry.routes.is_configured(); },
                          seconds(1)));
    store.compact();
    store.put("op/config", configuration_text(4));
    store.put("op/version/m", R"({"model":"m","version":2})");
    CHECK(running.until(
        [&] {
            const auto named = entry.versions.find("m");
            return entry.routes.current().version == 4 && named &&
                   named->version == 2 && named->is_observed;
        },
        seconds(1)));
}

TEST_CASE("site watch - state from other entries does not replace the snapshot "
          "that a compacted history requires") {
    platform_store store;
    store.put("op/config", configuration_text(3));
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return entry.routes.is_configured(); },
                          seconds(1)));
    store.compact();
    store.put("op/config", configuration_text(4));
    CHECK(running.until(
        [&] {
            // An answer of another entry without anything newer.
            entry.watch.on_feed({});
            return entry.routes.current().version == 4;
        },
        seconds(2)));
}

TEST_CASE(
    "site watch - entries of earlier releases are listed without a region") {
    platform_store store;
    store.put("ospreystage/entries/old", "10.0.0.7:80");
    store.put("ospreystage/entries/new", "10.0.0.8:80 north");
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until(
        [&] { return entry.watch.copy().entries().size() >= 2; }, seconds(1)));
    CHECK(running.ask([&] {
        const auto& entries = entry.watch.copy().entries();
        return entries.at("old").region.empty() &&
               entries.at("new").region == "north" &&
               entries.at("old").callers == address{"10.0.0.7", 80};
    }));
}

TEST_CASE("site watch - malformed server registrations are ignored") {
    platform_store store;
    store.put("servers/i-1", server_text(80));
    store.put("servers/i-2", "\xff\xfe");
    store.put("servers/i-3", R"({"service":7})");
    store.put("servers/i-4", server_text(81));
    entry_view entry(store);
    running_kernel running(entry.core);
    CHECK(running.until(
        [&] { return entry.servers.serving("desk").size() == 2; }, seconds(1)));
}

TEST_CASE("site watch - an entry registers again after its lease has ended") {
    platform_store store;
    entry_view entry(store);
    running_kernel running(entry.core);
    const auto is_registered = [&] {
        return store.value(entry_key) == "10.1.0.40:8005 hall-a";
    };
    REQUIRE(running.until(is_registered, seconds(1)));
    REQUIRE(
        running.until([&] { return entry.entries.size() == 1; }, seconds(1)));
    store.end_leases();
    CHECK(running.until(is_registered, seconds(2)));
}

TEST_CASE("site watch - a withdrawal is retried until the store accepts it") {
    platform_store store;
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return store.value(entry_key).has_value(); },
                          seconds(1)));
    store.fail_next("/v1/kv-lease-end", 2, 503);
    running.ask([&] {
        entry.watch.withdraw();
        return true;
    });
    CHECK(running.until([&] { return !store.value(entry_key); }, seconds(2)));
    std::this_thread::sleep_for(milliseconds(500));
    CHECK_FALSE(store.value(entry_key));
}

TEST_CASE("site watch - withdrawal retries back off while the store is down") {
    platform_store store;
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return store.value(entry_key).has_value(); },
                          seconds(1)));
    store.fail_next("/v1/kv-lease-end", 1000, 503);
    running.ask([&] {
        entry.watch.withdraw();
        return true;
    });
    std::this_thread::sleep_for(seconds(2));
    CHECK(store.calls("/v1/kv-lease-end") >= 3);
    CHECK(store.calls("/v1/kv-lease-end") <= 6);
}

TEST_CASE(
    "site watch - after an outage a document is read once, not in each of "
    "its versions since") {
    constexpr int versions = 20;
    const std::string padding(10'000, ' ');
    platform_store store;
    store.put("op/config", configuration_text(1) + padding);
    entry_view entry(store);
    std::atomic<std::size_t> received{0};
    entry.client.set_observer([&](const store_call& call) {
        if (call.operation.ends_with("op/"))
            received += call.received_bytes;
    });
    running_kernel running(entry.core);
    const auto in_force = [&] { return entry.routes.current().version; };
    REQUIRE(running.until([&] { return in_force() == 1; }, seconds(1)));
    store.set_status(503);
    for (int version = 2; version <= versions; ++version)
        store.put("op/config", configuration_text(version) + padding);
    std::this_thread::sleep_for(seconds(3));
    received = 0;
    store.set_status(0);
    CHECK(running.until([&] { return in_force() == versions; }, seconds(2)));
    CHECK(received < 3 * padding.size());
}

TEST_CASE("site watch - documents do not count as unchanged while a change of "
          "them is still arriving") {
    constexpr std::size_t large_answer_bytes = 276'557;
    kernel store_core;
    absl::flat_hash_set<std::uint64_t> changes;
    std::function<void(exchange_id, const std::string&)> answer;
    web_server store(store_core,
                     {[&](exchange_id exchange, const http_request& request) {
                          answer(exchange, request.target);
                      },
                      [&](exchange_id exchange) {
                          changes.erase(static_cast<std::uint64_t>(exchange));
                      },
                      nullptr});
    answer = [&](exchange_id exchange, const std::string& target) {
        if (target.starts_with("/v1/kv-watch?path_prefix=op")) {
            changes.insert(static_cast<std::uint64_t>(exchange));
            store.begin(exchange, {}, large_answer_bytes);
            return;
        }
        http_response response = text_response(
            "application/json",
            R"({"items":[],"has_more":false,"store_revision":5})");
        if (!target.starts_with("/v1/kv-range"))
            response.status = 503;
        store.respond(exchange, response);
    };
    store_core.every("test", milliseconds(50), [&] {
        for (const std::uint64_t exchange : changes)
            store.write(exchange_id{exchange}, "some bytes");
    });
    const address endpoint{"127.0.0.1", support::free_ports(1).front()};
    running_kernel running_store(store_core);
    REQUIRE(running_store.ask([&] {
        error failure;
        return value_or_error(
                   [&]() -> leaf::result<bool> {
                       BOOST_LEAF_CHECK(store.listen(endpoint));
                       return true;
                   },
                   failure)
            .has_value();
    }));
    entry_view entry(endpoint);
    running_kernel running(entry.core);
    const auto age = [&] { return entry.watch.copy().age(steady::now()); };
    REQUIRE(running.until([&] { return age().has_value(); }, seconds(1)));
    CHECK(running.until([&] { return *age() > seconds(1); }, seconds(2)));
    running.stop();
    running_store.stop();
}

TEST_CASE("site watch - a version that was named while this entry stood still "
          "ends no later than its limit") {
    platform_store store;
    store.put("op/config", configuration_text(3));
    store.put("op/version/m", R"({"model":"m","version":1})");
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return entry.versions.find("m").has_value(); },
                          seconds(1)));
    std::atomic<bool> is_frozen{false};
    entry.core.post("test", [&] {
        is_frozen = true;
        std::this_thread::sleep_for(milliseconds(3500));
    });
    while (!is_frozen)
        std::this_thread::yield();
    const instant acknowledged = steady::now();
    store.put("op/version/m", R"({"model":"m","version":2})");
    REQUIRE(running.until(
        [&] { return entry.versions.find("m")->version == 2; }, seconds(6)));
    const auto late = entry.versions.find("m")->received_at - acknowledged;
    CAPTURE(late / milliseconds(1), entry.versions.find("m")->is_observed);
    const instant limit = acknowledged + seconds(8);
    CHECK(entry.versions.min_version("m", limit) == 2);
    CHECK(entry.versions.min_begin_version("m", limit) == 2);
}

TEST_CASE("site watch - a version that was named while the connections to the "
          "store were silent ends no later than its limit") {
    platform_store store;
    store.put("op/config", configuration_text(3));
    store.put("op/version/m", R"({"model":"m","version":1})");
    testing::slow_link link(store.endpoint(), link_bytes_per_second);
    entry_view entry(link.endpoint());
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return entry.versions.find("m").has_value(); },
                          seconds(1)));
    const int watches = store.calls("/v1/kv-watch");
    REQUIRE(running.until([&] { return store.calls("/v1/kv-watch") > watches; },
                          timeout));
    link.silence();
    const instant acknowledged = steady::now();
    store.put("op/version/m", R"({"model":"m","version":2})");
    REQUIRE(running.until(
        [&] { return entry.versions.find("m")->version == 2; }, seconds(6)));
    const auto late = running.ask(
        [&] { return entry.versions.find("m")->received_at - acknowledged; });
    CAPTURE(late / milliseconds(1));
    const instant limit = acknowledged + seconds(8);
    CHECK(entry.versions.min_version("m", limit) == 2);
    CHECK(entry.versions.min_begin_version("m", limit) == 2);
}

TEST_CASE(
    "site watch - a version from an entry that has learned of it late ends "
    "no later than its limit") {
    platform_store store;
    store.set_status(503);
    entry_view entry(store);
    running_kernel running(entry.core);
    const auto pass_on = [&](std::int64_t revision, int version) {
        site_changes changes;
        changes.revisions.documents = {1, revision};
        changes.documents_age = milliseconds(0);
        changes.documents.push_back(
            {"op/version/m",
             fmt::format(R"({{"model":"m","version":{}}})", version),
             revision});
        entry.watch.on_feed(
            entry.watch.copy().apply(changes, steady::now(), "edge-2"));
        return true;
    };
    REQUIRE(running.ask([&] { return pass_on(5, 1); }));
    const instant known = steady::now();
    std::this_thread::sleep_for(seconds(3));
    REQUIRE(running.ask([&] { return pass_on(6, 2); }));
    const auto named = running.ask([&] { return *entry.versions.find("m"); });
    CHECK(named.version == 2);
    CHECK(named.received_at <= known);
    // Without a gap, the version counts from now on.
    REQUIRE(running.ask([&] { return pass_on(7, 3); }));
    CHECK(running.ask([&] { return entry.versions.find("m")->received_at; }) >
          known + seconds(2));
}

// ---- Drills ----------------------------------------------------------------

namespace {

/// Lets a store grow past the copy that it returns to.
void write_often(platform_store& store) {
    for (int count = 0; count < 40; ++count)
        store.put("op/other", std::to_string(count));
}

/// The site of an entry whose store returns from an older copy.
struct drill_site {
    explicit drill_site(const std::vector<int>& ports) : entry(store) {
        for (const int port : ports)
            put_server(port);
        expected = ports.size();
    }

    void put_server(int port) { store.put(key_of(port), server_text(port)); }
    void put_draining(int port) {
        std::string text = server_text(port);
        text.replace(text.find("ready"), 5, "draining");
        store.put(key_of(port), text);
    }
    static std::string key_of(int port) {
        return fmt::format("servers/i-{}", port);
    }
    [[nodiscard]] bool serves(int port) const {
        const auto serving = entry.servers.serving("desk");
        return std::any_of(serving.begin(), serving.end(),
                           [port](const backend_server* server) {
                               return server->endpoint.port == port;
                           });
    }

    platform_store store;
    entry_view entry;
    std::size_t expected = 0;
};

/// Longest time in which a change of the list of servers is applied.
constexpr milliseconds list_time{1000};

} // namespace

TEST_CASE("site watch - a server that leaves after the store has returned from "
          "an older copy gets no more requests") {
    drill_site site({80, 81});
    site.store.keep_copy();
    write_often(site.store);
    running_kernel running(site.entry.core);
    REQUIRE(running.until([&] { return site.serves(80); }, timeout));
    site.store.return_to_copy();
    site.put_draining(80);
    site.store.erase(drill_site::key_of(81));
    CHECK(running.until([&] { return !site.serves(80); }, list_time));
    CHECK(running.until([&] { return !site.serves(81); }, seconds(3)));
}

TEST_CASE("site watch - an older copy does not bring back servers that are "
          "known to leave") {
    drill_site site({80, 81, 82});
    site.store.keep_copy();
    running_kernel running(site.entry.core);
    REQUIRE(running.until([&] { return site.serves(81); }, timeout));
    site.put_draining(80);
    site.store.erase(drill_site::key_of(81));
    write_often(site.store);
    REQUIRE(running.until([&] { return !site.serves(80) && !site.serves(81); },
                          timeout));
    site.store.return_to_copy();
    CHECK_FALSE(running.until(
        [&] { return site.serves(80) || site.serves(81); }, seconds(1)));
    CHECK(running.ask([&] { return site.serves(82); }));
}

TEST_CASE("site watch - servers that an older copy does not list stay in use "
          "until they are written again") {
    drill_site site({80});
    site.store.keep_copy();
    site.put_server(81);
    write_often(site.store);
    running_kernel running(site.entry.core);
    REQUIRE(running.until([&] { return site.serves(81); }, timeout));
    site.store.return_to_copy();
    CHECK_FALSE(
        running.until([&] { return !site.serves(81); }, milliseconds(1500)));
    site.put_server(81);
    CHECK_FALSE(running.until([&] { return !site.serves(81); }, seconds(2)));
    site.store.erase(drill_site::key_of(81));
    CHECK(running.until([&] { return !site.serves(81); }, list_time));
}

TEST_CASE("site watch - a server that is not written again after a drill is "
          "gone after the time that registrations take") {
    drill_site site({80});
    site.store.keep_copy();
    site.put_server(81);
    write_often(site.store);
    running_kernel running(site.entry.core);
    REQUIRE(running.until([&] { return site.serves(81); }, timeout));
    site.store.return_to_copy();
    CHECK(running.until([&] { return !site.serves(81); }, seconds(4)));
}

TEST_CASE("site watch - the configuration that follows a drill is the one that "
          "is passed on to other entries") {
    platform_store store;
    store.keep_copy();
    write_often(store);
    store.put("op/config", configuration_text(2));
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return entry.routes.current().version == 2; },
                          timeout));
    store.return_to_copy();
    store.put("op/config", configuration_text(2));
    store.put("op/config", configuration_text(3));
    CHECK(running.until([&] { return entry.routes.current().version == 3; },
                        timeout));
    CHECK(running.until(
        [&] {
            const auto passed_on =
                entry.watch.copy().changes_since({}, steady::now()).documents;
            return std::any_of(passed_on.begin(), passed_on.end(),
                               [](const site_document& document) {
                                   return document.text ==
                                          configuration_text(3);
                               });
        },
        list_time));
}

TEST_CASE(
    "site watch - the configuration in force is passed on to entries that "
    "start before the operator has written it again") {
    const bool has_older = GENERATE(true, false);
    const int drills = GENERATE(1, 2);
    CAPTURE(has_older, drills);
    platform_store store;
    if (has_older)
        store.put("op/config", configuration_text(2));
    store.keep_copy();
    write_often(store);
    store.put("op/config", configuration_text(3));
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return entry.routes.current().version == 3; },
                          timeout));
    const auto passed_on = [&](std::int64_t era) -> std::string {
        const site_changes changes =
            entry.watch.copy().changes_since({}, steady::now());
        if (changes.revisions.documents.era != era)
            return "";
        for (const site_document& document : changes.documents)
            if (document.key == "op/config")
                return document.text;
        return "";
    };
    for (int drill = 0; drill < drills; ++drill)
        store.return_to_copy();
    CHECK(running.until(
        [&] { return passed_on(1 + drills) == configuration_text(3); },
        timeout));
    store.put("op/config", configuration_text(4));
    CHECK(running.until(
        [&] { return passed_on(1 + drills) == configuration_text(4); },
        timeout));
}

TEST_CASE("site watch - an older copy does not bring back entries that have "
          "left") {
    const int drills = GENERATE(1, 2);
    CAPTURE(drills);
    platform_store store;
    store.put("ospreystage/entries/edge-2", "10.1.0.41:8005 north");
    store.put("ospreystage/entries/edge-3", "10.1.0.42:8005 north");
    store.keep_copy();
    entry_view entry(store);
    entry.settings.min_store_lease = seconds(2);
    running_kernel running(entry.core);
    const auto lists = [&](const char* host) {
        const auto callers = entry.entries.caller_addresses();
        return std::any_of(
            callers.begin(), callers.end(),
            [&](const address& each) { return each.host == host; });
    };
    REQUIRE(running.until([&] { return lists("10.1.0.41"); }, timeout));
    store.erase("ospreystage/entries/edge-2");
    REQUIRE(running.until([&] { return !lists("10.1.0.41"); }, timeout));
    for (int drill = 0; drill < drills; ++drill) {
        store.return_to_copy();
        CHECK_FALSE(
            running.until([&] { return lists("10.1.0.41"); }, seconds(1)));
        CHECK(running.ask([&] { return lists("10.1.0.42"); }));
    }
    // The entry starts again.
    store.put("ospreystage/entries/edge-2", "10.1.0.41:8005 north");
    CHECK(running.until([&] { return lists("10.1.0.41"); }, list_time));
}

TEST_CASE("site watch - an entry whose registration a drill has undone "
          "registers again at once") {
    platform_store store;
    store.keep_copy();
    write_often(store);
    entry_view entry(store);
    entry.settings.min_store_lease = seconds(15);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return store.value(entry_key).has_value(); },
                          timeout));
    store.return_to_copy();
    CHECK(running.until([&] { return store.value(entry_key).has_value(); },
                        list_time));
}

TEST_CASE(
    "site watch - a lease whose number a drill has given to another entry "
    "is neither renewed nor ended") {
    platform_store store;
    store.keep_copy();
    write_often(store);
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return store.value(entry_key).has_value(); },
                          timeout));
    const int renewals = store.calls("/v1/kv-keep/1");
    store.return_to_copy(1);
    CHECK(running.until([&] { return store.value(entry_key).has_value(); },
                        seconds(2)));
    running.ask([&] {
        entry.watch.withdraw();
        return true;
    });
    CHECK(running.until([&] { return !store.value(entry_key).has_value(); },
                        timeout));
    CHECK(store.calls("/v1/kv-lease-end/1") == 0);
    CHECK(store.calls("/v1/kv-lease-end/2") == 1);
    CHECK(store.calls("/v1/kv-keep/1") <= renewals + 1);
}

TEST_CASE("store client - a call that another era answers is not executed for "
          "its caller") {
    platform_store store;
    store.put("a/1", "one");
    kernel core;
    web_client web(core);
    store_client client(web, store.endpoint(), call_timeout);
    std::vector<std::optional<store_failure>> ends;
    std::vector<std::int64_t> eras;
    client.set_era_handler(
        [&](std::int64_t, std::int64_t era) { eras.push_back(era); });
    running_kernel running(core);
    const auto read = [&] {
        const std::size_t known = running.ask([&] {
            client.read_all("a/", [&](const store_result& result) {
                ends.push_back(result.failure);
            });
            return ends.size();
        });
        REQUIRE(running.until([&] { return ends.size() > known; }, timeout));
    };
    read();
    store.keep_copy();
    store.return_to_copy();
    read();
    read();
    CHECK(ends == std::vector<std::optional<store_failure>>{
                      std::nullopt, store_failure::era_changed, std::nullopt});
    CHECK(eras == std::vector<std::int64_t>{2});
}

TEST_CASE("store client - an era that is no number, is missing or goes back "
          "changes nothing") {
    const std::string value =
        GENERATE("", "Store-Era: x\r\n", "Store-Era: -3\r\n",
                 "Store-Era: 99999999999999999999\r\n", "Store-Era: 900000\r\n",
                 "Store-Era: 6\r\n");
    int calls = 0;
    const testing::scripted_server server([&](const std::string&) {
        const std::string body =
            R"({"items":[],"has_more":false,"store_revision":4})";
        return testing::scripted_answer{fmt::format(
            "HTTP/1.1 200 OK\r\n{}Content-Length: {}\r\n\r\n{}",
            ++calls == 1 ? "Store-Era: 7\r\n" : value, body.size(), body)};
    });
    kernel core;
    web_client web(core);
    store_client client(web, server.endpoint(), call_timeout);
    std::vector<std::optional<store_failure>> ends;
    bool has_changed = false;
    client.set_era_handler(
        [&](std::int64_t, std::int64_t) { has_changed = true; });
    running_kernel running(core);
    for (std::size_t count = 1; count <= 2; ++count) {
        running.ask([&] {
            client.read_all("a/", [&](const store_result& result) {
                ends.push_back(result.failure);
            });
            return true;
        });
        REQUIRE(running.until([&] { return ends.size() == count; }, timeout));
    }
    CHECK(running.ask([&] { return client.era(); }) == 7);
    CHECK_FALSE(has_changed);
    // An answer of an earlier era is not taken for one of this one.
    CHECK(ends[1].has_value() == (value == "Store-Era: 6\r\n"));
}

// ---- Evacuations -----------------------------------------------------------

namespace {

bool is_evacuated(const entry_view& entry, const std::string& data_centre) {
    return entry.watch.evacuated().contains(data_centre, steady::now());
}

} // namespace

TEST_CASE("site watch - evacuations are in force as long as their keys exist") {
    platform_store store;
    store.put("op/evacuate/hall-a", "{}");
    store.put("op/evacuate/", "{}");
    entry_view entry(store);
    running_kernel running(entry.core);
    const auto awaits = [&](const std::string& data_centre, bool expected) {
        return running.until(
            [&] { return is_evacuated(entry, data_centre) == expected; },
            milliseconds(500));
    };
    CHECK(awaits("hall-a", true));
    // Neither a value that is no JSON nor a data centre that does not exist
    // disturbs the others.
    store.put("op/evacuate/nowhere", "");
    store.put("op/evacuate/hall-b", "not json");
    CHECK(awaits("hall-b", true));
    CHECK(awaits("nowhere", true));
    CHECK(awaits("hall-c", false));
    store.erase("op/evacuate/hall-a");
    CHECK(awaits("hall-a", false));
    CHECK(awaits("hall-b", true));
    // The next read returns everything, without the key.
    store.compact();
    store.erase("op/evacuate/hall-b");
    store.compact();
    store.put("op/config", configuration_text(3));
    CHECK(running.until([&] { return !is_evacuated(entry, "hall-b"); },
                        seconds(4)));
    CHECK(awaits("nowhere", true));
}

TEST_CASE("site watch - an evacuation that an older copy of the store lacks "
          "holds for the time of registrations; one that it has is in force") {
    platform_store store;
    store.put("op/evacuate/hall-a", "{}");
    store.keep_copy();
    store.erase("op/evacuate/hall-a");
    store.put("op/evacuate/hall-b", "{}");
    entry_view entry(store);
    running_kernel running(entry.core);
    REQUIRE(running.until([&] { return is_evacuated(entry, "hall-b"); },
                          seconds(1)));
    store.return_to_copy();
    const instant returned = steady::now();
    REQUIRE(running.until([&] { return is_evacuated(entry, "hall-a"); },
                          milliseconds(2000)));
    std::this_thread::sleep_until(returned + milliseconds(2000));
    CHECK(running.ask([&] { return is_evacuated(entry, "hall-b"); }));
    CHECK(running.until([&] { return !is_evacuated(entry, "hall-b"); },
                        milliseconds(3000)));
    CHECK(running.ask([&] { return is_evacuated(entry, "hall-a"); }));
}

TEST_CASE("site watch - a removal that another entry passes on ends an "
          "evacuation") {
    // As encoded for an entry of the release before, which passes over it.
    site_copy source;
    source.on_documents_era(1);
    source.on_document({"op/evacuate/hall-a", "{}", 5});
    source.on_documents_read({1, 5}, steady::now());
    platform_store store;
    store.set_status(503);
    entry_view entry(store);
    running_kernel running(entry.core);
    const auto pass_on = [&] {
        return running.ask([&] {
            const site_changes changes = source.changes_since(
                entry.watch.copy().revisions(), steady::now());
            entry.watch.on_feed(
                entry.watch.copy().apply(changes, steady::now(), "edge-2"));
            return is_evacuated(entry, "hall-a");
        });
    };
    CHECK(pass_on());
    source.on_document({"op/evacuate/hall-a", "", 7});
    source.on_documents_read({1, 7}, steady::now());
    error failure;
    const auto decoded = value_or_error(
        [&] {
            return decode_site_changes(
                encode(source.changes_since({{1, 5}, {}, {}}, steady::now())),
                "edge-2");
        },
        failure);
    REQUIRE(decoded);
    CHECK(decoded->documents ==
          std::vector<site_document>{{"op/evacuate/hall-a", "", 7}});
    CHECK_FALSE(pass_on());
}
