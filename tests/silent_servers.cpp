#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

/// Longer than the time after which an attempt counts as silent.
constexpr milliseconds long_pause{1500};
constexpr milliseconds short_pause{1000};
/// Within a pause.
constexpr milliseconds inside_pause{300};
constexpr prompt_part crashing_part = 0xbad0cafe;

/// Returns the events `first` to `last` as chunks, without a head.
std::string event_chunks(int first, int last, bool is_complete = true) {
    const std::string whole = make_event_stream(first, last, is_complete);
    return whole.substr(whole.find("\r\n\r\n") + 4);
}

/// Sends two events, pauses, and goes on to the event 4.
scripted_answer pause_mid_stream(milliseconds pause = long_pause) {
    scripted_answer answer{make_event_stream(1, 2, false)};
    answer.delayed_bytes = event_chunks(3, 4);
    answer.delay = pause;
    return answer;
}

scripted_answer pause_before_head(milliseconds pause = long_pause) {
    scripted_answer answer;
    answer.delayed_bytes = make_response(200, "", "done");
    answer.delay = pause;
    return answer;
}

scripted_answer refuse_to_run() {
    return {make_response(503, "X-Not-Executed: 1\r\n", "full")};
}

scripted_answer keep_silent(const std::string&) {
    return {};
}

/// Returns an address at which nothing listens.
address unused_endpoint() {
    return scripted_server(keep_silent).endpoint();
}

void quarantine_part(gateway_fixture& fixture) {
    instant at = steady::now();
    for (std::uint64_t request = 1; request <= 4; ++request) {
        fixture.quarantine.on_crash(request, request, {crashing_part}, at);
        at += seconds(1);
    }
    REQUIRE(fixture.quarantine.is_quarantined({crashing_part}));
}

/// What keeps a second attempt from taking over from a silent one.
struct obstacle {
    const char* name;
    /// The second server, if there is one.
    std::optional<scripted_server::script> second;
    /// Called while the first server is silent.
    std::function<void(gateway_fixture&)> change;
};

scripted_answer answer_at_limit(const std::string&) {
    return {make_response(503, "X-Not-Executed: 1\r\nServer-Limit: 0\r\n", "")};
}

std::vector<obstacle> obstacles() {
    const auto leave = [](gateway_fixture&) {};
    return {
        {"no other server", std::nullopt, leave},
        {"second server refuses",
         [](const std::string&) { return refuse_to_run(); }, leave},
        {"second server is at its limit", answer_at_limit, leave},
        {"second server is silent as well", keep_silent, leave},
        {"second server closes without an answer",
         [](const std::string&) {
             return scripted_answer{"", true};
         },
         leave},
        {"second server fails",
         [](const std::string&) {
             return scripted_answer{make_response(500, "", "broken")};
         },
         leave},
        {"configuration drops all", std::nullopt,
         [](gateway_fixture& fixture) { fixture.drop_configuration(); }},
        {"prompt is quarantined", std::nullopt, quarantine_part},
        {"server leaves the list", std::nullopt,
         [](gateway_fixture& fixture) { fixture.add_servers({}); }},
        {"budget is removed", std::nullopt,
         [](gateway_fixture& fixture) {
             fixture.tested_gateway.set_retry_limits({0, 0, seconds(10)});
         }},
    };
}

/// Sends a request to a server that pauses, while `hindered` keeps it from
/// moving to a second one.
gateway_fixture::outcome send_hindered(gateway_fixture& fixture,
                                       const scripted_answer& paused,
                                       const obstacle& hindered) {
    std::atomic<int> arrivals{0};
    const auto answer = [&](const std::string& request) {
        if (arrivals++ == 0)
            return paused;
        return hindered.second ? (*hindered.second)(request) : refuse_to_run();
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    std::vector<address> listed{first.endpoint()};
    if (hindered.second)
        listed.push_back(second.endpoint());
    fixture.add_servers(listed);
    fixture.core.after("test", inside_pause, [&] { hindered.change(fixture); });
    return fixture.send_requests({{{"X-Prompt-Prefix", "bad0cafe:100,e1:20"}}})
        .front();
}

} // namespace

TEST_CASE("silent servers - a stream whose server pauses is not cut although "
          "no second attempt succeeds") {
    for (const obstacle& hindered : obstacles()) {
        CAPTURE(hindered.name);
        gateway_fixture fixture;
        fixture.add_route(request_kind::streaming, true);
        const auto result =
            send_hindered(fixture, pause_mid_stream(), hindered);
        CHECK(result.end == call_end::complete);
        CHECK(result.response.body == event_text(1, 4));
    }
}

TEST_CASE("silent servers - a request whose server pauses before its answer "
          "gets it although no second attempt succeeds") {
    for (const obstacle& hindered : obstacles()) {
        CAPTURE(hindered.name);
        gateway_fixture fixture;
        fixture.add_route(request_kind::idempotent, false);
        const auto result =
            send_hindered(fixture, pause_before_head(), hindered);
        CHECK(result.response.status == 200);
        CHECK(result.response.body == "done");
    }
}

TEST_CASE("silent servers - a stream whose server pauses before its first "
          "event is not failed although no second attempt succeeds") {
    for (const obstacle& hindered : obstacles()) {
        CAPTURE(hindered.name);
        gateway_fixture fixture;
        fixture.add_route(request_kind::streaming, true);
        scripted_answer paused;
        paused.delayed_bytes = make_event_stream(1, 4, true);
        paused.delay = long_pause;
        const auto result = send_hindered(fixture, paused, hindered);
        CHECK(result.end == call_end::complete);
        CHECK(result.response.body == event_text(1, 4));
    }
}

TEST_CASE("silent servers - a stream whose server pauses is not cut although "
          "the other server is not reached") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, true);
    std::unique_ptr<scripted_server> server = std::make_unique<scripted_server>(
        [](const std::string&) { return pause_mid_stream(); });
    fixture.add_servers({server->endpoint()});
    fixture.core.after("test", inside_pause, [&] {
        fixture.add_servers({server->endpoint(), unused_endpoint()});
    });
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.body == event_text(1, 4));
}

TEST_CASE("silent servers - a stream whose server pauses is not cut although "
          "no entry permits another server") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, true);
    const scripted_server first(
        [](const std::string&) { return pause_mid_stream(); });
    std::atomic<int> arrivals{0};
    const scripted_server limited([&](const std::string&) {
        ++arrivals;
        return refuse_to_run();
    });
    fixture.add_entries({"edge-2", "edge-3"});
    fixture.add_servers({first.endpoint()});
    fixture.core.after("test", inside_pause, [&] {
        fixture.add_servers({first.endpoint(), limited.endpoint()});
        fixture.limits.on_answer("i-" + std::to_string(limited.endpoint().port),
                                 limit_named{5.0}, steady::now());
    });
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.body == event_text(1, 4));
    CHECK(arrivals == 0);
}

TEST_CASE("silent servers - a stream that has begun is not cut because its "
          "version ends while its server pauses") {
    gateway_fixture fixture;
    fixture.add_engine_route(true);
    const scripted_server engine([](const std::string&) {
        scripted_answer answer = pause_mid_stream();
        answer.delay = long_pause * 3 / 2;
        return answer;
    });
    fixture.add_engines({{engine.endpoint(), 1}});
    REQUIRE(fixture.versions.on_published(gateway_fixture::model, 2, true,
                                          steady::now()));
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.body == event_text(1, 4));
}

TEST_CASE("silent servers - events of a second attempt that begins are not "
          "joined by late ones of the first") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, true);
    std::atomic<int> runs{0};
    std::string second_request;
    const auto answer = [&](const std::string& request) {
        if (runs++ == 0)
            return pause_mid_stream();
        second_request = request;
        scripted_answer slow{make_event_stream(3, 3, false)};
        slow.delayed_bytes = event_chunks(4, 6);
        slow.delay = short_pause;
        return slow;
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.body == event_text(1, 6));
    CHECK(runs == 2);
    CHECK(second_request.find("Last-Event-Id: 2\r\n") != std::string::npos);
}

TEST_CASE("silent servers - a caller that leaves while two attempts are open "
          "ends both") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::idempotent, false);
    const scripted_server first(keep_silent);
    const scripted_server second(keep_silent);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    http_request request;
    request.method = "GET";
    request.target = "/x/1";
    request.fields = {{"Host", "a.example"}, {"X-Request-Id", "r1"}};
    const call_id call = fixture.client.fetch(fixture.front_address, request,
                                              {}, [](call_end, const auto&) {});
    fixture.core.after("test", long_pause, [&] {
        CHECK(first.connections() + second.connections() == 2);
        fixture.client.cancel(call);
    });
    fixture.core.after("test", long_pause + milliseconds(300), [&] {
        CHECK(first.open_connections() + second.open_connections() == 0);
        fixture.core.stop();
    });
    fixture.core.run();
    CHECK(fixture.tested_gateway.in_progress() == 0);
}

namespace {

/// Returns how many of `count` requests that are sent together are answered
/// within `limit`, while one of three servers answers by `odd`.
std::size_t served_in_time(std::size_t count, milliseconds limit,
                           const scripted_server::script& odd) {
    gateway_fixture fixture;
    fixture.add_route(request_kind::idempotent, false);
    const auto answer_soon = [](const std::string&) {
        return scripted_answer{make_response(200, "", "done")};
    };
    const scripted_server first(odd);
    const scripted_server second(answer_soon);
    const scripted_server third(answer_soon);
    fixture.add_servers(
        {first.endpoint(), second.endpoint(), third.endpoint()});
    const auto results =
        fixture.send_at_once(std::vector<http_fields>(count), "GET");
    return static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(), [&](const auto& result) {
            return result.response.status == 200 && result.duration < limit;
        }));
}

} // namespace

TEST_CASE("silent servers - requests at a server that hangs and at one that "
          "pauses for 1 s are all served in time") {
    constexpr std::size_t requests = 9;
    constexpr milliseconds limit{1500};
    CHECK(served_in_time(requests, limit, keep_silent) == requests);
    CHECK(served_in_time(requests, limit, [](const std::string&) {
              return pause_before_head(short_pause);
          }) == requests);
}

TEST_CASE("silent servers - streams at a server that pauses on all its calls "
          "at once and has no other beside it go on") {
    constexpr std::size_t streams = 4;
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, true);
    const scripted_server server(
        [](const std::string&) { return pause_mid_stream(); });
    fixture.add_servers({server.endpoint()});
    for (const auto& result :
         fixture.send_at_once(std::vector<http_fields>(streams))) {
        CHECK(result.end == call_end::complete);
        CHECK(result.response.body == event_text(1, 4));
    }
}

TEST_CASE("silent servers - a large failure beside a silent attempt is not "
          "joined with its answer") {
    constexpr std::size_t body_bytes = 70'000;
    constexpr std::size_t first_bytes = 68'000;
    const std::string failure =
        make_response(500, "", std::string(body_bytes, 'f'));
    std::atomic<int> arrivals{0};
    const auto answer = [&](const std::string&) {
        if (arrivals++ == 0)
            return pause_before_head();
        const std::size_t first = failure.size() - body_bytes + first_bytes;
        scripted_answer large{failure.substr(0, first)};
        large.delayed_bytes = failure.substr(first);
        large.delay = long_pause;
        return large;
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    gateway_fixture fixture;
    fixture.add_route(request_kind::idempotent, false, milliseconds(6000));
    fixture.add_servers({first.endpoint(), second.endpoint()});
    const auto result = fixture.send_request("GET");
    REQUIRE(result.response.status == 500);
    CHECK(result.response.body == std::string(body_bytes, 'f'));
}

TEST_CASE("silent servers - the rest of a silent server's failure does not end "
          "the attempt beside it") {
    const std::string failure = make_response(500, "", "broken");
    std::atomic<int> arrivals{0};
    const auto answer = [&](const std::string&) {
        scripted_answer result;
        if (arrivals++ == 0) {
            result.bytes = failure.substr(0, failure.size() - 6);
            result.delayed_bytes = "broken";
            result.delay = long_pause;
        } else {
            result.delayed_bytes = make_response(200, "", "done");
            result.delay = short_pause;
        }
        return result;
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    gateway_fixture fixture;
    fixture.add_route(request_kind::idempotent, false, milliseconds(6000));
    fixture.add_servers({first.endpoint(), second.endpoint()});
    const auto result = fixture.send_request("GET");
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "done");
}
