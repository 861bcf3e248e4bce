#include "platform/wire.hpp"
#include "tests/support/gateway_fixture.hpp"
#include "tests/support/mortal_servers.hpp"
#include "tests/support/scripted_server.hpp"

#include <ospreystage/serving/request_identity.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <string>
#include <vector>

using namespace ospreystage;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::mortal_servers;
using testing::scripted_answer;

namespace {

/// Crashes until the request has to be recognised, and arrivals afterwards.
constexpr int recognised_crashes = 3;
constexpr int allowed_arrivals = 3;
constexpr int request_count = 45;
constexpr int server_count = 3;
const std::string fatal_body = "body that ends servers";
const std::string answer_body = "answer";

bool has_fatal_body(const std::string& request) {
    return request.find(fatal_body) != std::string::npos;
}

bool is_fatal_turn(int number) {
    return number % 3 == 2;
}

scripted_answer plain_answer() {
    scripted_answer result;
    result.delayed_bytes =
        make_response(200, "X-Server-Stamp: s\r\n", answer_body);
    return result;
}

http_fields make_id(int number) {
    return {{"X-Request-Id", fmt::format("r{}", number)}};
}

/// Returns requests of one caller and path, every third with the fatal body,
/// the others with new bodies.
std::vector<http_request> make_requests() {
    std::vector<http_request> requests;
    requests.reserve(request_count);
    for (int number = 0; number < request_count; ++number)
        requests.push_back(gateway_fixture::make_request(
            make_id(number),
            is_fatal_turn(number) ? fatal_body : fmt::format("b{}", number)));
    return requests;
}

} // namespace

TEST_CASE("fatal requests - a request that ends plain servers stops reaching "
          "them, others of its caller and path are served") {
    const request_kind kind =
        GENERATE(request_kind::idempotent, request_kind::non_idempotent);
    CAPTURE(static_cast<int>(kind));
    gateway_fixture fixture;
    fixture.add_route(kind, false);
    mortal_servers servers(fixture, server_count, has_fatal_body,
                           plain_answer());
    const auto results = fixture.send_all(make_requests());
    int sound_served = 0;
    for (int number = 0; number < request_count; ++number) {
        const auto& outcome = results[static_cast<std::size_t>(number)];
        if (!is_fatal_turn(number) && outcome.response.body == answer_body)
            ++sound_served;
    }
    CHECK(servers.crashes() <= recognised_crashes + allowed_arrivals);
    CHECK(sound_served == request_count - request_count / 3);
    // It has not run, and the caller learns when to come back.
    CHECK(results.back().response.status == 503);
    CHECK(find_field(results.back().response.fields, "Retry-After") != nullptr);
}

TEST_CASE("fatal requests - a stream that ends engines and shares no part of "
          "its prompt stops reaching them") {
    gateway_fixture fixture;
    fixture.add_engine_route(true);
    scripted_answer sound;
    sound.delayed_bytes = make_event_stream(1, 3, true);
    mortal_servers engines(
        fixture, server_count,
        [](const std::string& request) {
            return request.find("bad0cafe:") != std::string::npos;
        },
        sound, 1);
    std::vector<http_request> requests;
    requests.reserve(request_count);
    for (int number = 0; number < request_count; ++number) {
        http_fields fields = make_id(number);
        fields.push_back(
            {"X-Prompt-Prefix", is_fatal_turn(number)
                                    ? "bad0cafe:250"
                                    : fmt::format("e{:04x}:250", number)});
        requests.push_back(gateway_fixture::make_request(fields, "same"));
    }
    const auto results = fixture.send_all(requests);
    CHECK(engines.crashes() <= recognised_crashes + allowed_arrivals);
    CHECK(results.back().response.status == 503);
    CHECK(results[request_count - 2].response.status == 200);
}

TEST_CASE("fatal requests - servers that go on and break off answers blame no "
          "request") {
    const bool resets = GENERATE(false, true);
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    std::atomic<int> arrivals{0};
    scripted_answer broken{"", !resets};
    broken.resets = resets;
    const testing::scripted_server server([&](const std::string&) {
        ++arrivals;
        return broken;
    });
    fixture.add_servers({server.endpoint()});
    std::vector<http_request> requests;
    requests.reserve(8);
    for (int number = 0; number < 8; ++number)
        requests.push_back(
            gateway_fixture::make_request(make_id(number), "sound"));
    for (const auto& outcome : fixture.send_all(requests))
        CHECK(outcome.response.status == 502);
    CHECK(arrivals == 8);
}

TEST_CASE("fatal requests - an idempotent request whose server ends once is "
          "tried again at once") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::idempotent, false);
    std::atomic<int> begun{0};
    mortal_servers servers(
        fixture, server_count, [&](const std::string&) { return ++begun == 1; },
        plain_answer());
    const auto outcome = fixture.send_request("GET");
    CHECK(outcome.response.body == answer_body);
    CHECK(servers.crashes() == 1);
}

TEST_CASE("fatal requests - a request that waits at a plain server when it is "
          "quarantined is withdrawn") {
    gateway_fixture fixture;
    fixture.add_route(request_kind::idempotent, false);
    std::atomic<int> arrivals{0};
    const testing::scripted_server server([&](const std::string&) {
        ++arrivals;
        return scripted_answer{};
    });
    fixture.add_servers({server.endpoint()});
    const http_request request =
        gateway_fixture::make_request(make_id(1), fatal_body);
    const prompt_part identity = request_identity(
        request, platform::make_caller_protocol().read_request(request), "");
    fixture.core.after("test", milliseconds(100), [&] {
        prompt_report report;
        report.quarantined.push_back({identity, 0, 0});
        fixture.quarantine.on_report(report, steady::now());
    });
    const auto outcomes = fixture.send_all({request});
    // It may have run, so that it is no refusal.
    CHECK(outcomes.front().response.status == 502);
    CHECK(outcomes.front().duration < milliseconds(600));
    CHECK(arrivals == 1);
}
