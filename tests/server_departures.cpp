#include "tests/support/entry_group.hpp"
#include "tests/support/eventually.hpp"
#include "tests/support/platform_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace ospreystage;
using support::eventually;
using testing::entry_group;
using testing::platform_store;

namespace {

constexpr seconds start_time{10};
/// `bounds.drain_ms` of the entries.
constexpr milliseconds drain_time{3000};

std::string server_key(int number) {
    return fmt::format("servers/i-{}", number);
}

void put_server(platform_store& store, int number) {
    store.put(server_key(number),
              fmt::format(R"({{"service":"desk","address":"10.0.0.{}:80",
                              "zone":"hall-a","slots":4,"state":"ready"}})",
                          number));
}

void put_site(platform_store& store, int servers) {
    store.put("op/config", R"({"version":3,"routes":[],"services":[]})");
    for (int number = 1; number <= servers; ++number)
        put_server(store, number);
}

bool has_logged(entry_group& entries, std::size_t index,
                const std::string& event, int server) {
    const std::string text = entries.process(index).log_text();
    const std::string event_field = fmt::format(R"("event":"{}")", event);
    const std::string id_field = fmt::format(R"("id":"i-{}")", server);
    for (std::size_t at = text.find(event_field); at != std::string::npos;
         at = text.find(event_field, at + 1)) {
        const std::size_t end = text.find('\n', at);
        if (text.substr(at, end - at).find(id_field) != std::string::npos)
            return true;
    }
    return false;
}

/// Returns true if all entries but `left_out` log that the server is gone
/// within `limit`.
bool await_departure(entry_group& entries, int server, std::size_t left_out,
                     milliseconds limit) {
    return eventually(limit, [&] {
        for (std::size_t index = 0; index < entries.size(); ++index)
            if (index != left_out &&
                !has_logged(entries, index, "backend_server_gone", server))
                return false;
        return true;
    });
}

} // namespace

TEST_CASE("server departures - a removed server is dropped in time while the "
          "readers of a region change") {
    platform_store store;
    put_site(store, 9);
    entry_group entries(store.endpoint(), 4);
    REQUIRE(entries.await_ready(start_time));
    REQUIRE(entries.await_version(3, start_time));
    for (std::size_t killed = 0; killed < entries.size(); ++killed) {
        entries.process(killed).kill();
        const int server = static_cast<int>(killed) + 1;
        store.erase(server_key(server));
        CHECK(await_departure(entries, server, killed, drain_time));
        entries.restart(killed);
        REQUIRE(entries.await_ready(start_time));
    }
}

TEST_CASE("server departures - servers whose registration lapses in an outage "
          "stay in use, and one that does not return is dropped") {
    platform_store store;
    put_site(store, 3);
    entry_group entries(store.endpoint(), 3);
    REQUIRE(entries.await_ready(start_time));
    store.set_status(503);
    std::this_thread::sleep_for(seconds(3));
    store.erase(server_key(1));
    store.erase(server_key(2));
    store.set_status(0);
    std::this_thread::sleep_for(milliseconds(1500));
    put_server(store, 1);
    CHECK(await_departure(entries, 2, entries.size(), seconds(4)));
    for (std::size_t index = 0; index < entries.size(); ++index)
        CHECK_FALSE(has_logged(entries, index, "backend_server_gone", 1));
}

TEST_CASE("server departures - a server that leaves just after a drill is "
          "dropped in time by entries in processes of their own") {
    platform_store store;
    put_site(store, 3);
    store.keep_copy();
    entry_group entries(store.endpoint(), 3);
    REQUIRE(entries.await_ready(start_time));
    for (int count = 0; count < 40; ++count)
        store.put("op/other", std::to_string(count));
    std::this_thread::sleep_for(seconds(2));
    store.return_to_copy();
    std::this_thread::sleep_for(milliseconds(1500));
    store.erase(server_key(1));
    CHECK(await_departure(entries, 1, entries.size(), drain_time));
    for (std::size_t index = 0; index < entries.size(); ++index)
        CHECK_FALSE(has_logged(entries, index, "backend_server_gone", 3));
    CHECK(eventually(seconds(2), [&] {
        for (std::size_t index = 0; index < entries.size(); ++index)
            if (entries.metric(index, "ospreystage_store_era") != 2)
                return false;
        return true;
    }));
}
