#include "tests/support/eventually.hpp"
#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <string>

using namespace ospreystage;
using support::eventually;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

/// Keeps a request in the engine's queue.
scripted_answer keep_waiting(const std::string&) {
    return {};
}

void publish(gateway_fixture& fixture, std::uint64_t version) {
    REQUIRE(fixture.versions.on_published(gateway_fixture::model, version, true,
                                          steady::now()));
}

} // namespace

TEST_CASE("outdated versions - a request that waits at an engine whose version "
          "ends is withdrawn and served by another") {
    gateway_fixture fixture;
    const scripted_server outdated(keep_waiting);
    const scripted_server current([](const std::string&) {
        return scripted_answer{make_event_stream(1, 3, true)};
    });
    fixture.add_engine_route(true);
    fixture.add_engines({{outdated.endpoint(), 1}});
    publish(fixture, 2);
    fixture.core.after("test", milliseconds(100), [&] {
        fixture.add_engines(
            {{outdated.endpoint(), 1}, {current.endpoint(), 2}});
    });
    const auto result = fixture.send_request();
    CHECK(result.response.body == event_text(1, 3));
    CHECK(result.duration < gateway_fixture::version_limit);
    CHECK(outdated.connections() == 1);
    CHECK(eventually(seconds(1),
                     [&] { return outdated.open_connections() == 0; }));
}

TEST_CASE("outdated versions - a request that may not run twice does not begin "
          "on a version that has ended") {
    const bool is_resumable = GENERATE(false, true);
    gateway_fixture fixture;
    const scripted_server outdated(keep_waiting);
    fixture.add_engine_route(is_resumable);
    fixture.add_engines({{outdated.endpoint(), 1}});
    publish(fixture, 2);
    const auto result = fixture.send_request();
    CHECK(result.response.status == 502);
    CHECK(result.duration < gateway_fixture::version_limit);
    CHECK(eventually(seconds(1),
                     [&] { return outdated.open_connections() == 0; }));
}

TEST_CASE("outdated versions - a stream that has begun goes on after its "
          "version has ended") {
    gateway_fixture fixture;
    const scripted_server outdated([](const std::string&) {
        scripted_answer answer{make_event_stream(1, 1, false)};
        const std::string event = event_text(1, 1);
        answer.dripped_bytes =
            fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        return answer;
    });
    fixture.add_engine_route(true);
    fixture.add_engines({{outdated.endpoint(), 1}});
    publish(fixture, 2);
    const auto result = fixture.send_request();
    // Until the caller's deadline.
    CHECK(result.duration > gateway_fixture::version_limit);
    CHECK(outdated.connections() == 1);
}

TEST_CASE(
    "outdated versions - a permit that arrives after the engine's version "
    "has ended is not used") {
    gateway_fixture fixture;
    std::atomic<int> arrivals{0};
    const scripted_server engine([&](const std::string&) {
        ++arrivals;
        return scripted_answer{make_response(200, "Server-Limit: 5\r\n", "ok")};
    });
    fixture.add_engine_route(true);
    fixture.add_entries({"edge-2"});
    fixture.add_engines({{engine.endpoint(), 1}});
    fixture.core.every("issuer", milliseconds(1), [&] {
        for (const permit_request& asked : fixture.permit_requests()) {
            // Published before this entry started, so its limit has passed.
            fixture.versions.on_published(gateway_fixture::model, 2, false,
                                          steady::now());
            fixture.tested_gateway.on_permit_reply(
                {asked.server, asked.sequence, permit_verdict::granted, 0});
        }
    });
    const auto results = fixture.send_requests(2);
    CHECK(results[0].response.status == 200);
    CHECK(results[1].response.status == 503);
    CHECK(arrivals == 1);
}

TEST_CASE(
    "outdated versions - a request is not sent to a server that was listed as "
    "draining while its connection was opened") {
    gateway_fixture fixture;
    std::atomic<int> arrivals{0};
    const scripted_server engine([&](const std::string&) {
        ++arrivals;
        return scripted_answer{make_response(200, "", "ok")};
    });
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({engine.endpoint()});
    fixture.on_placing = [&] {
        fixture.core.post("test", [&] {
            backend_server draining;
            draining.id = "i-" + std::to_string(engine.endpoint().port);
            draining.service = "desk";
            draining.endpoint = engine.endpoint();
            draining.slots = 4;
            draining.is_draining = true;
            fixture.servers.on_list({draining}, steady::now());
        });
    };
    const auto result = fixture.send_request("GET");
    CHECK(result.response.status == 503);
    CHECK(arrivals == 0);
}

TEST_CASE("outdated versions - a plain answer that is being passed on is not "
          "cut when "
          "its engine's version ends") {
    gateway_fixture fixture;
    const std::string part(20'000, 'x');
    const scripted_server outdated([&](const std::string&) {
        scripted_answer answer{
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"};
        answer.dripped_bytes = fmt::format("{:x}\r\n{}\r\n", part.size(), part);
        return answer;
    });
    fixture.add_engine_route(true);
    fixture.add_engines({{outdated.endpoint(), 1}});
    publish(fixture, 2);
    const auto result = fixture.send_request();
    CAPTURE(result.response.status, result.response.body.size());
    // Until the caller's deadline.
    CHECK(result.duration > gateway_fixture::version_limit);
}

TEST_CASE(
    "outdated versions - a stream inside its first event is not cut when its "
    "engine's version ends") {
    gateway_fixture fixture;
    const scripted_server outdated([&](const std::string&) {
        scripted_answer answer{
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
            "d\r\nid: 1\ndata: e\r\n"};
        answer.dripped_bytes = "2\r\nee\r\n";
        return answer;
    });
    fixture.add_engine_route(false);
    fixture.add_engines({{outdated.endpoint(), 1}});
    publish(fixture, 2);
    const auto result = fixture.send_request();
    CAPTURE(result.response.status);
    CHECK(result.duration > gateway_fixture::version_limit);
}

TEST_CASE(
    "outdated versions - a request whose connection is still being opened when "
    "the version ends has not run") {
    // A listener with a full queue of new connections, which drops the rest.
    const int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(local);
    auto* name = reinterpret_cast<sockaddr*>(&local);
    REQUIRE(bind(listener, name, size) == 0);
    REQUIRE(listen(listener, 0) == 0);
    REQUIRE(getsockname(listener, name, &size) == 0);
    std::vector<int> fillers;
    for (int count = 0; count < 4; ++count) {
        fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
        static_cast<void>(connect(fillers.back(), name, size));
    }
    const address full{"127.0.0.1", ntohs(local.sin_port)};
    gateway_fixture fixture;
    const scripted_server current([](const std::string&) {
        return scripted_answer{make_event_stream(1, 3, true)};
    });
    fixture.add_engine_route(false);
    fixture.add_engines({{full, 1}});
    fixture.core.after("test", milliseconds(50), [&] {
        // Its limit has passed when it is learned.
        fixture.versions.on_published(gateway_fixture::model, 2, false,
                                      steady::now());
        fixture.add_engines({{full, 1}, {current.endpoint(), 2}});
    });
    const auto result = fixture.send_request();
    CHECK(result.response.status == 200);
    for (const int each : fillers)
        close(each);
    close(listener);
}
