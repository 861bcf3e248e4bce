#include "tests/support/gateway_fixture.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/running_kernel.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <string>
#include <vector>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::raw_connection;
using testing::running_kernel;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr const char* stream_type = "Content-Type: text/event-stream\r\n";

/// Returns a whole stream with the given bytes.
std::string stream_of(const std::string& events) {
    return make_response(200, stream_type, events);
}

std::string unframed_stream(const std::string& events) {
    return std::string("HTTP/1.1 200 OK\r\n") + stream_type + "\r\n" + events;
}

/// What a caller has received of its answer after the head.
struct received {
    std::string body;
    bool looks_complete = false;
    int heads = 0; ///< Heads of responses within all bytes.
    int runs = 0;
};

int count_of(const std::string& text, const std::string& part) {
    int count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
        ++count;
    return count;
}

/// Removes the chunk headers of a body; stops at bytes that are none.
std::string join_chunks(std::string_view bytes) {
    std::string body;
    while (true) {
        const std::size_t line = bytes.find("\r\n");
        if (line == std::string_view::npos)
            return body;
        const std::size_t size =
            std::stoul("0" + std::string(bytes.substr(0, line)), nullptr, 16);
        bytes.remove_prefix(line + 2);
        if (size == 0 || size + 2 > bytes.size())
            return body;
        body += bytes.substr(0, size);
        bytes.remove_prefix(size + 2);
    }
}

/// Sends a request for a stream whose servers answer as scripted, the last
/// script from then on. `version` is that of the caller's HTTP.
received read_stream(const std::vector<scripted_answer>& answers,
                     const std::string& version = "1.1") {
    std::atomic<std::size_t> runs{0};
    const auto answer = [&](const std::string&) {
        return answers.at(std::min(runs++, answers.size() - 1));
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    running_kernel running(fixture.core);
    raw_connection caller(fixture.front_address);
    caller.send(fmt::format("POST /x/1 HTTP/{}\r\nHost: a.example\r\n"
                            "X-Request-Id: r1\r\nX-Request-Deadline: 3000\r\n"
                            "Connection: close\r\nContent-Length: 0\r\n\r\n",
                            version));
    const std::string bytes = caller.read_all();
    CHECK(caller.has_ended());
    received result;
    result.runs = static_cast<int>(runs);
    result.heads = count_of(bytes, "HTTP/1.");
    const std::size_t head = bytes.find("\r\n\r\n");
    if (head == std::string::npos)
        return result;
    const std::string rest = bytes.substr(head + 4);
    const bool is_chunked =
        bytes.substr(0, head).find("chunked") != std::string::npos;
    result.body = is_chunked ? join_chunks(rest) : rest;
    result.looks_complete =
        is_chunked ? rest.ends_with("0\r\n\r\n") : !caller.was_reset();
    return result;
}

/// A first answer that breaks off after event 3.
scripted_answer broken_after_3() {
    return {make_event_stream(1, 3, false), true};
}

/// Checks that a caller whose stream broke off after event 3 sees that it was
/// cut there, with nothing of what the next server answered.
void check_cut(const scripted_answer& second) {
    for (const char* version : {"1.1", "1.0"}) {
        CAPTURE(version, second.bytes.substr(0, 400), second.bytes.size());
        const received result =
            read_stream({broken_after_3(), second}, version);
        CHECK(result.body == event_text(1, 3));
        CHECK_FALSE(result.looks_complete);
        CHECK(result.heads == 1);
        CHECK(result.runs == 2);
    }
}

/// Checks that the caller gets the events 1 to 6, once each.
void check_whole(const scripted_answer& second) {
    for (const char* version : {"1.1", "1.0"}) {
        CAPTURE(version, second.bytes);
        const received result =
            read_stream({broken_after_3(), second}, version);
        CHECK(result.body == event_text(1, 6));
        CHECK(result.looks_complete);
        CHECK(result.heads == 1);
        CHECK(result.runs == 2);
    }
}

} // namespace

TEST_CASE("resumed streams - an error of the next server never reaches the "
          "caller of a stream that has begun") {
    constexpr std::size_t large = 70'000;
    for (const int status : {200, 201, 404, 429, 500, 503})
        for (const std::size_t size : {std::size_t{0}, std::size_t{9}, large}) {
            const std::string body(size, 'e');
            const std::string type = "Content-Type: application/json\r\n";
            check_cut({make_response(status, type, body)});
            check_cut(
                {fmt::format("HTTP/1.1 {} X\r\n{}\r\n{}", status, type, body),
                 true});
        }
}

TEST_CASE("resumed streams - an error that is marked as an event stream never "
          "reaches the caller of a stream that has begun") {
    for (const int status : {404, 500, 503})
        check_cut({make_response(status, stream_type, event_text(4, 6))});
}

TEST_CASE("resumed streams - a head that is cut in two leaves the stream cut") {
    const std::string head =
        make_response(503, "X-Not-Executed: 1\r\n", "full\n");
    for (const std::size_t sent : {0U, 5U, 20U, 40U})
        check_cut({head.substr(0, sent), true});
}

TEST_CASE("resumed streams - a refusal by the next server leaves the stream "
          "cut, not refused") {
    const received result = read_stream(
        {broken_after_3(),
         {make_response(503, "X-Not-Executed: 1\r\nRetry-After: 1\r\n",
                        "full\n")}});
    CHECK(result.body == event_text(1, 3));
    CHECK_FALSE(result.looks_complete);
    CHECK(result.heads == 1);
}

TEST_CASE("resumed streams - a run that goes on at the next event, or repeats "
          "what the caller has, makes the stream whole") {
    for (const int first : {4, 3, 1}) {
        check_whole({make_event_stream(first, 6, true)});
        check_whole({stream_of(event_text(first, 6))});
        check_whole({unframed_stream(event_text(first, 6)), true});
    }
}

TEST_CASE("resumed streams - a run that leaves out an event is not joined to "
          "the events before it") {
    for (const int first : {5, 6, 100})
        check_cut({make_event_stream(first, 106, true)});
    check_cut({stream_of(event_text(1, 2) + event_text(5, 6))});
}

TEST_CASE("resumed streams - ids may leave out numbers if the run before did") {
    const std::string begin = "id: 2\ndata: a\n\nid: 6\ndata: b\n\n";
    const std::string rest = "id: 9\ndata: c\n\n";
    const received result =
        read_stream({{unframed_stream(begin), false, true}, {stream_of(rest)}});
    CHECK(result.body == begin + rest);
    CHECK(result.looks_complete);
}

TEST_CASE("resumed streams - a run whose events have no readable ids is not "
          "joined to the events before it") {
    for (const std::string field :
         {"", "id: x\n", "id: -4\n", "id: 4x\n", "id:\n",
          "id: 99999999999999999999999\n", "retry: 10\n"})
        check_cut({stream_of(field + "data: e\n\n" + event_text(4, 6))});
}

TEST_CASE("resumed streams - a run that ends before the events that the caller "
          "has does not make the stream whole") {
    for (const std::string& events :
         {std::string(), std::string(": ping\n\n"), event_text(1, 2)})
        check_cut({stream_of(events)});
    check_cut({make_event_stream(1, 2, true)});
    check_cut({std::string("HTTP/1.1 204 X\r\n") + stream_type + "\r\n"});
}

TEST_CASE(
    "resumed streams - text that is no event is not passed on, in a first "
    "run and in a resumed one") {
    const std::string refusal = make_response(
        503, "X-Not-Executed: 1\r\nX-Request-Id: r0\r\n", "full\n");
    for (const std::string& text :
         {refusal, "\n" + refusal, "id: 4\n" + refusal,
          "id: 4\ndata: e" + refusal, std::string("{\"error\":\"full\"}\n\n"),
          std::string("Internal Server Error\n\n")}) {
        CAPTURE(text);
        const std::string foreign = text + event_text(4, 6);
        for (const auto& [bytes, closes] :
             {std::pair{unframed_stream(event_text(1, 3) + foreign), true},
              std::pair{stream_of(event_text(1, 3) + foreign), false}}) {
            const received resumed =
                read_stream({{bytes, closes}, {make_event_stream(4, 6, true)}});
            CHECK(resumed.body.find("HTTP") == std::string::npos);
            CHECK(resumed.body.find("rror") == std::string::npos);
            CHECK(resumed.body.ends_with(event_text(4, 6)));
            CHECK(resumed.looks_complete);
            CHECK(resumed.runs == 2);
        }
        const received cut =
            read_stream({broken_after_3(), {stream_of(foreign)}});
        CHECK(cut.body.find("HTTP") == std::string::npos);
        CHECK(cut.body.find("rror") == std::string::npos);
        CHECK_FALSE(cut.looks_complete);
    }
}

TEST_CASE(
    "resumed streams - the content type of a stream is known in each "
    "letter case, so that a stream that breaks off is not taken for whole") {
    for (const std::string type :
         {"Text/Event-Stream", "TEXT/EVENT-STREAM; charset=utf-8"}) {
        CAPTURE(type);
        const std::string broken =
            fmt::format("HTTP/1.1 200 OK\r\nContent-Type: {}\r\n\r\n{}id: 4\n",
                        type, event_text(1, 3));
        const received result =
            read_stream({{broken, true}, {make_event_stream(4, 6, true)}});
        CHECK(result.body == event_text(1, 6));
        CHECK(result.looks_complete);
        CHECK(result.runs == 2);
    }
}

TEST_CASE(
    "resumed streams - events that quote an HTTP response are passed on") {
    const std::string events =
        "id: 1\ndata: HTTP/1.1 503 Service Unavailable\ndata: b\n\n"
        "x-weight-versions: 2\nid: 2\r\nevent: token\r\ndata: HTTP/1.1\r\n\r\n"
        "id: 3\n: comment\nretry: 5\ndata\n\n";
    const received result = read_stream({{stream_of(events)}});
    CHECK(result.body == events);
    CHECK(result.looks_complete);
    CHECK(result.runs == 1);
}
