#include "tests/support/gateway_fixture.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/running_kernel.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <thread>
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

TEST_CASE("broken answers - a stream whose framing is whole but whose last "
          "event is not is resumed") {
    const std::string events = event_text(1, 3) + unfinished_event;
    const std::string type = "Content-Type: text/event-stream\r\n";
    const std::string chunked =
        make_event_stream(1, 3, false) +
        fmt::format("{:x}\r\n{}\r\n0\r\n\r\n",
                    std::string(unfinished_event).size(), unfinished_event);
    for (const std::string& answer :
         {make_response(200, type, events), chunked}) {
        const auto result = run_broken_stream({answer}, true);
        CHECK(result.caller.end == call_end::complete);
        CHECK(result.caller.response.body == event_text(1, 6));
        CHECK(result.runs == 2);
    }
}

TEST_CASE("broken answers - an event that lacks only its blank line or a part "
          "of it is not passed on") {
    const std::vector<std::string> unfinished{"i",
                                              "id: 4",
                                              "id: 4\n",
                                              "id: 4\ndata: e4",
                                              "id: 4\ndata: e4\n",
                                              "id: 4\r\ndata: e4\r\n",
                                              "id: 4\r\ndata: e4\r\n\r",
                                              "\nid: 4\ndata: e4\n",
                                              ": a comment\nid: 4\n",
                                              ": a comment that is cut"};
    for (const std::string& rest : unfinished) {
        CAPTURE(rest);
        const auto result = run_broken_stream(
            {unframed_stream(event_text(1, 3) + rest), true}, true);
        CHECK(result.caller.end == call_end::complete);
        CHECK(result.caller.response.body == event_text(1, 6));
    }
}

TEST_CASE("broken answers - a stream without length or chunks that is closed "
          "before its first event is not an empty stream") {
    const scripted_answer head_alone{unframed_stream(""), true};
    const auto resumed = run_broken_stream(head_alone, true);
    CHECK(resumed.caller.response.body == event_text(4, 6));
    CHECK(resumed.runs == 2);
    const auto failed = run_broken_stream(head_alone, false);
    CHECK(failed.caller.response.status == 502);
    CHECK(failed.runs == 1);
}

namespace {

/// Server process that is killed while it answers its only request: nobody
/// listens at its address any more, and its connection closes in order.
class killed_server {
  public:
    explicit killed_server(std::string answer)
        : listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in local{};
        local.sin_family = AF_INET;
        local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(local);
        auto* raw = reinterpret_cast<sockaddr*>(&local);
        REQUIRE(bind(listener_, raw, size) == 0);
        REQUIRE(listen(listener_, 1) == 0);
        REQUIRE(getsockname(listener_, raw, &size) == 0);
        port_ = ntohs(local.sin_port);
        thread_ = std::thread([this, bytes = std::move(answer)] {
            const int connection = accept(listener_, nullptr, nullptr);
            close(listener_);
            std::array<char, 4096> buffer{};
            std::string request;
            while (request.find("\r\n\r\n") == std::string::npos) {
                const ssize_t count =
                    read(connection, buffer.data(), buffer.size());
                if (count <= 0)
                    break;
                request.append(buffer.data(), static_cast<std::size_t>(count));
            }
            const ssize_t sent = write(connection, bytes.data(), bytes.size());
            is_sent_ = sent == static_cast<ssize_t>(bytes.size());
            close(connection);
        });
    }
    ~killed_server() {
        thread_.join();
        CHECK(is_sent_);
    }
    killed_server(const killed_server&) = delete;
    killed_server& operator=(const killed_server&) = delete;

    [[nodiscard]] address endpoint() const { return {"127.0.0.1", port_}; }

  private:
    int listener_;
    std::uint16_t port_ = 0;
    bool is_sent_ = false;
    std::thread thread_;
};

/// Sends a request whose first server is killed after the bytes; a second one
/// answers with `other`.
broken_stream_result run_killed_server(const std::string& bytes,
                                       const std::string& other,
                                       request_kind kind, bool is_resumable) {
    broken_stream_result result;
    const scripted_server second([&](const std::string& request) {
        ++result.runs;
        result.second_request = request;
        return scripted_answer{other};
    });
    const killed_server first(bytes);
    gateway_fixture fixture;
    fixture.add_route(kind, is_resumable);
    // The first one alone, so that it is chosen.
    fixture.add_servers({first.endpoint()});
    fixture.core.after("list", milliseconds(5), [&] {
        fixture.add_servers({first.endpoint(), second.endpoint()});
    });
    result.caller =
        fixture.send_request(kind == request_kind::idempotent ? "GET" : "POST");
    return result;
}

} // namespace

// The end of the connection was taken for the end of the stream.
TEST_CASE("broken answers - a stream without length or chunks whose server is "
          "killed between two events is resumed and not passed on as "
          "complete") {
    const auto result = run_killed_server(unframed_stream(event_text(1, 3)),
                                          make_event_stream(4, 6, true),
                                          request_kind::streaming, true);
    CHECK(result.caller.end == call_end::complete);
    CHECK(result.caller.response.body == event_text(1, 6));
    CHECK(result.runs == 1);
    CHECK(result.second_request.find("Last-Event-Id: 3\r\n") !=
          std::string::npos);
}

TEST_CASE("broken answers - a stream without length or chunks whose server is "
          "killed between two events and may not resume is cut") {
    const auto result = run_killed_server(unframed_stream(event_text(1, 3)),
                                          make_event_stream(4, 6, true),
                                          request_kind::streaming, false);
    CHECK(result.caller.end == call_end::truncated);
    CHECK(result.caller.response.body == event_text(1, 3));
    CHECK(result.runs == 0);
}

TEST_CASE("broken answers - a whole stream without length or chunks whose "
          "server ends after it is confirmed by another one") {
    const auto result = run_killed_server(unframed_stream(event_text(1, 3)),
                                          make_event_stream(4, 3, true),
                                          request_kind::streaming, true);
    CHECK(result.caller.end == call_end::complete);
    CHECK(result.caller.response.body == event_text(1, 3));
    CHECK(result.runs == 1);
}

TEST_CASE("broken answers - a plain body without length or chunks whose server "
          "is killed is not passed on as complete") {
    const std::string part = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n\r\nhal";
    const std::string whole = make_response(200, "", "half and half");
    const auto repeated =
        run_killed_server(part, whole, request_kind::idempotent, false);
    CHECK(repeated.caller.response.status == 200);
    CHECK(repeated.caller.response.body == "half and half");
    const auto failed =
        run_killed_server(part, whole, request_kind::non_idempotent, false);
    CHECK(failed.caller.response.status == 502);
    CHECK(failed.runs == 0);
}

TEST_CASE("broken answers - answers without length or chunks whose server goes "
          "on are passed on as complete, once") {
    for (const bool is_resumable : {false, true}) {
        const auto result = run_broken_stream(
            {unframed_stream(event_text(1, 3)), true}, is_resumable);
        CHECK(result.caller.end == call_end::complete);
        CHECK(result.caller.response.body == event_text(1, 3));
        CHECK(result.runs == 1);
    }
}

TEST_CASE("broken answers - a stream that is reset between two events is "
          "broken in each framing") {
    for (const std::string& answer :
         {unframed_stream(event_text(1, 3)), make_event_stream(1, 3, false)}) {
        const auto result = run_broken_stream({answer, false, true}, false);
        CHECK(result.caller.end == call_end::truncated);
        CHECK(result.runs == 1);
    }
}

TEST_CASE("broken answers - a stream whose events have no ids is not resumed "
          "which would repeat them") {
    const auto result = run_broken_stream(
        {unframed_stream("data: a\n\ndata: b\n\ndata: c"), true}, true);
    CHECK(result.caller.end == call_end::truncated);
    CHECK(result.caller.response.body == "data: a\n\ndata: b\n\n");
    CHECK(result.runs == 1);
}

TEST_CASE("broken answers - whole streams without length or chunks are passed "
          "on once") {
    for (const std::string rest : {"", "\n", "\r\n", ": bye\n"}) {
        CAPTURE(rest);
        const auto result = run_broken_stream(
            {unframed_stream(event_text(1, 3) + rest), true}, true);
        CHECK(result.caller.end == call_end::complete);
        CHECK(result.caller.response.body == event_text(1, 3) + rest);
        CHECK(result.runs == 1);
    }
}

TEST_CASE("broken answers - a stream whose connection is half closed is judged "
          "like a closed one") {
    for (const bool is_whole : {true, false}) {
        scripted_answer answer{unframed_stream(
            event_text(1, 3) + (is_whole ? "" : unfinished_event))};
        answer.half_closes = true;
        const auto result = run_broken_stream(answer, true);
        CHECK(result.caller.end == call_end::complete);
        CHECK(result.caller.response.body == event_text(1, is_whole ? 3 : 6));
        CHECK(result.runs == (is_whole ? 1 : 2));
    }
}

TEST_CASE("broken answers - a stream that is closed inside an event while its "
          "caller does not read is cut after its last event") {
    constexpr int events = 100'000;
    const std::string sent = event_text(1, events);
    for (const bool is_whole : {true, false}) {
        gateway_fixture fixture;
        const scripted_server server([&](const std::string&) {
            return scripted_answer{
                unframed_stream(sent + (is_whole ? "" : unfinished_event)),
                true};
        });
        fixture.add_route(request_kind::streaming, false, seconds(20));
        fixture.add_servers({server.endpoint()});
        running_kernel running(fixture.core);
        raw_connection caller(fixture.front_address, 4096);
        caller.send("POST /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                    "X-Request-Id: r1\r\nX-Request-Deadline: 20000\r\n"
                    "Connection: close\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(500));
        const std::string received = caller.read_all(seconds(15));
        CHECK(caller.has_ended());
        CHECK(received.find(fmt::format("data: e{}\n", events)) !=
              std::string::npos);
        CHECK(received.ends_with("\r\n0\r\n\r\n") == is_whole);
    }
}

TEST_CASE("broken answers - a plain body without length is whole if it was "
          "closed and not if it was reset") {
    const std::string body = "HTTP/1.1 200 OK\r\n\r\nwhole";
    for (const bool is_reset : {false, true}) {
        gateway_fixture fixture;
        const scripted_server server([&](const std::string&) {
            return scripted_answer{body, !is_reset, is_reset};
        });
        fixture.add_route(request_kind::non_idempotent, false);
        fixture.add_servers({server.endpoint()});
        const auto result = fixture.send_request();
        CHECK(result.response.status == (is_reset ? 502 : 200));
        CHECK((result.response.body == "whole") == !is_reset);
    }
}

namespace {

/// Sends a request for a stream over HTTP/1.0 and reads until the end.
std::string read_old_stream(gateway_fixture& fixture, raw_connection& caller) {
    running_kernel running(fixture.core);
    caller.send("POST /x/1 HTTP/1.0\r\nHost: a.example\r\n"
                "X-Request-Id: r1\r\nX-Request-Deadline: 3000\r\n"
                "Content-Length: 0\r\n\r\n");
    return caller.read_all();
}

} // namespace

TEST_CASE("broken answers - a caller that cannot read chunks sees by a reset "
          "that its stream was cut") {
    for (const bool is_whole : {true, false}) {
        gateway_fixture fixture;
        const scripted_server server([&](const std::string&) {
            return scripted_answer{make_event_stream(1, 3, is_whole), true};
        });
        fixture.add_route(request_kind::streaming, false);
        fixture.add_servers({server.endpoint()});
        raw_connection caller(fixture.front_address);
        const std::string answer = read_old_stream(fixture, caller);
        CHECK(answer.find("Transfer-Encoding") == std::string::npos);
        CHECK(caller.has_ended());
        CHECK(caller.was_reset() == !is_whole);
        if (is_whole)
            CHECK(answer.ends_with("\r\n\r\n" + event_text(1, 3)));
    }
}
