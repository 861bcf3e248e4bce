#include <ospreystage/fleet/server_ends.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace ospreystage;

namespace {

backend_server make_server(std::int64_t started_unix_ms,
                           bool is_draining = false) {
    backend_server server;
    server.id = "i-1";
    server.service = "desk";
    server.started_unix_ms = started_unix_ms;
    server.is_draining = is_draining;
    return server;
}

const ended_server ended{"i-1", "desk"};

} // namespace

TEST_CASE("server ends - a server that is gone or has started again under its "
          "id has ended") {
    const backend_server first = make_server(100);
    const backend_server second = make_server(200);
    server_ends ends;
    CHECK(ends.update({&first}).empty());
    CHECK(ends.update({&first}).empty());
    CHECK(ends.update({&second}) == std::vector<ended_server>{ended});
    CHECK(ends.update({}) == std::vector<ended_server>{ended});
    CHECK(ends.update({}).empty());
}

TEST_CASE("server ends - a server that was draining and an older entry of a "
          "server are no ends") {
    const backend_server draining = make_server(200, true);
    const backend_server older = make_server(100);
    const backend_server newer = make_server(200);
    server_ends ends;
    CHECK(ends.update({&draining}).empty());
    CHECK(ends.update({}).empty());
    CHECK(ends.update({&newer}).empty());
    CHECK(ends.update({&older}).empty());
}
