#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <string>
#include <utility>

using namespace ospreystage;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

pace_estimate estimate(const gateway_fixture& fixture) {
    return fixture.load.pace().estimate(fixture.servers.all().front()->start(),
                                        steady::now());
}

} // namespace

// Guards against answers whose statement does not reach the estimate.
TEST_CASE("gateway pace - the pace that answers state counts") {
    gateway_fixture fixture;
    const scripted_server server([](const std::string&) {
        scripted_answer late{""};
        late.delayed_bytes =
            make_response(200, "X-Worker-Load: 1,0,4,300\r\n", "done");
        late.delay = milliseconds(150);
        return late;
    });
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({server.endpoint()});
    for (const auto& result : fixture.send_requests(9))
        CHECK(result.response.status == 200);
    CHECK(estimate(fixture).source == pace_source::answers);
    CHECK(estimate(fixture).factor == 3);
}

// Guards against attempts that are not measured, so that a server which states
// nothing appears to be of the usual pace.
TEST_CASE("gateway pace - an engine whose events come four times slower than "
          "usual counts as slow") {
    gateway_fixture fixture;
    const scripted_server server([](const std::string&) {
        scripted_answer slow{make_event_stream(1, 1, false)};
        slow.dripped_bytes = "9\r\ndata: e\n\n\r\n"; // Every 200 ms.
        return slow;
    });
    fixture.add_engine_route(false);
    auto configuration = fixture.routes.current();
    ++configuration.version;
    configuration.routes.front().timeout = milliseconds(2000);
    auto& engine = configuration.services.front().engine;
    engine->step_ms = 10;
    engine->steps_per_pass = 5;
    engine->typical_answer_tokens = 100;
    const bool is_applied = fixture.routes.apply(std::move(configuration));
    REQUIRE(is_applied);
    fixture.add_engines({{server.endpoint(), 1}});
    // The stream lasts until the deadline.
    CHECK(fixture.send_request().end != call_end::complete);
    CHECK(estimate(fixture).source == pace_source::attempts);
    // A busy machine delays events further.
    CHECK(estimate(fixture).factor >= 3);
}
