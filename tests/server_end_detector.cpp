#include "tests/support/scripted_server.hpp"

#include <ospreystage/core/resource_limits.hpp>
#include <ospreystage/serving/server_end_detector.hpp>

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <vector>

using namespace ospreystage;
using testing::scripted_answer;
using testing::scripted_server;

// The failure to open a connection was taken for the server's.
TEST_CASE("server end detector - an entry without a free connection does not "
          "take a server that goes on for one that has ended") {
    memory_budget memory(64 * 1024 * 1024);
    kernel core;
    const resource_limits& limits =
        core.add(resource_limits::service_name,
                 std::make_unique<resource_limits>(memory, 201, true));
    const scripted_server silent(
        [](const std::string&) { return scripted_answer{""}; });
    web_client client(core);
    call_handlers ignored;
    ignored.head = [](const http_response&) {};
    ignored.body = [](std::string_view) {};
    ignored.ended = [](call_end) {};
    for (std::size_t call = 0; call < limits.max_client_connections(); ++call)
        client.start(silent.endpoint(), http_request{}, {}, ignored);
    int ended = 0;
    server_end_detector tested(
        core, client,
        {[](const std::string&, instant) { return false; },
         [&](const std::string&, instant, const auto&) { ++ended; }});
    std::optional<bool> verdict;
    tested.on_broken("i-1", silent.endpoint(), {}, steady::now());
    tested.on_closed("i-1", silent.endpoint(), steady::now(),
                     [&](bool has_ended) {
                         verdict = has_ended;
                         core.stop();
                     });
    core.after("test", seconds(5), [&] { core.stop(); });
    core.run();
    REQUIRE(verdict);
    CHECK_FALSE(*verdict);
    CHECK(ended == 0);
}
