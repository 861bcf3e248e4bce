#include "platform/engine_client.hpp"

#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace ospreystage;
using platform::engine_client;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

/// Returns an answer that echoes the id of its request, as engines do.
std::string answer_to(const std::string& request, int status,
                      const std::string& body) {
    const std::string name = "X-Request-Id: ";
    const std::size_t found = request.find(name);
    const std::string echo =
        found == std::string::npos
            ? ""
            : request.substr(found, request.find("\r\n", found) + 2 - found);
    return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}",
                       status, echo, body.size(), body);
}

/// End of the validity of an order that is not limited.
constexpr instant forever = instant::max();

} // namespace

TEST_CASE("engine client - a second copy of an answer is not taken for the "
          "answer to an order") {
    const scripted_server engine([](const std::string& request) {
        if (request.find("/v1/report") == std::string::npos) {
            // Busy: the order is refused, after the copy has arrived.
            return scripted_answer{"", false, false,
                                   answer_to(request, 409, "{}")};
        }
        const std::string report =
            answer_to(request, 200, R"({"busy":true,"sequence":1})");
        return scripted_answer{report, false, false, report};
    });
    kernel core;
    web_client client(core);
    engine_client tested(client, engine.endpoint());
    std::optional<bool> is_accepted;
    tested.read_report(1, [&](const auto& report) {
        CHECK(report);
        tested.order("m", {2, 1, forever}, [&](bool accepted) {
            is_accepted = accepted;
            core.stop();
        });
    });
    core.after("test", seconds(3), [&] { core.stop(); });
    core.run();
    REQUIRE(is_accepted.has_value());
    CHECK_FALSE(*is_accepted);
}

TEST_CASE("engine client - an earlier answer without its id is not taken for a "
          "report or the answer to an order") {
    const std::string earlier =
        answer_to("", 200, R"({"busy":false,"sequence":0})");
    std::atomic<int> arrivals{0};
    const scripted_server engine([&](const std::string& request) {
        const bool is_report = request.find("/v1/report") != std::string::npos;
        const std::string own = answer_to(request, is_report ? 200 : 409,
                                          R"({"busy":true,"sequence":3})");
        // After an answer of another request, a connection is not kept.
        if (++arrivals % 2 == 1)
            return scripted_answer{own};
        return scripted_answer{earlier, false, false, own};
    });
    kernel core;
    web_client client(core);
    engine_client tested(client, engine.endpoint());
    std::vector<std::uint64_t> orders;
    std::optional<bool> is_accepted;
    const auto read_report = [&](const std::function<void()>& next) {
        tested.read_report(1, [&orders, next](const auto& report) {
            if (report)
                orders.push_back(report->state.orders);
            next();
        });
    };
    const auto order = [&] {
        tested.order("m", {2, 1, forever}, [&](bool accepted) {
            is_accepted = accepted;
            core.stop();
        });
    };
    read_report([&] { read_report([&] { read_report(order); }); });
    core.after("test", seconds(3), [&] { core.stop(); });
    core.run();
    CHECK(arrivals == 4);
    CHECK(orders == std::vector<std::uint64_t>{3, 3, 3});
    CHECK(is_accepted == false);
}

TEST_CASE("engine client - whatever an engine answers says that it is leaving "
          "or wants a pause") {
    const int status = GENERATE(202, 409, 503);
    const scripted_server engine([status](const std::string& request) {
        std::string answer =
            answer_to(request, request.starts_with("GET") ? 200 : status,
                      R"({"busy":false,"sequence":1})");
        answer.insert(answer.find("\r\n") + 2,
                      "Server-Leaving: 1\r\nRetry-After: 0.5\r\n");
        return scripted_answer{answer};
    });
    kernel core;
    web_client client(core);
    int leaving_statements = 0;
    std::optional<milliseconds> pause;
    engine_client tested(client, engine.endpoint(),
                         [&](const availability_statement& statement) {
                             leaving_statements += statement.is_leaving ? 1 : 0;
                             pause = statement.pause;
                         });
    tested.read_report(1, [&](const auto& report) {
        CHECK(report);
        CHECK(report->state.is_leaving);
        tested.order("m", {2, 1, forever}, [&](bool) { core.stop(); });
    });
    core.after("test", seconds(3), [&] { core.stop(); });
    core.run();
    CHECK(leaving_statements == 2);
    CHECK(pause.has_value() == (status == 503));
}

TEST_CASE("engine client - reports of an engine that echoes no ids take one "
          "connection, and an order takes its own") {
    constexpr int report_count = 20;
    const scripted_server engine([](const std::string& request) {
        const bool is_report = request.find("/v1/report") != std::string::npos;
        return scripted_answer{answer_to("", is_report ? 200 : 202,
                                         R"({"busy":false,"sequence":1})")};
    });
    kernel core;
    web_client client(core);
    engine_client tested(client, engine.endpoint());
    int reports = 0;
    std::optional<bool> is_accepted;
    const std::function<void()> read_next = [&] {
        tested.read_report(1, [&](const auto& report) {
            reports += report ? 1 : 0;
            if (reports < report_count)
                read_next();
            else
                tested.order("m", {2, 1, forever}, [&](bool accepted) {
                    is_accepted = accepted;
                    core.stop();
                });
        });
    };
    read_next();
    core.after("test", seconds(3), [&] { core.stop(); });
    core.run();
    CHECK(reports == report_count);
    CHECK(is_accepted == true);
    CHECK(engine.connections() == 2);
}

// Guards against an order on a comparison that has become too old while the
// agent was frozen or waited for a connection.
TEST_CASE("engine client - an order whose time has passed is not sent") {
    std::atomic<int> orders{0};
    const scripted_server engine([&](const std::string& request) {
        ++orders;
        return scripted_answer{answer_to(request, 202, "{}")};
    });
    kernel core;
    web_client client(core);
    engine_client tested(client, engine.endpoint());
    std::optional<bool> is_accepted;
    tested.order("m", {2, 1, steady::now() - milliseconds(1)},
                 [&](bool accepted) {
                     is_accepted = accepted;
                     core.stop();
                 });
    core.after("test", seconds(3), [&] { core.stop(); });
    core.run();
    CHECK(is_accepted == false);
    CHECK(orders == 0);
}

// Guards against a comparison of one chunk after another, which an engine that
// answers slowly stretches beyond the age that an order may have.
TEST_CASE("engine client - staged chunks are compared several at a time, and "
          "the result names those that match") {
    constexpr std::uint32_t chunk_count = 16;
    constexpr milliseconds read_time{50};
    const std::uint32_t parallel = GENERATE(1U, 4U, 32U);
    std::atomic<std::uint32_t> reads{0};
    std::atomic<std::uint32_t> max_reads{0};
    const auto chunk = [](std::uint32_t index) {
        return std::string(100, static_cast<char>('a' + index));
    };
    const scripted_server engine([&](const std::string& request) {
        const std::string name = "item_count=";
        const std::size_t found = request.find(name);
        if (found == std::string::npos) {
            std::string held = "0";
            for (std::uint32_t index = 1; index < chunk_count; ++index)
                held += fmt::format(",{}", index);
            return scripted_answer{answer_to(
                request, 200, fmt::format(R"({{"held":[{}]}})", held))};
        }
        const auto index = static_cast<std::uint32_t>(
            std::stoul(request.substr(found + name.size())));
        const std::uint32_t now = ++reads;
        std::uint32_t highest = max_reads;
        while (now > highest && !max_reads.compare_exchange_weak(highest, now))
            continue;
        std::this_thread::sleep_for(read_time);
        --reads;
        return scripted_answer{
            answer_to(request, 200, chunk(index == 3 ? 0 : index))};
    });
    kernel core;
    web_client client(core);
    engine_client tested(client, engine.endpoint());
    manifest description;
    description.chunk_bytes = 100;
    for (std::uint32_t index = 0; index < chunk_count; ++index)
        description.chunks.push_back(sha256(chunk(index)));
    std::optional<engine_client::staged_chunks> result;
    tested.check_staged("m", description, {true, parallel},
                        [&](std::optional<engine_client::staged_chunks> found) {
                            result = std::move(found);
                            core.stop();
                        });
    core.after("test", seconds(10), [&] { core.stop(); });
    core.run();
    REQUIRE(result.has_value());
    CHECK(result->verified.count() == chunk_count - 1);
    CHECK_FALSE(result->verified.test(3));
    CHECK(result->bytes.size() == chunk_count - 1);
    CHECK(max_reads <= parallel);
    CHECK(max_reads >= std::min(parallel, chunk_count / 2));
}
