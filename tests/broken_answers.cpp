#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <string>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

/// Part of an event whose blank line is missing.
constexpr const char* unfinished_event = "id: 4\ndata: e";

/// Returns an event stream with neither a length nor chunks.
std::string unframed_stream(const std::string& events) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           "X-Server-Stamp: s\r\n\r\n" +
           events;
}

struct broken_stream_result {
    gateway_fixture::outcome caller;
    int runs = 0;
    std::string second_request;
};

/// Sends a request whose first server breaks its stream off as `broken` does;
/// a second one sends the events 4 to 6.
broken_stream_result run_broken_stream(const scripted_answer& broken,
                                       bool is_resumable) {
    broken_stream_result result;
    const auto answer = [&](const std::string& request) {
        if (result.runs++ == 0)
            return broken;
        result.second_request = request;
        return scripted_answer{make_event_stream(4, 6, true)};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, is_resumable);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    result.caller = fixture.send_request();
    return result;
}

} // namespace

TEST_CASE("broken answers - a stream without length or chunks that is closed "
          "inside an event is resumed and not passed on as complete") {
    const auto result = run_broken_stream(
        {unframed_stream(event_text(1, 3) + unfinished_event), true}, true);
    CHECK(result.caller.end == call_end::complete);
    CHECK(result.caller.response.body == event_text(1, 6));
    CHECK(result.runs == 2);
    CHECK(result.second_request.find("Last-Event-Id: 3\r\n") !=
          std::string::npos);
}

TEST_CASE("broken answers - a stream without length or chunks that is closed "
          "inside an event and may not resume is cut") {
    const auto result = run_broken_stream(
        {unframed_stream(event_text(1, 3) + unfinished_event), true}, false);
    CHECK(result.caller.end == call_end::truncated);
    CHECK(result.caller.response.body == event_text(1, 3));
    CHECK(result.runs == 1);
}
