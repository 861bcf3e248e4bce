#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <utility>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr milliseconds change_time{100};
constexpr milliseconds answer_delay{400};

scripted_answer delay(std::string answer) {
    scripted_answer delayed;
    delayed.delayed_bytes = std::move(answer);
    delayed.delay = answer_delay;
    return delayed;
}

const std::string not_run = make_response(503, "X-Not-Executed: 1\r\n", "");

void drop_everything_later(gateway_fixture& fixture) {
    fixture.core.after("test", change_time,
                       [&fixture] { fixture.drop_configuration(); });
}

} // namespace

TEST_CASE("configuration changes - a request whose route and service go while "
          "its server works gets its answer") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    const scripted_server server([](const std::string&) {
        return delay(make_response(200, "", "done"));
    });
    fixture.add_servers({server.endpoint()});
    drop_everything_later(fixture);
    const auto result = fixture.send_request();
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "done");
}

TEST_CASE("configuration changes - a request keeps the time of the route under "
          "which it was accepted") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    const scripted_server server([](const std::string&) {
        return delay(make_response(200, "", "done"));
    });
    fixture.add_servers({server.endpoint()});
    fixture.core.after("test", change_time, [&] {
        routing_configuration shorter = fixture.routes.current();
        ++shorter.version;
        shorter.routes.front().timeout = change_time;
        shorter.routes.front().max_attempts = 0;
        const bool is_applied = fixture.routes.apply(std::move(shorter));
        REQUIRE(is_applied);
    });
    CHECK(fixture.send_request().response.status == 200);
}

TEST_CASE("configuration changes - a request that its server refuses after its "
          "service was dropped is served by another server") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    std::atomic<int> arrivals{0};
    const auto answer = [&](const std::string&) {
        return arrivals++ == 0
                   ? delay(not_run)
                   : scripted_answer{make_response(200, "", "done")};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    drop_everything_later(fixture);
    const auto result = fixture.send_request();
    CHECK(result.response.status == 200);
    CHECK(arrivals == 2);
}

TEST_CASE("configuration changes - a stream whose server hangs after its "
          "service was dropped goes on at another server and is not cut") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, true);
    std::atomic<int> arrivals{0};
    const auto answer = [&](const std::string&) {
        return scripted_answer{arrivals++ == 0 ? make_event_stream(1, 2, false)
                                               : make_event_stream(3, 4, true)};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    drop_everything_later(fixture);
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.body == event_text(1, 4));
}

TEST_CASE("configuration changes - a request of a dropped service is not sent "
          "to an engine whose version has ended") {
    gateway_fixture fixture;
    fixture.add_engine_route(false, request_kind::non_idempotent);
    std::atomic<int> arrivals{0};
    const auto refuse = [&](const std::string&) {
        ++arrivals;
        return delay(not_run);
    };
    const scripted_server first(refuse);
    const scripted_server second(refuse);
    fixture.add_engines({{first.endpoint(), 1}, {second.endpoint(), 1}});
    fixture.core.after("test", change_time, [&] {
        // The new version has been published for too long to use an older one.
        REQUIRE(fixture.versions.on_published(
            gateway_fixture::model, 2, true,
            steady::now() - gateway_fixture::version_limit));
        fixture.drop_configuration();
    });
    CHECK(fixture.send_request().response.status == 503);
    CHECK(arrivals == 1);
}
