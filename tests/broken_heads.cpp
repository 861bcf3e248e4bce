#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <vector>

using namespace ospreystage;
using testing::gateway_fixture;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

/// Heads of answers, with and without a length, and after an informational one.
const std::vector<std::string> heads{
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 12\r\n\r\n",
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    ("HTTP/1.1 100 Continue\r\n\r\n"
     "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n"),
    "HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"};

/// Returns the status that a caller gets if the only server breaks off as
/// `broken` says.
int status_of(const scripted_answer& broken, request_kind kind) {
    const scripted_server server([&](const std::string&) { return broken; });
    gateway_fixture fixture;
    fixture.add_route(kind, kind == request_kind::streaming);
    fixture.add_servers({server.endpoint()});
    const auto result = fixture.send_request();
    return result.end == call_end::complete ? result.response.status : 0;
}

} // namespace

TEST_CASE("broken heads - a head that breaks off at any byte is no success") {
    const bool resets = GENERATE(false, true);
    const request_kind kind =
        GENERATE(request_kind::non_idempotent, request_kind::streaming);
    for (const std::string& head : heads)
        for (std::size_t size = 0; size < head.size(); ++size) {
            scripted_answer broken{head.substr(0, size)};
            broken.closes = !resets;
            broken.resets = resets;
            const int status = status_of(broken, kind);
            INFO(head.substr(0, size));
            CHECK((status < 200 || status >= 300));
        }
}

TEST_CASE("broken heads - a head without the body that it announces is no "
          "success") {
    for (const std::string& head : {heads[0], heads[2], heads[3]}) {
        scripted_answer broken{head};
        broken.closes = true;
        const int status = status_of(broken, request_kind::non_idempotent);
        INFO(head);
        CHECK((status < 200 || status >= 300));
    }
}

namespace {

const std::vector<scripted_answer> answers_without_status =
    testing::answers_without_status("X-Server-Stamp: s\r\n", "ok");

} // namespace

// Guards against an answer with a status such as 000 that reaches the caller,
// or that the caller's whole time is spent on.
TEST_CASE("broken heads - an answer whose status is none of HTTP is malformed "
          "and ends its connection at once") {
    const request_kind kind =
        GENERATE(request_kind::non_idempotent, request_kind::streaming);
    for (const scripted_answer& answer : answers_without_status) {
        const scripted_server server(
            [&](const std::string&) { return answer; });
        gateway_fixture fixture;
        fixture.add_route(kind, false);
        fixture.add_servers({server.endpoint()});
        const auto result = fixture.send_request();
        INFO(answer.bytes);
        CHECK(result.end == call_end::complete);
        CHECK(result.response.status == 502);
        CHECK(result.response.body.find("ok") == std::string::npos);
        // The server may have run the request.
        CHECK(find_field(result.response.fields, "X-Not-Executed") == nullptr);
        CHECK(result.duration < milliseconds(1000));
        CHECK(server.connections() == 1);
    }
}

TEST_CASE("broken heads - a request that may run again goes to another server "
          "after an answer whose status is none of HTTP") {
    for (const scripted_answer& answer : answers_without_status) {
        const scripted_server odd([&](const std::string&) { return answer; });
        const scripted_server sound([](const std::string&) {
            return scripted_answer{testing::make_response(
                200, "X-Server-Stamp: sound\r\n", "sound")};
        });
        gateway_fixture fixture;
        fixture.add_route(request_kind::idempotent, false);
        fixture.add_servers({odd.endpoint(), sound.endpoint()});
        INFO(answer.bytes);
        for (const auto& result : fixture.send_requests(4)) {
            CHECK(result.response.status == 200);
            CHECK(result.response.body == "sound");
        }
    }
}

// Guards against the other readers of answers, which share the client.
TEST_CASE("broken heads - no reader takes an answer whose status is none of "
          "HTTP for complete") {
    for (const scripted_answer& answer : answers_without_status) {
        const scripted_server server(
            [&](const std::string&) { return answer; });
        kernel core;
        web_client client(core);
        call_end ended = call_end::complete;
        client.fetch(server.endpoint(), {}, {},
                     [&](call_end end, const http_response&) {
                         ended = end;
                         core.stop();
                     });
        core.run();
        INFO(answer.bytes);
        CHECK(ended == call_end::malformed);
    }
}
