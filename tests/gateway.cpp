#include "tests/support/gateway_fixture.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/running_kernel.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <string>
#include <thread>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::raw_connection;
using testing::running_kernel;
using testing::scripted_answer;
using testing::scripted_server;

TEST_CASE("gateway - returns status, fields and body unchanged") {
    gateway_fixture fixture;
    std::string seen;
    const scripted_server server([&](const std::string& request) {
        seen = request;
        return scripted_answer{
            make_response(201, "X-Server-Stamp: abc\r\nX-Request-Id: r1\r\n",
                          "made"),
            false};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.response.status == 201);
    CHECK(result.response.body == "made");
    CHECK(*find_field(result.response.fields, "X-Server-Stamp") == "abc");
    CHECK(seen.starts_with("POST /x/1 HTTP/1.1\r\n"));
    CHECK(seen.find("secret") == std::string::npos);
    CHECK(seen.find("forged") == std::string::npos);
    CHECK(seen.find("X-Expect-Instance: i-") != std::string::npos);
}

TEST_CASE(
    "gateway - a non-idempotent request with a lost answer is not retried") {
    gateway_fixture fixture;
    int runs = 0;
    const auto drop_answer = [&](const std::string&) {
        ++runs;
        return scripted_answer{"", true};
    };
    const scripted_server first(drop_answer);
    const scripted_server second(drop_answer);
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    CHECK(fixture.send_request().response.status == 502);
    CHECK(runs == 1);
}

TEST_CASE("gateway - a non-idempotent request that did not run is retried") {
    gateway_fixture fixture;
    int refused = 0;
    const auto answer = [&](const std::string&) {
        if (refused++ == 0)
            return scripted_answer{
                make_response(503, "X-Not-Executed: 1\r\n", ""), false};
        return scripted_answer{make_response(200, "", "done"), false};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    CHECK(fixture.send_request().response.body == "done");
}

TEST_CASE("gateway - refuses only if no server may have run the request") {
    gateway_fixture fixture;
    const scripted_server server([](const std::string&) {
        return scripted_answer{make_response(503, "X-Not-Executed: 1\r\n", ""),
                               false};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.response.status == 503);
    CHECK(find_field(result.response.fields, "Retry-After") != nullptr);
}

TEST_CASE("gateway - an idempotent request is retried after a lost answer") {
    gateway_fixture fixture;
    int runs = 0;
    const auto answer = [&](const std::string&) {
        return runs++ == 0
                   ? scripted_answer{"", true}
                   : scripted_answer{make_response(200, "", "fine"), false};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    CHECK(fixture.send_request("GET").response.body == "fine");
    CHECK(runs == 2);
}

TEST_CASE(
    "gateway - a truncated stream resumes after its last complete event") {
    gateway_fixture fixture;
    int runs = 0;
    std::string resume_request;
    const auto answer = [&](const std::string& request) {
        if (runs++ == 0)
            return scripted_answer{make_event_stream(1, 3, false), true};
        resume_request = request;
        return scripted_answer{make_event_stream(4, 6, true), false};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.body == event_text(1, 6));
    CHECK(resume_request.find("Last-Event-Id: 3\r\n") != std::string::npos);
}

TEST_CASE("gateway - duplicate events of a second server are dropped") {
    gateway_fixture fixture;
    int runs = 0;
    const auto answer = [&](const std::string&) {
        return runs++ == 0
                   ? scripted_answer{make_event_stream(1, 3, false), true}
                   : scripted_answer{make_event_stream(2, 5, true), false};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    CHECK(fixture.send_request().response.body == event_text(1, 5));
}

TEST_CASE("gateway - a truncated stream that may not resume ends incomplete") {
    gateway_fixture fixture;
    const scripted_server server([](const std::string&) {
        return scripted_answer{make_event_stream(1, 3, false), true};
    });
    fixture.add_route(request_kind::streaming, false);
    fixture.add_servers({server.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::truncated);
}

TEST_CASE("gateway - an unanswered request ends at its route's timeout") {
    gateway_fixture fixture;
    const scripted_server server(
        [](const std::string&) { return scripted_answer{}; });
    fixture.add_route(request_kind::non_idempotent, false, milliseconds(300));
    fixture.add_servers({server.endpoint()});
    const instant started = steady::now();
    CHECK(fixture.send_request().response.status == 504);
    CHECK(steady::now() - started < milliseconds(800));
}

TEST_CASE("gateway - an idle stream moves to another server") {
    gateway_fixture fixture;
    int runs = 0;
    const auto answer = [&](const std::string&) {
        return runs++ == 0
                   ? scripted_answer{make_event_stream(1, 2, false), false}
                   : scripted_answer{make_event_stream(3, 4, true), false};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    CHECK(fixture.send_request().response.body == event_text(1, 4));
}

TEST_CASE("gateway - without a configuration a request is refused") {
    gateway_fixture fixture;
    const auto result = fixture.send_request();
    CHECK(result.response.status == 503);
    CHECK(find_field(result.response.fields, "Retry-After") != nullptr);
}

TEST_CASE("gateway - a refused resumption truncates the stream") {
    gateway_fixture fixture;
    int runs = 0;
    const auto answer = [&](const std::string&) {
        if (runs++ == 0)
            return scripted_answer{make_event_stream(1, 3, false), true};
        return scripted_answer{
            make_response(503, "X-Not-Executed: 1\r\n", "full"), false};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::truncated);
    CHECK(result.response.body == event_text(1, 3));
}

TEST_CASE("gateway - a stopping entry refuses new requests") {
    gateway_fixture fixture;
    int runs = 0;
    const scripted_server server([&](const std::string&) {
        ++runs;
        return scripted_answer{make_response(200, "", "done"), false};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    fixture.tested_gateway.stop({steady::now(), steady::now()});
    const auto result = fixture.send_request();
    CHECK(result.response.status == 503);
    CHECK(find_field(result.response.fields, "Retry-After") != nullptr);
    CHECK(runs == 0);
}

// Such a request was passed on until a timer had run, and cut at the end.
TEST_CASE("gateway - a stopping entry refuses at once and untouched what may "
          "outlast it, and serves what fits") {
    gateway_fixture fixture;
    int runs = 0;
    const scripted_server server([&](const std::string&) {
        ++runs;
        return scripted_answer{make_response(200, "", "done"), false};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const instant now = steady::now();
    fixture.tested_gateway.stop({now, now + seconds(2)});
    const auto results =
        fixture.send_requests({http_fields{{"X-Request-Deadline", "2500"}},
                               http_fields{{"X-Request-Deadline", "500"}}});
    CHECK(results.front().response.status == 503);
    CHECK(find_field(results.front().response.fields, "Retry-After") !=
          nullptr);
    CHECK(results.front().duration < milliseconds(200));
    CHECK(results.back().response.status == 200);
    CHECK(runs == 1);
}

TEST_CASE("gateway - a stopping entry accepts everything until callers know of "
          "the stop") {
    gateway_fixture fixture;
    const scripted_server server([&](const std::string&) {
        return scripted_answer{make_response(200, "", "done"), false};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const instant now = steady::now();
    fixture.tested_gateway.stop({now + seconds(2), now + seconds(2)});
    CHECK(fixture.send_request().response.status == 200);
}

// The next attempt would be cut, and the caller could not send it again.
TEST_CASE("gateway - a stopping entry does not send a request that no server "
          "has run to another one if it may outlast the stop") {
    gateway_fixture fixture;
    int runs = 0;
    const auto refuse = [&](const std::string&) {
        ++runs;
        return scripted_answer{
            .bytes = "",
            .delayed_bytes = make_response(503, "X-Not-Executed: 1\r\n", ""),
            .delay = milliseconds(150)};
    };
    const scripted_server refusing(refuse);
    const scripted_server other(refuse);
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({refusing.endpoint(), other.endpoint()});
    const instant now = steady::now();
    fixture.tested_gateway.stop(
        {now + milliseconds(100), now + milliseconds(2000)});
    const auto result = fixture.send_request();
    CHECK(result.response.status == 503);
    CHECK(result.response.body == "entry is stopping\n");
    CHECK(runs == 1);
}

namespace {

scripted_answer limited_answer(const char* per_second) {
    return {make_response(200, fmt::format("Server-Limit: {}\r\n", per_second),
                          "ok")};
}

double retry_after_s(const http_response& response) {
    const std::string* value = find_field(response.fields, "Retry-After");
    REQUIRE(value != nullptr);
    return std::stod(*value);
}

} // namespace

TEST_CASE("gateway - a server at its limit is left to others, and not avoided "
          "as if it had failed") {
    gateway_fixture fixture;
    int limited_runs = 0;
    int other_runs = 0;
    const scripted_server limited([&](const std::string&) {
        ++limited_runs;
        return limited_answer("0.5");
    });
    const scripted_server other([&](const std::string&) {
        ++other_runs;
        return scripted_answer{make_response(200, "", "ok")};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_entries({"edge-1"});
    fixture.add_servers({limited.endpoint(), other.endpoint()});
    for (const auto& result : fixture.send_requests(30))
        CHECK(result.response.status == 200);
    // Until its first answer the server counts as any other.
    CHECK(limited_runs >= 1);
    CHECK(limited_runs <= 2);
    CHECK(other_runs == 30 - limited_runs);
    CHECK(limited.connections() == 1);
}

TEST_CASE("gateway - requests that no server's limit allows are refused at "
          "once, and told to return one after the other") {
    gateway_fixture fixture;
    int runs = 0;
    const scripted_server server([&](const std::string&) {
        ++runs;
        return limited_answer("2");
    });
    fixture.add_route(request_kind::idempotent, false, seconds(30));
    fixture.add_entries({"edge-1"});
    fixture.add_servers({server.endpoint()});
    const auto results = fixture.send_requests(4);
    CHECK(results.front().response.status == 200);
    double last = 0;
    for (std::size_t index = 1; index < results.size(); ++index) {
        CHECK(results[index].response.status == 503);
        CHECK(results[index].duration < milliseconds(100));
        // A third of the time that the caller has left is the longest; the
        // limit allows two requests a second.
        const double wait = retry_after_s(results[index].response);
        CHECK(wait <= 1.0);
        CHECK(wait >= std::min(last + 0.2, 0.9));
        last = wait;
    }
    CHECK(runs == 1);
}

TEST_CASE("gateway - a permit that no entry answers for delays a request by "
          "milliseconds only") {
    gateway_fixture fixture;
    int runs = 0;
    const scripted_server server([&](const std::string&) {
        ++runs;
        return limited_answer("5");
    });
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_entries({"edge-2", "edge-3"});
    fixture.add_servers({server.endpoint()});
    const auto results = fixture.send_requests(2);
    CHECK(results[0].response.status == 200);
    CHECK(results[1].response.status == 503);
    CHECK(results[1].duration < milliseconds(300));
    CHECK(runs == 1);
    // Both entries that issue permits for the server were asked.
    CHECK(fixture.permit_requests().size() == 2);
}

TEST_CASE("gateway - a request is refused at once although the only entry that "
          "issues permits does not answer") {
    gateway_fixture fixture;
    const scripted_server server(
        [](const std::string&) { return limited_answer("5"); });
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_entries({"edge-2"});
    fixture.add_servers({server.endpoint()});
    const auto results = fixture.send_requests(2);
    CHECK(results[1].response.status == 503);
    CHECK(results[1].duration < milliseconds(300));
}

TEST_CASE("gateway - a request is sent once another entry has permitted it") {
    gateway_fixture fixture;
    const scripted_server server(
        [](const std::string&) { return limited_answer("5"); });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_entries({"edge-2"});
    fixture.add_servers({server.endpoint()});
    fixture.core.every("issuer", milliseconds(1), [&] {
        for (const permit_request& asked : fixture.permit_requests())
            fixture.tested_gateway.on_permit_reply(
                {asked.server, asked.sequence, permit_verdict::granted, 0});
    });
    for (const auto& result : fixture.send_requests(2))
        CHECK(result.response.status == 200);
    CHECK(fixture.permit_requests().size() == 1);
}

TEST_CASE(
    "gateway - a stream whose caller reads slowly is not moved to another "
    "server") {
    gateway_fixture fixture;
    std::atomic<int> runs{0};
    const auto answer_stream = [&](const std::string&) {
        ++runs;
        return scripted_answer{make_event_stream(1, 200'000, true), true};
    };
    const scripted_server first(answer_stream);
    const scripted_server second(answer_stream);
    fixture.add_route(request_kind::streaming, true, seconds(60));
    fixture.add_servers({first.endpoint(), second.endpoint()});
    running_kernel running(fixture.core);
    raw_connection caller(fixture.front_address, 4096);
    caller.send("POST /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                "X-Request-Id: r1\r\nX-Request-Deadline: 60000\r\n"
                "Content-Length: 0\r\n\r\n");
    std::string received = caller.read_until("data: e1\n");
    // Longer than the idle timeout of an attempt.
    std::this_thread::sleep_for(milliseconds(2500));
    received += caller.read_until("\r\n0\r\n\r\n", seconds(45));
    CHECK(received.find("data: e200000\n") != std::string::npos);
    CHECK(runs == 1);
}

TEST_CASE("gateway - a stream that sends bytes now and then but no event is "
          "moved to another server") {
    gateway_fixture fixture;
    std::atomic<int> runs{0};
    const auto answer_stream = [&](const std::string& request) {
        ++runs;
        if (request.find("Last-Event-Id: 2\r\n") != std::string::npos)
            return scripted_answer{make_event_stream(3, 4, true), true};
        scripted_answer stalled{make_event_stream(1, 2, false)};
        stalled.dripped_bytes = "1\r\n:\r\n";
        return stalled;
    };
    const scripted_server first(answer_stream);
    const scripted_server second(answer_stream);
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.body == event_text(1, 4));
    CHECK(runs == 2);
}

TEST_CASE("gateway - a stream that is slow but sends events is not moved") {
    gateway_fixture fixture;
    std::atomic<int> runs{0};
    const auto answer_stream = [&](const std::string&) {
        ++runs;
        scripted_answer slow{make_event_stream(1, 2, false)};
        slow.dripped_bytes = "9\r\ndata: e\n\n\r\n";
        return slow;
    };
    const scripted_server first(answer_stream);
    const scripted_server second(answer_stream);
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    // The stream lasts until the deadline.
    CHECK(fixture.send_request().end != call_end::complete);
    CHECK(runs == 1);
}

// Guards against a large answer that is passed on as it arrives although its
// status promises that the request never ran.
TEST_CASE("gateway - a large failure answer of a server that may have run the "
          "request promises nothing") {
    const int status = GENERATE(408, 429, 503);
    const std::string large(84'000, 'x');
    const scripted_server server([&](const std::string&) {
        return scripted_answer{make_response(status, "", large), false};
    });
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.status == 502);
    CHECK(result.response.body.size() < 1000);
    CHECK(server.connections() == 1);
}

TEST_CASE("gateway - an idempotent request is retried after a large failure "
          "answer") {
    const std::string large(84'000, 'x');
    const scripted_server failing([&](const std::string&) {
        return scripted_answer{make_response(503, "", large), false};
    });
    const scripted_server sound([](const std::string&) {
        return scripted_answer{make_response(200, "", "sound"), false};
    });
    gateway_fixture fixture;
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({failing.endpoint(), sound.endpoint()});
    for (const auto& result : fixture.send_requests(4))
        CHECK(result.response.body == "sound");
}

// Guards against a request that is sent after its caller has left: after a
// stall, events of connections are handled before the timer of the deadline.
TEST_CASE("gateway - a request whose deadline passes while the process stands "
          "still is not sent") {
    gateway_fixture fixture;
    std::atomic<int> arrivals{0};
    const scripted_server server([&](const std::string&) {
        ++arrivals;
        return scripted_answer{make_response(200, "", "ok")};
    });
    fixture.add_route(request_kind::idempotent, false, milliseconds(200));
    fixture.add_servers({server.endpoint()});
    // While the connection to the server is being opened.
    fixture.on_placing = [&] {
        fixture.core.after("test", milliseconds(0), [] {
            std::this_thread::sleep_for(milliseconds(400));
        });
    };
    const auto result = fixture.send_request("GET");
    // What has been sent arrives meanwhile.
    std::this_thread::sleep_for(milliseconds(100));
    CHECK(result.response.status == 503);
    CHECK(arrivals == 0);
}
