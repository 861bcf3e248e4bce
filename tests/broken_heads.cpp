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
