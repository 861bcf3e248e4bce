#include "tests/support/eventually.hpp"
#include "tests/support/free_ports.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/running_kernel.hpp"

#include <ospreystage/http/web_server.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace ospreystage;
using support::eventually;
using testing::raw_connection;
using testing::running_kernel;

namespace {

constexpr seconds wait_timeout{5};
constexpr const char* get_request = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

/// Server that responds with the target and the body of each request.
class echo_server {
  public:
    explicit echo_server(const server_limits& limits = {})
        : local{"127.0.0.1", support::free_ports(1).front()},
          server(core,
                 {[this](exchange_id exchange, const http_request& request) {
                      ++requests;
                      on_request(exchange, request);
                  },
                  [this](exchange_id) { ++abandoned; },
                  [this](exchange_id) { ++drained; }, nullptr}) {
        server.set_limits(limits);
        error failure;
        REQUIRE(value_or_error(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(server.listen(local));
                return true;
            },
            failure));
    }

    kernel core;
    address local;
    web_server server;
    std::function<void(exchange_id, const http_request&)> on_request =
        [this](exchange_id exchange, const http_request& request) {
            http_response response;
            response.body = request.target + ":" + request.body;
            server.respond(exchange, response);
        };
    std::atomic<int> requests{0};
    std::atomic<int> abandoned{0};
    std::atomic<int> drained{0};
};

bool contains(const std::string& text, std::string_view part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("web server - pipelined requests are answered in order") {
    echo_server echo;
    const running_kernel running(echo.core);
    raw_connection caller(echo.local);
    caller.send("POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(contains(caller.read_until("/1:abc"), "200 OK"));
    CHECK(contains(caller.read_until("/2:"), "200 OK"));
    CHECK(contains(caller.read_until("/3:"), "200 OK"));
}

TEST_CASE("web server - a request that arrives byte by byte is parsed") {
    echo_server echo;
    const running_kernel running(echo.core);
    raw_connection caller(echo.local);
    for (const char byte : std::string(get_request))
        caller.send(std::string_view(&byte, 1));
    CHECK(contains(caller.read_until("/a:"), "200 OK"));
}

TEST_CASE("web server - malformed and oversized requests get a clear status") {
    echo_server echo({.max_header_bytes = 1024, .max_body_bytes = 100});
    const running_kernel running(echo.core);
    const std::string long_field(2048, 'f');
    const std::map<std::string, std::string> cases = {
        {"NOT HTTP\r\n\r\n", " 400 "},
        {"GET /a HTTP/1.1\r\nHost: x\r\nX-Long: " + long_field + "\r\n\r\n",
         " 431 "},
        {"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 101\r\n\r\n", " 413 "},
        {"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: "
         "chunked\r\n\r\nzz\r\n",
         " 400 "},
    };
    for (const auto& [bytes, status] : cases) {
        raw_connection caller(echo.local);
        caller.send(bytes);
        const std::string answer = caller.read_all();
        INFO(answer);
        CHECK(contains(answer, status));
        CHECK(caller.has_ended());
    }
    CHECK(echo.requests == 0);
}

TEST_CASE("web server - a refusal reaches a caller that is sending its body") {
    echo_server echo({.max_body_bytes = 100});
    const running_kernel running(echo.core);
    raw_connection caller(echo.local);
    const std::string body(4 * 1024 * 1024, 'b');
    caller.send(
        fmt::format("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
                    body.size()));
    CHECK(caller.send(body));
    CHECK(contains(caller.read_all(), " 413 "));
}

TEST_CASE("web server - a request that is not received in time is refused") {
    echo_server echo({.header_timeout = milliseconds(100)});
    const running_kernel running(echo.core);
    raw_connection caller(echo.local);
    caller.send("GET /a HTTP/1.1\r\nHo");
    CHECK(contains(caller.read_all(), " 408 "));
    CHECK(caller.has_ended());
}

TEST_CASE("web server - an idle connection is closed without a response") {
    echo_server echo({.idle_timeout = milliseconds(300)});
    const running_kernel running(echo.core);
    raw_connection caller(echo.local);
    caller.send(get_request);
    CHECK(contains(caller.read_until("/a:"), "200 OK"));
    CHECK(caller.read_all().empty());
    CHECK(caller.has_ended());
}

TEST_CASE("web server - a caller that does not read pauses its stream") {
    echo_server echo;
    exchange_id stream{};
    echo.on_request = [&](exchange_id exchange, const http_request&) {
        stream = exchange;
        echo.server.begin(exchange, {});
    };
    running_kernel running(echo.core);
    raw_connection caller(echo.local, 4096);
    caller.send(get_request);
    REQUIRE(eventually(wait_timeout, [&] { return echo.requests == 1; }));
    const std::string part(16 * 1024, 'p');
    std::size_t sent = 0;
    const bool is_paused = eventually(wait_timeout, [&] {
        sent += part.size();
        return !running.ask([&] { return echo.server.write(stream, part); });
    });
    REQUIRE(is_paused);
    CHECK(echo.drained == 0);
    std::string received = caller.read_until("200 OK");
    while (echo.drained == 0) {
        const std::string more = caller.read_until("\r\n");
        REQUIRE_FALSE(more.empty());
        received += more;
    }
    running.ask([&] {
        echo.server.finish(stream);
        return true;
    });
    received += caller.read_until("\r\n0\r\n\r\n");
    CHECK(static_cast<std::size_t>(
              std::count(received.begin(), received.end(), 'p')) == sent);
}

TEST_CASE("web server - a disconnected caller is reported once") {
    echo_server echo;
    echo.on_request = [](exchange_id, const http_request&) {};
    running_kernel running(echo.core);
    {
        raw_connection caller(echo.local);
        caller.send(get_request);
        REQUIRE(eventually(wait_timeout, [&] { return echo.requests == 1; }));
    }
    CHECK(eventually(wait_timeout, [&] { return echo.abandoned == 1; }));
    CHECK(running.ask([&] { return echo.server.exchanges(); }) == 0);
    CHECK(running.ask([&] { return echo.server.connections(); }) == 0);
}

TEST_CASE(
    "web server - a response after draining began closes the connection") {
    echo_server echo;
    running_kernel running(echo.core);
    raw_connection kept(echo.local);
    kept.send(get_request);
    kept.read_until("/a:");
    running.ask([&] {
        echo.server.close_after_responses();
        return true;
    });
    raw_connection late(echo.local);
    REQUIRE(late.is_open());
    for (raw_connection* caller : {&kept, &late}) {
        caller->send(get_request);
        const std::string answer = caller->read_all();
        CHECK(contains(answer, "Connection: close"));
        CHECK(contains(answer, "/a:"));
        CHECK(caller->has_ended());
    }
    running.ask([&] {
        echo.server.stop_listening();
        return true;
    });
    CHECK_FALSE(raw_connection(echo.local).is_open());
}

TEST_CASE("web server - requests that arrive as draining begins are answered") {
    echo_server echo;
    running_kernel running(echo.core);
    raw_connection kept(echo.local);
    kept.send(get_request);
    kept.read_until("/a:");
    raw_connection silent(echo.local);
    raw_connection sending(echo.local);
    sending.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo");
    std::this_thread::sleep_for(milliseconds(50));
    std::unique_ptr<raw_connection> fresh;
    // The kernel's thread is busy, so it has not read these requests yet.
    running.ask([&] {
        kept.send(get_request);
        fresh = std::make_unique<raw_connection>(echo.local);
        fresh->send(get_request);
        std::this_thread::sleep_for(milliseconds(20));
        echo.server.drain();
        return true;
    });
    std::this_thread::sleep_for(milliseconds(100));
    silent.send(get_request);
    sending.send("dy");
    CHECK(contains(kept.read_all(), "/a:"));
    CHECK(contains(fresh->read_all(), "/a:"));
    CHECK(contains(silent.read_all(), "/a:"));
    CHECK(contains(sending.read_all(), "/b:body"));
    CHECK(eventually(wait_timeout, [&] {
        return running.ask([&] { return echo.server.connections(); }) == 0;
    }));
}

TEST_CASE("web server - draining ends although a caller sends nothing") {
    echo_server echo;
    running_kernel running(echo.core);
    raw_connection kept(echo.local);
    kept.send(get_request);
    kept.read_until("/a:");
    const raw_connection silent(echo.local);
    REQUIRE(eventually(wait_timeout, [&] {
        return running.ask([&] { return echo.server.connections(); }) == 2;
    }));
    const auto drained = [&] {
        return running.ask([&] {
            echo.server.drain();
            return echo.server.connections();
        }) == 0;
    };
    CHECK(eventually(seconds(2), drained));
    CHECK(kept.await_end(seconds(1)));
}

namespace {

/// Keeps the kernel's thread busy while `caller` sends `bytes`, so that they
/// have arrived unread when the timers run that are due after `duration`.
void send_while_busy(running_kernel& running, raw_connection& caller,
                     std::string_view bytes, milliseconds duration) {
    running.ask([&] {
        caller.send(bytes);
        std::this_thread::sleep_for(duration);
        return true;
    });
}

} // namespace

TEST_CASE("web server - a request that has arrived when its connection's idle "
          "time ends is answered and not cut off") {
    echo_server echo({.idle_timeout = milliseconds(300)});
    running_kernel running(echo.core);
    raw_connection caller(echo.local);
    caller.send(get_request);
    REQUIRE(contains(caller.read_until("/a:"), "200 OK"));
    send_while_busy(running, caller, get_request, milliseconds(600));
    CHECK(contains(caller.read_until("/a:"), "200 OK"));
    CHECK_FALSE(caller.was_reset());
}

TEST_CASE("web server - a request whose rest has arrived when its time ends is "
          "answered and not refused") {
    echo_server echo({.header_timeout = milliseconds(300)});
    running_kernel running(echo.core);
    raw_connection caller(echo.local);
    caller.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo");
    std::this_thread::sleep_for(milliseconds(50));
    send_while_busy(running, caller, "dy", milliseconds(600));
    CHECK(contains(caller.read_until("/b:body"), "200 OK"));
}

TEST_CASE("web server - longer idle and header times hold for connections that "
          "are open, so that a caller who knows them is not cut off") {
    const server_limits before{.header_timeout = milliseconds(300),
                               .idle_timeout = milliseconds(300)};
    echo_server echo(before);
    running_kernel running(echo.core);
    raw_connection idle(echo.local);
    idle.send(get_request);
    REQUIRE(contains(idle.read_until("/a:"), "200 OK"));
    raw_connection sending(echo.local);
    sending.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo");
    std::this_thread::sleep_for(milliseconds(50));
    running.ask([&] {
        echo.server.set_limits({.header_timeout = milliseconds(1500),
                                .idle_timeout = milliseconds(1500)});
        return true;
    });
    std::this_thread::sleep_for(milliseconds(700));
    idle.send(get_request);
    sending.send("dy");
    CHECK(contains(idle.read_until("/a:"), "200 OK"));
    CHECK(contains(sending.read_until("/b:body"), "200 OK"));
}

TEST_CASE("web server - smaller limits do not end a request that is being read "
          "or a connection whose caller knows the longer idle time") {
    echo_server echo({.max_body_bytes = 100,
                      .header_timeout = milliseconds(1500),
                      .idle_timeout = milliseconds(1500)});
    running_kernel running(echo.core);
    raw_connection idle(echo.local);
    idle.send(get_request);
    REQUIRE(contains(idle.read_until("/a:"), "200 OK"));
    raw_connection sending(echo.local);
    sending.send("POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbo");
    std::this_thread::sleep_for(milliseconds(50));
    running.ask([&] {
        echo.server.set_limits({.max_body_bytes = 1,
                                .header_timeout = milliseconds(100),
                                .idle_timeout = milliseconds(100)});
        return true;
    });
    std::this_thread::sleep_for(milliseconds(700));
    idle.send(get_request);
    sending.send("dy");
    CHECK(contains(idle.read_until("/a:"), "200 OK"));
    CHECK(contains(sending.read_until("/b:body"), "200 OK"));
}

namespace {

/// Returns a request whose body, framed by `framing`, quotes another request.
std::string make_quoting_request(const std::string& framing) {
    const std::string quoted = "POST /quoted HTTP/1.1\r\nHost: x\r\n"
                               "Content-Length: 2\r\n\r\nno";
    return "POST /sent HTTP/1.1\r\nHost: x\r\n" + framing + "\r\n" + quoted;
}

} // namespace

// The parser took such a request for one without a body, and what it quoted ran
// as a request that nobody had sent.
TEST_CASE(
    "web server - a body whose transfer coding does not end in chunked is "
    "refused and not run as a request of its own") {
    const std::vector<std::string> framings{
        "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: gzip\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: chunked, chunked\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
        "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: \"chunked\"\r\n",
        "Transfer-Encoding: chunked;q=1\r\n",
        "Transfer-Encoding:\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 5\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: gzip\r\n",
        "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"};
    echo_server echo;
    const running_kernel running(echo.core);
    for (const std::string& framing : framings) {
        INFO(framing);
        raw_connection caller(echo.local);
        caller.send(make_quoting_request(framing));
        const std::string answer = caller.read_all();
        CHECK(answer.find("HTTP/1.1 400 ") == 0);
        CHECK(caller.has_ended());
    }
    CHECK(echo.requests == 0);
}

// The body would be passed on without its other codings.
TEST_CASE("web server - a body in chunks of another coding is refused and not "
          "passed on as if it had none") {
    echo_server echo;
    const running_kernel running(echo.core);
    for (const char* fields :
         {"Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n"}) {
        raw_connection caller(echo.local);
        caller.send(fmt::format("POST /sent HTTP/1.1\r\nHost: x\r\n{}\r\n"
                                "2\r\nok\r\n0\r\n\r\n",
                                fields));
        CHECK(caller.read_all().find("HTTP/1.1 501 ") == 0);
        CHECK(caller.has_ended());
    }
    CHECK(echo.requests == 0);
}

TEST_CASE("web server - the spelling of chunked does not matter") {
    echo_server echo;
    const running_kernel running(echo.core);
    for (const char* value : {"chunked", "Chunked", " CHUNKED\t"}) {
        raw_connection caller(echo.local);
        caller.send(fmt::format("POST /a HTTP/1.1\r\nHost: x\r\n"
                                "Transfer-Encoding: {}\r\n\r\n"
                                "2\r\nok\r\n0\r\n\r\n",
                                value));
        CHECK(contains(caller.read_until("/a:ok"), "200 OK"));
    }
}

// Trailer fields follow the body, where a caller may quote anything.
TEST_CASE("web server - trailer fields of a request are not taken for fields "
          "of its head") {
    echo_server echo;
    http_fields received;
    echo.on_request = [&](exchange_id exchange, const http_request& request) {
        received = request.fields;
        echo.server.respond(exchange, {});
    };
    {
        const running_kernel running(echo.core);
        raw_connection caller(echo.local);
        caller.send("POST /a HTTP/1.1\r\nHost: x\r\n"
                    "Transfer-Encoding: chunked\r\n\r\n"
                    "2\r\nok\r\n0\r\nX-Tenant: other\r\n\r\n");
        CHECK(contains(caller.read_until("\r\n\r\n"), "200 OK"));
    }
    CHECK(find_field(received, "Host") != nullptr);
    CHECK(find_field(received, "X-Tenant") == nullptr);
}

namespace {

/// Sends HEAD and then GET on one connection; returns what was received.
std::string head_then_get(echo_server& echo) {
    const running_kernel running(echo.core);
    raw_connection caller(echo.local);
    caller.send("HEAD /h HTTP/1.1\r\nHost: x\r\n\r\n"
                "GET /g HTTP/1.1\r\nHost: x\r\n\r\n");
    return caller.read_until("/g:");
}

/// Returns true if the text is an answer without a body, and another answer
/// right after it.
bool has_no_first_body(const std::string& text) {
    const std::size_t end = text.find("\r\n\r\n");
    return end != std::string::npos &&
           text.substr(end + 4).find("HTTP/1.1 200 ") == 0;
}

} // namespace

// The caller reads such a body as the begin of its next answer.
TEST_CASE("web server - an answer to HEAD has no body") {
    echo_server echo;
    const std::string text = head_then_get(echo);
    INFO(text);
    CHECK(has_no_first_body(text));
    // As for GET.
    CHECK(contains(text.substr(0, text.find("\r\n\r\n")), "Content-Length: 3"));
}

TEST_CASE("web server - an answer to HEAD in parts has neither a body nor a "
          "last chunk") {
    for (const bool has_length : {false, true}) {
        echo_server echo;
        echo.on_request = [&](exchange_id exchange,
                              const http_request& request) {
            const std::string body = request.target + ":";
            if (has_length)
                echo.server.begin(exchange, {}, body.size());
            else
                echo.server.begin(exchange, {});
            echo.server.write(exchange, body);
            echo.server.finish(exchange);
        };
        const std::string text = head_then_get(echo);
        INFO(text);
        CHECK(has_no_first_body(text));
    }
}

TEST_CASE("web server - the length of an answer to HEAD is that of its "
          "server") {
    echo_server echo;
    echo.on_request = [&](exchange_id exchange, const http_request& request) {
        http_response response;
        if (request.method == "HEAD")
            response.content_length = 1234;
        else
            response.body = request.target + ":";
        echo.server.respond(exchange, response);
    };
    const std::string text = head_then_get(echo);
    INFO(text);
    CHECK(has_no_first_body(text));
    CHECK(contains(text, "Content-Length: 1234"));
}

TEST_CASE("web server - an answer whose status rules out a body has neither a "
          "body nor a length") {
    for (const std::uint16_t status : std::array<std::uint16_t, 2>{204, 304}) {
        echo_server echo;
        echo.on_request = [&](exchange_id exchange,
                              const http_request& request) {
            http_response response;
            response.body = request.target + ":";
            if (request.method == "HEAD")
                response.status = status;
            echo.server.respond(exchange, response);
        };
        const std::string text = head_then_get(echo);
        INFO(text);
        CHECK(has_no_first_body(text));
        CHECK_FALSE(
            contains(text.substr(0, text.find("\r\n\r\n")), "Content-Length"));
    }
}

TEST_CASE("web server - the refusal of a HEAD request has no body") {
    echo_server echo({.max_body_bytes = 10});
    const running_kernel running(echo.core);
    raw_connection caller(echo.local);
    caller.send("HEAD /h HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n");
    const std::string text = caller.read_all();
    REQUIRE(text.find("HTTP/1.1 413 ") == 0);
    CHECK(text.find("\r\n\r\n") == text.size() - 4);
}

// Such requests kept their places until the header timeout, and nobody else
// got one.
TEST_CASE("web server - unfinished requests that hold all connections do not "
          "shut ordinary callers out") {
    constexpr std::size_t connections = 20;
    constexpr std::size_t crowd_size = 30;
    echo_server echo;
    echo.server.set_max_connections(connections);
    const running_kernel running(echo.core);
    std::vector<std::unique_ptr<raw_connection>> crowd;
    for (std::size_t index = 0; index < crowd_size; ++index) {
        crowd.push_back(std::make_unique<raw_connection>(echo.local));
        crowd.back()->send("POST /crowd HTTP/1.1\r\nHost: x\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"
                           "40\r\nunfinished");
    }
    std::this_thread::sleep_for(milliseconds(200));
    raw_connection caller(echo.local);
    caller.send(get_request);
    CHECK(contains(caller.read_until("/a:", seconds(2)), "200 OK"));
    CHECK(echo.requests == 1);
    // The promise holds: nothing of them runs.
    CHECK(crowd.front()->read_until("\r\n\r\n").find("HTTP/1.1 503 ") == 0);
}
