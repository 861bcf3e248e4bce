#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr const char* poisoned_part = "bad0cafe";
constexpr const char* shared_part = "5c1e07a2";
/// Crashes after which requests with the part have to be recognised, and those
/// that may reach servers afterwards.
constexpr int recognised_crashes = 5;
constexpr int allowed_requests = 3;
const std::string sound_body = event_text(1, 3);

/// How the answer of an engine that crashes ends for the entry.
enum class crash_framing : std::uint8_t { chunked, connection, no_head };

/// Engines of which each crashes if it begins a request with the poisoned part.
class poisonable_engines {
  public:
    poisonable_engines(int count, crash_framing framing) : framing_(framing) {
        for (int index = 0; index < count; ++index)
            servers_.push_back(std::make_unique<scripted_server>(
                [this](const std::string& request) {
                    return answer(request);
                }));
    }

    [[nodiscard]] std::vector<std::pair<address, std::uint64_t>> list() const {
        std::vector<std::pair<address, std::uint64_t>> result;
        for (const auto& server : servers_)
            result.emplace_back(server->endpoint(), 1);
        return result;
    }
    [[nodiscard]] int poisoned_arrivals() const { return poisoned_arrivals_; }

  private:
    scripted_answer answer(const std::string& request) {
        if (request.find(poisoned_part) == std::string::npos) {
            scripted_answer sound;
            sound.delayed_bytes = framing_ == crash_framing::no_head
                                      ? make_response(200, "", sound_body)
                                      : make_event_stream(1, 3, true);
            return sound;
        }
        ++poisoned_arrivals_;
        if (framing_ == crash_framing::no_head)
            return {"", true};
        if (framing_ == crash_framing::chunked)
            return {make_event_stream(1, 0, false), true};
        return {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                "Connection: close\r\n\r\n",
                true};
    }

    crash_framing framing_;
    std::atomic<int> poisoned_arrivals_{0};
    std::vector<std::unique_ptr<scripted_server>> servers_;
};

http_fields make_prompt(int number, const std::string& middle) {
    return {{"X-Request-Id", fmt::format("r{}", number)},
            {"X-Prompt-Prefix",
             fmt::format("{}:40,{}e{:04x}:250", shared_part, middle, number)}};
}

} // namespace

TEST_CASE("poisoned prompts - requests with a part that crashes engines stop "
          "reaching them, sound ones with the same other parts are served") {
    const crash_framing framing =
        GENERATE(crash_framing::chunked, crash_framing::connection,
                 crash_framing::no_head);
    gateway_fixture fixture;
    poisonable_engines engines(12, framing);
    fixture.add_engine_route(true, framing == crash_framing::no_head
                                       ? request_kind::idempotent
                                       : request_kind::streaming);
    fixture.add_engines(engines.list());
    std::vector<http_fields> requests;
    std::vector<bool> is_poisoned;
    for (int number = 0; number < 60; ++number) {
        is_poisoned.push_back(number % 3 == 2);
        requests.push_back(make_prompt(
            number,
            is_poisoned.back() ? fmt::format("{}:100,", poisoned_part) : ""));
    }
    const auto results = fixture.send_requests(requests);
    for (std::size_t number = 0; number < results.size(); ++number) {
        CAPTURE(number);
        if (!is_poisoned[number])
            CHECK(results[number].response.body == sound_body);
    }
    CHECK(engines.poisoned_arrivals() <= recognised_crashes + allowed_requests);
    // A request that is refused has not run and says when to come back.
    CHECK(results.back().response.status == 503);
    CHECK(find_field(results.back().response.fields, "Retry-After") != nullptr);
}
