#include "tests/support/eventually.hpp"
#include "tests/support/free_ports.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/running_kernel.hpp"

#include <ospreystage/requests/caller_api.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace ospreystage;
using support::eventually;
using testing::raw_connection;
using testing::running_kernel;

namespace {

constexpr seconds test_timeout{8};
constexpr const char* chat_body =
    R"({"model":"assistant","messages":[],"stream":true})";

std::string chat_request(const std::string& body) {
    return fmt::format("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                       "X-Organisation: head-office\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       body.size(), body);
}

/// A `caller_api` whose request service is driven by the test.
class api_fixture {
  public:
    api_fixture()
        : local{"127.0.0.1", support::free_ports(1).front()}, server(core, 2),
          callers(core, values, server, registry,
                  {[] { return std::vector<std::string>{"http://a:1"}; },
                   [this](request_id id, incoming_request incoming) {
                       last = std::move(incoming);
                       last_id = id;
                       ++begun;
                   },
                   [this](request_id) { ++cancelled; }}) {
        error failure;
        REQUIRE(value_or_error(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(server.web().listen(local));
                return true;
            },
            failure));
    }

    kernel core;
    settings values;
    address local;
    api_server server;
    metrics registry;
    incoming_request last;
    std::atomic<request_id> last_id{0};
    std::atomic<int> begun{0};
    std::atomic<int> cancelled{0};
    caller_api callers;
};

void deliver(running_kernel& running, api_fixture& api,
             const exchange_event& event) {
    running.ask([&] {
        api.callers.deliver(api.last_id, event);
        return true;
    });
}

bool contains(const std::string& text, std::string_view part) {
    return text.find(part) != std::string::npos;
}

} // namespace

TEST_CASE("caller api - a stream is forwarded as it arrives") {
    api_fixture api;
    running_kernel running(api.core);
    raw_connection caller(api.local);
    caller.send(chat_request(chat_body));
    REQUIRE(eventually(test_timeout, [&] { return api.begun == 1; }));
    CHECK(api.last.service == "assistant");
    CHECK(api.last.organisation == "head-office");
    CHECK(api.last.stream);
    deliver(running, api,
            answer_begin_action{0, 200, "text/event-stream", "v1"});
    deliver(running, api, answer_part_action{0, "data: 1\n\n"});
    const std::string first = caller.read_until("data: 1\n\n");
    CHECK(contains(first, "200 OK"));
    CHECK(contains(first, "X-Model-Version: v1"));
    deliver(running, api, answer_part_action{0, "data: 2\n\n"});
    CHECK(contains(caller.read_until("data: 2\n\n"), "data: 2"));
    deliver(running, api, answer_end_action{});
    CHECK(contains(caller.read_until("0\r\n\r\n"), "data: [DONE]"));
    CHECK(running.ask([&] { return api.callers.size(); }) == 0);
}

TEST_CASE("caller api - a refusal within a stream is its last event") {
    api_fixture api;
    running_kernel running(api.core);
    raw_connection caller(api.local);
    caller.send(chat_request(chat_body));
    REQUIRE(eventually(test_timeout, [&] { return api.begun == 1; }));
    deliver(running, api,
            answer_begin_action{0, 200, "text/event-stream", "v1"});
    deliver(running, api, refuse_action{0, outcome::unknown, "agent_lost", {}});
    const std::string answer = caller.read_until("0\r\n\r\n");
    CHECK(contains(answer, "agent_lost"));
    CHECK_FALSE(contains(answer, "[DONE]"));
}

TEST_CASE("caller api - a failed stream of another type is aborted") {
    api_fixture api;
    running_kernel running(api.core);
    raw_connection caller(api.local);
    caller.send(chat_request(chat_body));
    REQUIRE(eventually(test_timeout, [&] { return api.begun == 1; }));
    deliver(running, api, answer_begin_action{0, 200, "text/plain", "v1"});
    deliver(running, api, answer_part_action{0, "half"});
    deliver(running, api, refuse_action{0, outcome::unknown, "agent_lost", {}});
    const std::string answer = caller.read_all();
    CHECK(caller.has_ended());
    CHECK_FALSE(contains(answer, "0\r\n\r\n"));
}

TEST_CASE("caller api - the path of a plain request keeps its query") {
    api_fixture api;
    const running_kernel running(api.core);
    raw_connection caller(api.local);
    caller.send("GET /v1/services/ledger/rows/7?part=2&x=%20 HTTP/1.1\r\n"
                "Host: x\r\nIdempotency-Key: k\r\n\r\n");
    REQUIRE(eventually(test_timeout, [&] { return api.begun == 1; }));
    CHECK(api.last.service == "ledger");
    CHECK(api.last.path == "/rows/7?part=2&x=%20");
    CHECK(api.last.organisation == "default");
    CHECK(api.last.non_idempotent);
}

TEST_CASE("caller api - each refusal has its status, outcome and retry time") {
    api_fixture api;
    running_kernel running(api.core);
    const std::map<std::string, std::string> statuses = {
        {"overloaded", " 429 "},
        {"key_reused", " 422 "},
        {"invalid_request", " 400 "},
        {"unknown_service", " 404 "},
        {"leaving", " 503 "}};
    raw_connection caller(api.local);
    int count = 0;
    for (const auto& [reason, status] : statuses) {
        caller.send(chat_request(chat_body));
        ++count;
        REQUIRE(eventually(test_timeout, [&] { return api.begun == count; }));
        deliver(running, api,
                refuse_action{0, outcome::not_run, reason, milliseconds(1500)});
        const std::string answer = caller.read_until("}}");
        CHECK(contains(answer, status));
        CHECK(contains(answer, "Retry-After: 2"));
        CHECK(contains(answer, "X-Outcome: not-run"));
        CHECK(contains(answer, "\"retry_after_ms\":1500"));
    }
}

TEST_CASE("caller api - every request has an outcome after abandon_all") {
    api_fixture api;
    running_kernel running(api.core);
    raw_connection open(api.local);
    open.send(chat_request(chat_body));
    REQUIRE(eventually(test_timeout, [&] { return api.begun == 1; }));
    running.ask([&] {
        api.callers.abandon_all();
        return true;
    });
    const std::string answer = open.read_until("}}");
    CHECK(contains(answer, " 504 "));
    CHECK(contains(answer, "X-Outcome: unknown"));
    raw_connection late(api.local);
    late.send(chat_request(chat_body));
    CHECK(contains(late.read_until("}}"), "X-Outcome: not-run"));
    CHECK(api.begun == 1);
}

TEST_CASE("caller api - a caller that disconnects cancels its request") {
    api_fixture api;
    running_kernel running(api.core);
    {
        raw_connection caller(api.local);
        caller.send(chat_request(chat_body));
        REQUIRE(eventually(test_timeout, [&] { return api.begun == 1; }));
    }
    CHECK(eventually(test_timeout, [&] { return api.cancelled == 1; }));
    deliver(running, api, answer_part_action{0, "late"});
    CHECK(running.ask([&] { return api.callers.size(); }) == 0);
}

TEST_CASE("caller api - a caller that does not read is disconnected") {
    api_fixture api;
    running_kernel running(api.core);
    raw_connection caller(api.local, 4096);
    caller.send(chat_request(chat_body));
    REQUIRE(eventually(test_timeout, [&] { return api.begun == 1; }));
    deliver(running, api,
            answer_begin_action{0, 200, "text/event-stream", "v1"});
    deliver(running, api,
            answer_part_action{0, std::string(8 * 1024 * 1024, 'p')});
    CHECK(running.ask([&] { return api.callers.size(); }) == 1);
    CHECK(eventually(test_timeout, [&] { return api.cancelled == 1; }));
    CHECK(running.ask([&] { return api.callers.size(); }) == 0);
}

TEST_CASE("caller api - a body that is too large was not run") {
    api_fixture api;
    const running_kernel running(api.core);
    raw_connection caller(api.local);
    caller.send("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                "Content-Length: 99000000\r\n\r\n");
    const std::string answer = caller.read_all();
    CHECK(contains(answer, " 413 "));
    CHECK(contains(answer, "X-Outcome: not-run"));
    CHECK(api.begun == 0);
}
