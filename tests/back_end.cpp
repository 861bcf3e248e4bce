#include "tests/support/scripted_server.hpp"

#include <ospreystage/requests/back_end.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace ospreystage;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr seconds test_timeout{8};

/// Events of one call.
struct call_record {
    std::vector<back_end_event> events;
    [[nodiscard]] bool has_ended() const {
        return !events.empty() &&
               (std::holds_alternative<back_end_end>(events.back()) ||
                std::holds_alternative<back_end_failed>(events.back()));
    }
    [[nodiscard]] std::string parts() const {
        std::string out;
        for (const back_end_event& event : events)
            if (const auto* part = std::get_if<back_end_part>(&event))
                out += part->data + "|";
        return out;
    }
    [[nodiscard]] const back_end_failed& failure() const {
        REQUIRE(std::holds_alternative<back_end_failed>(events.back()));
        return std::get<back_end_failed>(events.back());
    }
};

run_order engine_order() {
    run_order order;
    order.attempt.sequence = 7;
    order.method = "POST";
    order.path = "/v1/chat/completions";
    order.content_type = "application/json";
    order.organisation = "head-office";
    order.version = "v1";
    order.body = R"({"model":"assistant","messages":[]})";
    order.stream = true;
    return order;
}

/// Runs one call to its end; cancels it after `cancel_after` events.
call_record run_call(const std::string& url, const run_order& order,
                     milliseconds deadline = seconds(5),
                     std::size_t cancel_after = 1000) {
    kernel core;
    call_record record;
    back_end* calls = nullptr;
    back_end server(core, url,
                    [&](const attempt_id& attempt, back_end_event event) {
                        CHECK(attempt == order.attempt);
                        record.events.push_back(std::move(event));
                        if (record.events.size() == cancel_after)
                            calls->cancel(attempt);
                        if (record.has_ended())
                            core.stop();
                    });
    calls = &server;
    core.after("test", std::chrono::nanoseconds(0),
               [&] { server.start(order, deadline); });
    core.after("test", test_timeout, [&core] { core.stop(); });
    core.run();
    REQUIRE(record.has_ended());
    return record;
}

std::string url_of(const scripted_server& server) {
    return "http://" + to_string(server.endpoint());
}

call_record run_scripted(const scripted_answer& answer,
                         const run_order& order = engine_order()) {
    const scripted_server server([&](const std::string&) { return answer; });
    return run_call(url_of(server), order);
}

scripted_answer stream_answer(const std::string& body) {
    return {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "X-Model-Version: v1\r\nConnection: close\r\n\r\n" +
                body,
            true};
}

} // namespace

TEST_CASE("back end - a stream is delivered event by event") {
    const call_record record =
        run_scripted(stream_answer("data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"));
    const auto& begin = std::get<back_end_begin>(record.events.front());
    CHECK(begin.status == 200);
    CHECK(begin.version == "v1");
    CHECK(record.parts() == "data: 1\n\n|data: 2\n\n|");
    CHECK(std::holds_alternative<back_end_end>(record.events.back()));
}

TEST_CASE("back end - a stream without its last event has failed") {
    const call_record record =
        run_scripted(stream_answer("data: 1\n\ndata: 2\n"));
    CHECK(record.parts() == "data: 1\n\n|");
    CHECK(record.failure().reached);
}

TEST_CASE("back end - an event without end ends its call") {
    scripted_answer answer = stream_answer("data: 1\n\ndata: ");
    answer.closes = false;
    answer.endless_bytes.assign(16 * 1024, 'x');
    const instant started = steady::now();
    const call_record record = run_scripted(answer);
    CHECK(record.parts() == "data: 1\n\n|");
    CHECK(record.failure().reached);
    CHECK(steady::now() - started < seconds(2));
}

TEST_CASE("back end - a refusal says that the request did not run") {
    const std::string refusal =
        "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    CHECK_FALSE(run_scripted({refusal}).failure().reached);
    // For a plain service the status is part of the service's answer.
    run_order plain = engine_order();
    plain.version.clear();
    plain.stream = false;
    const call_record record = run_scripted({refusal}, plain);
    CHECK(std::get<back_end_begin>(record.events.front()).status == 503);
    CHECK(record.parts() == "busy|");
}

TEST_CASE("back end - an unreachable server has not run the request") {
    std::string url;
    {
        const scripted_server gone(
            [](const std::string&) { return scripted_answer{}; });
        url = url_of(gone);
    }
    CHECK_FALSE(run_call(url, engine_order()).failure().reached);
}

TEST_CASE("back end - a request with a truncated answer may have run") {
    const scripted_answer truncated = {
        "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nshort", true};
    CHECK(run_scripted(truncated).failure().reached);
    const scripted_answer none = {"", true};
    CHECK(run_scripted(none).failure().reached);
}

TEST_CASE("back end - a stream that stops sending fails before its deadline") {
    const scripted_server server([](const std::string&) {
        return scripted_answer{
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
            "data: 1\n\n"};
    });
    const instant began = steady::now();
    const call_record record =
        run_call(url_of(server), engine_order(), seconds(60));
    CHECK(record.failure().detail == "silent");
    CHECK(steady::now() - began < seconds(6));
}

TEST_CASE("back end - a cancelled call fails") {
    const scripted_server server([](const std::string&) {
        return scripted_answer{
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
            "data: 1\n\ndata: 2\n\n"};
    });
    const call_record record =
        run_call(url_of(server), engine_order(), seconds(60), 2);
    CHECK(record.parts() == "data: 1\n\n|");
    CHECK(record.failure().detail == "cancelled");
}

TEST_CASE("back end - only requests without a key reuse connections") {
    const scripted_server server([](const std::string&) {
        return scripted_answer{
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    });
    const auto run_twice = [&](run_order order) {
        kernel core;
        int ended = 0;
        back_end calls(core, url_of(server),
                       [&](const attempt_id&, const back_end_event& event) {
                           if (!std::holds_alternative<back_end_end>(event))
                               return;
                           ++ended;
                           if (ended == 2)
                               core.stop();
                           else
                               core.post("test", [&] {
                                   order.attempt.sequence = 2;
                                   calls.start(order, seconds(5));
                               });
                       });
        core.after("test", std::chrono::nanoseconds(0),
                   [&] { calls.start(order, seconds(5)); });
        core.after("test", test_timeout, [&core] { core.stop(); });
        core.run();
        CHECK(ended == 2);
    };
    run_order order = engine_order();
    order.stream = false;
    run_twice(order);
    CHECK(server.connections() == 1);
    order.idempotency_key = "key";
    run_twice(order);
    CHECK(server.connections() == 3);
}

TEST_CASE(
    "back end - a refusal of an earlier request on a kept connection does "
    "not say that the next one did not run") {
    std::atomic<int> arrivals{0};
    const std::string refusal =
        "HTTP/1.1 503 Busy\r\nContent-Length: 4\r\n\r\nbusy";
    const scripted_server server([&](const std::string&) {
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        if (++arrivals == 1)
            return scripted_answer{answer};
        // The engine runs this request.
        return scripted_answer{refusal, false, false, answer};
    });
    run_order order = engine_order();
    order.stream = false;
    kernel core;
    int ended = 0;
    std::optional<back_end_failed> failure;
    back_end calls(core, url_of(server),
                   [&](const attempt_id&, const back_end_event& event) {
                       if (const auto* failed =
                               std::get_if<back_end_failed>(&event))
                           failure = *failed;
                       else if (!std::holds_alternative<back_end_end>(event))
                           return;
                       if (++ended == 2)
                           core.stop();
                       else
                           core.post("test", [&] {
                               order.attempt.sequence = 8;
                               calls.start(order, seconds(2));
                           });
                   });
    core.after("test", std::chrono::nanoseconds(0),
               [&] { calls.start(order, seconds(2)); });
    core.after("test", test_timeout, [&core] { core.stop(); });
    core.run();
    CHECK(ended == 2);
    CHECK_FALSE((failure && !failure->reached));
}

TEST_CASE("back end - a host name is resolved") {
    const scripted_server server([](const std::string&) {
        return scripted_answer{
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
    });
    const std::string url =
        fmt::format("http://localhost:{}", server.endpoint().port);
    run_order order = engine_order();
    order.stream = false;
    CHECK(run_call(url, order).parts() == "ok|");
}

TEST_CASE("back end - a body that is nested a million deep does not end the "
          "process") {
    run_order order = engine_order();
    for (const char* field : {"messages", "more"}) {
        constexpr std::size_t depth = 1'000'000;
        order.body =
            fmt::format(R"({{"model":"assistant","{}":{}{}}})", field,
                        std::string(depth, '['), std::string(depth, ']'));
        const call_record record =
            run_scripted(stream_answer("data: 1\n\ndata: [DONE]\n\n"), order);
        CHECK(record.has_ended());
    }
}
