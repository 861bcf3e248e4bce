#include "tests/support/entry_group.hpp"
#include "tests/support/eventually.hpp"
#include "tests/support/platform_store.hpp"
#include "tests/support/raw_connection.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <string>
#include <thread>

using namespace ospreystage;
using support::eventually;
using testing::entry_group;
using testing::platform_store;

namespace {

constexpr seconds start_time{10};
/// `bounds.contact_ms` and `bounds.drain_ms` of the entries.
constexpr milliseconds contact_time{3000};
constexpr milliseconds drain_time{3000};
constexpr int entry_count = 3;

std::string make_route(const std::string& name) {
    return fmt::format(
        R"({{"name":"{}","hostname":"a.example","path_prefix":"/{}/",
             "kind":"safe","timeout_ms":800,"target_latency_ms":100,
             "priority":2,"service":"desk","max_attempts":2,"public":false,
             "sticky":false,"stream_resume":false}})",
        name, name);
}

/// Up to version 2, the configuration has what version 3 revokes and drops.
void put_configuration(platform_store& store, int version) {
    const bool is_older = version <= 2;
    store.put("op/config", fmt::format(
                               R"({{"version":{},"routes":[{}{}],
                 "services":[{{"name":"desk","health_path":"/healthz",
                               "max_connections":10,"protocol":"h1",
                               "tls":false}}],
                 "tenants":[{{"name":"t","api_keys":["kept"{}]}}]}})",
                               version, make_route("kept"),
                               is_older ? "," + make_route("dropped") : "",
                               is_older ? R"(,"revoked")" : ""));
}

/// Returns the status of an entry's answer, as text.
std::string status_of(const entry_group& entries, std::size_t index,
                      const std::string& path, const std::string& key) {
    testing::raw_connection caller(entries.front(index));
    caller.send(fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                            "X-Request-Id: 1\r\nApi-Key: {}\r\n"
                            "Connection: close\r\n\r\n",
                            path, key));
    const std::string answer = caller.read_all(seconds(2));
    return answer.substr(answer.find(' ') + 1, 3);
}

/// Checks that all entries obey version 3 of the configuration.
void check_revoked(const entry_group& entries) {
    for (std::size_t index = 0; index < entries.size(); ++index) {
        CAPTURE(index);
        // There is no server.
        CHECK(status_of(entries, index, "/kept/1", "kept") == "503");
        CHECK(status_of(entries, index, "/kept/1", "revoked") == "401");
        CHECK(status_of(entries, index, "/dropped/1", "kept") == "404");
    }
}

void put_server(platform_store& store, int number) {
    store.put(fmt::format("servers/i-{}", number),
              fmt::format(R"({{"service":"desk","address":"10.0.0.{}:80",
                              "zone":"hall-a","slots":4,"state":"ready"}})",
                          number));
}

/// Returns true if the last line of an entry's log on the server lists it.
bool lists_server(entry_group& entries, std::size_t index, int number) {
    const std::string text = entries.process(index).log_text();
    const std::string id = fmt::format(R"("id":"i-{}")", number);
    bool is_listed = false;
    for (std::size_t at = 0; at < text.size();) {
        const std::size_t end = std::min(text.find('\n', at), text.size());
        const std::string line = text.substr(at, end - at);
        if (line.find(id) != std::string::npos) {
            if (line.find("backend_server_listed") != std::string::npos)
                is_listed = true;
            if (line.find("backend_server_gone") != std::string::npos)
                is_listed = false;
        }
        at = end + 1;
    }
    return is_listed;
}

bool await_era(const entry_group& entries, double era) {
    return eventually(start_time, [&] {
        for (std::size_t index = 0; index < entries.size(); ++index)
            if (entries.metric(index, "ospreystage_store_era") != era)
                return false;
        return true;
    });
}

/// Lets the store grow past the copy that it returns to.
void write_often(platform_store& store) {
    for (int count = 0; count < 40; ++count)
        store.put("op/other", std::to_string(count));
}

} // namespace

TEST_CASE("store drills - entries that start after one and two drills obey the "
          "configuration that was accepted before") {
    platform_store store;
    put_configuration(store, 2);
    store.keep_copy();
    write_often(store);
    put_configuration(store, 3);
    entry_group entries(store.endpoint(), entry_count);
    REQUIRE(entries.await_ready(start_time));
    REQUIRE(entries.await_version(3, start_time));
    check_revoked(entries);
    for (int drill = 1; drill <= 2; ++drill) {
        store.return_to_copy();
        REQUIRE(await_era(entries, 1 + drill));
        // The readers are among them, so that others take over.
        for (std::size_t index = 0; index < entries.size(); ++index) {
            entries.process(index).kill();
            entries.restart(index);
            REQUIRE(entries.await_ready(start_time));
            CAPTURE(drill, index);
            CHECK(entries.await_version(3, contact_time));
            check_revoked(entries);
        }
    }
    put_configuration(store, 3);
    put_configuration(store, 4);
    CHECK(entries.await_version(4, contact_time));
    check_revoked(entries);
}

TEST_CASE("store drills - a server that leaves after one and two drills is "
          "dropped by entries that started meanwhile and by the others") {
    platform_store store;
    put_configuration(store, 3);
    for (int number = 1; number <= 3; ++number)
        put_server(store, number);
    store.keep_copy();
    write_often(store);
    entry_group entries(store.endpoint(), entry_count);
    REQUIRE(entries.await_ready(start_time));
    for (int drill = 1; drill <= 2; ++drill) {
        store.return_to_copy();
        const instant returned = steady::now();
        REQUIRE(await_era(entries, 1 + drill));
        // The first and the last entry start anew.
        for (const std::size_t index : {std::size_t{0}, entries.size() - 1}) {
            entries.process(index).kill();
            entries.restart(index);
        }
        REQUIRE(entries.await_ready(start_time));
        // The bound holds for removals that a stable store acknowledges.
        std::this_thread::sleep_until(returned + contact_time);
        store.erase("servers/i-1");
        CHECK(eventually(drain_time, [&] {
            for (std::size_t index = 0; index < entries.size(); ++index)
                if (lists_server(entries, index, 1))
                    return false;
            return true;
        }));
        for (std::size_t index = 0; index < entries.size(); ++index) {
            CAPTURE(drill, index);
            CHECK(lists_server(entries, index, 2));
        }
    }
}
