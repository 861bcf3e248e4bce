#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <ospreystage/core/stable_hash.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr const char* poisoned_part = "bad0cafe";
constexpr const char* shared_part = "5c1e07a2";
/// Five crashes until the part has to be recognised, three requests afterwards.
constexpr int allowed_arrivals = 8;

/// Engines that answer requests with the poisoned part by a given script.
class engines_with_fault {
  public:
    engines_with_fault(int count, scripted_answer crash,
                       scripted_answer sound =
                           {.bytes = "",
                            .delayed_bytes = make_event_stream(1, 3, true)})
        : crash_(std::move(crash)), sound_(std::move(sound)) {
        for (int index = 0; index < count; ++index)
            servers_.push_back(std::make_unique<scripted_server>(
                [this](const std::string& request) {
                    if (request.find(poisoned_part) == std::string::npos)
                        return sound_;
                    ++arrivals_;
                    return crash_;
                }));
    }
    [[nodiscard]] std::vector<std::pair<address, std::uint64_t>> list() const {
        std::vector<std::pair<address, std::uint64_t>> result;
        for (const auto& server : servers_)
            result.emplace_back(server->endpoint(), 1);
        return result;
    }
    [[nodiscard]] int arrivals() const { return arrivals_; }

  private:
    scripted_answer crash_;
    scripted_answer sound_;
    std::atomic<int> arrivals_{0};
    std::vector<std::unique_ptr<scripted_server>> servers_;
};

/// A stream with neither a length nor chunks.
std::string make_unframed_stream(int first, int last) {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           "X-Server-Stamp: s\r\nConnection: close\r\n\r\n" +
           event_text(first, last);
}

http_fields make_prompt(int number, const std::string& middle) {
    return {{"X-Request-Id", fmt::format("r{}", number)},
            {"X-Prompt-Prefix",
             fmt::format("{}:40,{}e{:04x}:250", shared_part, middle, number)}};
}

/// Sends 60 requests, every third with the poisoned part; returns the number
/// of those that reached engines.
int poisoned_arrivals(const scripted_answer& crash) {
    gateway_fixture fixture;
    engines_with_fault engines(12, crash);
    fixture.add_engine_route(true);
    fixture.add_engines(engines.list());
    std::vector<http_fields> requests;
    requests.reserve(60);
    for (int number = 0; number < 60; ++number)
        requests.push_back(make_prompt(
            number,
            number % 3 == 2 ? fmt::format("{}:100,", poisoned_part) : ""));
    fixture.send_requests(requests);
    return engines.arrivals();
}

/// Quarantines of several entries whose reports all arrive.
class quarantine_fleet {
  public:
    explicit quarantine_fleet(std::size_t count, bool has_prober = false) {
        for (std::size_t index = 0; index < count; ++index) {
            prompt_quarantine::options options;
            options.is_prober = [has_prober, index](prompt_part) {
                return has_prober && index == 0;
            };
            entries.emplace_back(options, index + 1);
        }
    }
    /// Passes time in steps of 50 ms; summaries go to all every 500 ms.
    void pass(milliseconds span) {
        for (milliseconds spent{0}; spent < span; spent += milliseconds(50)) {
            now += milliseconds(50);
            const bool has_summary = ++steps_ % 10 == 0;
            for (std::size_t from = 0; from < entries.size(); ++from) {
                deliver(from, entries[from].take_report(now));
                if (has_summary)
                    deliver(from, entries[from].take_summary(now));
            }
        }
    }

    std::deque<prompt_quarantine> entries;
    instant now = instant{} + seconds(1000);
    int sound_reports = 0;

  private:
    void deliver(std::size_t from, const std::optional<prompt_report>& report) {
        if (!report)
            return;
        sound_reports += static_cast<int>(report->sound.size());
        for (std::size_t to = 0; to < entries.size(); ++to)
            if (to != from)
                entries[to].on_report(*report, now);
    }
    int steps_ = 0;
};

constexpr prompt_part part_s = 11;

} // namespace

TEST_CASE("crash evidence - a stream without framing that ends before an event "
          "counts as a crash") {
    CHECK(poisoned_arrivals({make_unframed_stream(1, 0), true}) <=
          allowed_arrivals);
}

TEST_CASE("crash evidence - a stream without framing that ends after one event "
          "counts as a crash") {
    CHECK(poisoned_arrivals({make_unframed_stream(1, 1), true}) <=
          allowed_arrivals);
}

TEST_CASE("crash evidence - a stream without framing that ends inside an event "
          "counts as a crash") {
    CHECK(poisoned_arrivals({make_unframed_stream(1, 1) + "id: 2\ndata:",
                             true}) <= allowed_arrivals);
}

TEST_CASE(
    "crash evidence - an engine that crashes before the head is recognised") {
    CHECK(poisoned_arrivals({"", true}) <= allowed_arrivals);
}

TEST_CASE(
    "crash evidence - an engine that crashes after two events is recognised") {
    CHECK(poisoned_arrivals({make_event_stream(1, 2, false), true}) <=
          allowed_arrivals);
}

TEST_CASE(
    "crash evidence - an engine that resets its connections is recognised") {
    scripted_answer crash{make_event_stream(1, 0, false)};
    crash.resets = true;
    CHECK(poisoned_arrivals(crash) <= allowed_arrivals);
}

TEST_CASE("crash evidence - a short answer without framing does not clear a "
          "part that crashes engines") {
    // Four of ten answers without framing, as with a fault of the workers.
    gateway_fixture fixture;
    std::atomic<int> arrivals{0};
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<std::pair<address, std::uint64_t>> listed;
    for (int index = 0; index < 12; ++index) {
        servers.push_back(
            std::make_unique<scripted_server>([&](const std::string& request) {
                if (request.find(poisoned_part) == std::string::npos)
                    return scripted_answer{.bytes = "",
                                           .delayed_bytes =
                                               make_event_stream(1, 3, true)};
                const bool is_unframed = ++arrivals % 5 < 2;
                return is_unframed
                           ? scripted_answer{make_unframed_stream(1, 1), true}
                           : scripted_answer{make_event_stream(1, 1, false),
                                             true};
            }));
        listed.emplace_back(servers.back()->endpoint(), 1);
    }
    fixture.add_engine_route(true);
    fixture.add_engines(listed);
    std::vector<http_fields> requests;
    requests.reserve(60);
    for (int number = 0; number < 60; ++number)
        requests.push_back(make_prompt(
            number,
            number % 3 == 2 ? fmt::format("{}:100,", poisoned_part) : ""));
    fixture.send_requests(requests);
    CHECK(arrivals <= allowed_arrivals);
}

TEST_CASE("prompt quarantine - answers after a first crash are reported to the "
          "other entries") {
    quarantine_fleet fleet(2);
    const std::vector<prompt_part> common{part_s};
    // Entry 0 answers the part all the time, entry 1 never has a request.
    fleet.entries[0].on_answered(common, fleet.now, fleet.now);
    std::uint64_t number = 1;
    for (int crash = 0; crash < 5; ++crash) {
        // A crash every 20 s under a request with the common part.
        for (int second = 0; second < 20; ++second) {
            fleet.pass(seconds(1));
            fleet.entries[0].on_answered(common, fleet.now, fleet.now);
        }
        fleet.entries[0].on_crash(number, number, {part_s, 100 + number},
                                  fleet.now);
        ++number;
    }
    fleet.pass(seconds(2));
    CHECK(fleet.sound_reports >= 5);
    CHECK_FALSE(fleet.entries[0].is_quarantined(common));
    CHECK_FALSE(fleet.entries[1].is_quarantined(common));
}

TEST_CASE("prompt quarantine - a probe that is answered ends the quarantine "
          "everywhere") {
    quarantine_fleet fleet(8, true);
    const std::vector<prompt_part> parts{part_s};
    for (std::uint64_t number = 1; number <= 3; ++number) {
        fleet.entries[number].on_crash(number, number, parts, fleet.now);
        fleet.pass(seconds(1));
    }
    for (const prompt_quarantine& entry : fleet.entries)
        REQUIRE(entry.is_quarantined(parts));
    fleet.pass(seconds(30));
    REQUIRE(fleet.entries[0].admit(parts, fleet.now) == prompt_verdict::probe);
    fleet.pass(milliseconds(600));
    fleet.entries[0].on_answered(parts, fleet.now - milliseconds(500),
                                 fleet.now);
    CHECK_FALSE(fleet.entries[0].is_quarantined(parts));
    // The entry goes on answering requests with the part.
    for (int second = 0; second < 30; ++second) {
        fleet.pass(seconds(1));
        fleet.entries[0].on_answered(parts, fleet.now, fleet.now);
    }
    int still = 0;
    for (const prompt_quarantine& entry : fleet.entries)
        still += entry.is_quarantined(parts) ? 1 : 0;
    CHECK(still == 0);
}

TEST_CASE("prompt quarantine - of two parts with the same crashes the first "
          "one is served") {
    // Before any answer on the first part, as after a restart of all entries.
    int wrong = 0;
    int missed = 0;
    for (prompt_part first = 1; first <= 20; ++first) {
        quarantine_fleet fleet(2);
        const prompt_part poisoned = 10;
        if (first == poisoned)
            continue;
        for (std::uint64_t number = 1; number <= 5; ++number) {
            fleet.entries[0].on_crash(number, number, {first, poisoned},
                                      fleet.now);
            fleet.pass(seconds(1));
        }
        wrong += fleet.entries[0].is_quarantined({first}) ? 1 : 0;
        missed += fleet.entries[0].is_quarantined({poisoned}) ? 0 : 1;
    }
    CHECK(wrong == 0);
    CHECK(missed == 0);
}

TEST_CASE("prompt quarantine - parts that callers invent do not evict a part "
          "in use") {
    quarantine_fleet fleet(1);
    // The gateway reports an answer over 0.5 s twice, with the same beginning.
    const auto answer = [&](prompt_part part) {
        const instant begun = fleet.now;
        fleet.entries[0].on_answered({part}, begun, fleet.now);
        fleet.entries[0].on_answered({part}, begun, fleet.now);
    };
    answer(part_s);
    fleet.now += milliseconds(10);
    answer(part_s);
    for (prompt_part part = 1000; part < 6000; ++part)
        answer(part);
    fleet.now += milliseconds(100);
    fleet.entries[0].on_crash(1, 1, {part_s}, fleet.now);
    fleet.pass(milliseconds(400));
    CHECK(fleet.sound_reports == 1);
}

TEST_CASE("crash evidence - a probe reaches one engine") {
    gateway_fixture fixture;
    scripted_answer refusal{testing::make_response(
        503, "X-Not-Executed: 1\r\nX-Server-Stamp: s\r\n", "full")};
    engines_with_fault engines(6, refusal);
    fixture.add_engine_route(true);
    fixture.add_engines(engines.list());
    prompt_quarantine::options options;
    options.probe_times = {milliseconds(0)};
    options.is_prober = [](prompt_part) { return true; };
    fixture.quarantine = prompt_quarantine(options, 1);
    const prompt_part part = stable_hash(std::string(poisoned_part));
    for (std::uint64_t number = 1; number <= 3; ++number)
        fixture.quarantine.on_crash(number, number, {part},
                                    steady::now() -
                                        seconds(10 - static_cast<int>(number)));
    REQUIRE(fixture.quarantine.is_quarantined({part}));
    fixture.send_requests(std::vector<http_fields>{
        make_prompt(1, fmt::format("{}:100,", poisoned_part))});
    CHECK(engines.arrivals() <= 1);
}

TEST_CASE("crash evidence - quarantined requests do not use up the retries of "
          "others") {
    gateway_fixture fixture;
    const retry_window::options limits{0.0, 2, seconds(10)};
    fixture.tested_gateway.set_retry_limits(limits);
    const prompt_part part = stable_hash(std::string(poisoned_part));
    // The part is quarantined while the request is at its engine, which
    // breaks the answer off afterwards; then a sound request needs a retry.
    std::atomic<int> sound_arrivals{0};
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<std::pair<address, std::uint64_t>> listed;
    for (int index = 0; index < 4; ++index) {
        servers.push_back(std::make_unique<
                          scripted_server>([&](const std::string& request) {
            if (request.find(poisoned_part) != std::string::npos)
                return scripted_answer{.bytes = make_event_stream(1, 0, false)};
            if (++sound_arrivals == 1)
                return scripted_answer{make_event_stream(1, 1, false), true};
            return scripted_answer{make_event_stream(2, 3, true)};
        }));
        listed.emplace_back(servers.back()->endpoint(), 1);
    }
    fixture.add_engine_route(true);
    fixture.add_engines(listed);
    fixture.core.after("test", milliseconds(200), [&] {
        for (std::uint64_t number = 1; number <= 3; ++number)
            fixture.quarantine.on_crash(
                number, number, {part},
                steady::now() - seconds(10 - static_cast<int>(number)));
    });
    const auto results = fixture.send_requests(std::vector<http_fields>{
        make_prompt(1, fmt::format("{}:100,", poisoned_part)),
        make_prompt(2, "")});
    CHECK(results.front().response.status == 502);
    CHECK(results.back().response.body == event_text(1, 3));
}

TEST_CASE(
    "crash evidence - a request that makes a part guilty is not sent again") {
    gateway_fixture fixture;
    engines_with_fault engines(6, {make_event_stream(1, 0, false), true});
    fixture.add_engine_route(true);
    fixture.add_engines(engines.list());
    const prompt_part part = stable_hash(std::string(poisoned_part));
    for (std::uint64_t number = 1; number <= 2; ++number)
        fixture.quarantine.on_crash(number, number, {part},
                                    steady::now() - seconds(40) +
                                        seconds(20) * (number - 1));
    fixture.send_requests(std::vector<http_fields>{
        make_prompt(1, fmt::format("{}:100,", poisoned_part))});
    CHECK(engines.arrivals() <= 1);
}

TEST_CASE("prompt quarantine - a part that was sound before is recognised") {
    int wrong_samples = 0;
    int missed = 0;
    for (prompt_part common = 1; common <= 20; ++common) {
        const prompt_part poisoned = 10;
        if (common == poisoned)
            continue;
        quarantine_fleet fleet(4);
        // Entry 0 answers requests with the common part, one in 100 ms.
        const auto answer = [&](const std::vector<prompt_part>& parts) {
            fleet.entries[0].on_answered(parts, fleet.now - milliseconds(500),
                                         fleet.now);
        };
        answer({common, poisoned});
        for (int step = 0; step < 100; ++step) {
            fleet.pass(milliseconds(100));
            answer({common});
            if (step < 30 && step % 2 == 0 &&
                !fleet.entries[1].is_quarantined({poisoned})) {
                const std::uint64_t number =
                    std::uint64_t{1000} + static_cast<std::uint64_t>(step);
                fleet.entries[1].on_crash(number, number, {common, poisoned},
                                          fleet.now);
            }
            for (const prompt_quarantine& entry : fleet.entries)
                wrong_samples += entry.is_quarantined({common}) ? 1 : 0;
        }
        for (const prompt_quarantine& entry : fleet.entries)
            missed += entry.is_quarantined({poisoned}) ? 0 : 1;
    }
    CHECK(missed == 0);
    // A tenth of the time of all entries.
    CHECK(wrong_samples <= 19 * 4 * 100 / 10);
}

TEST_CASE(
    "crash evidence - answers that living servers break off blame no part") {
    // Engines that go on, with idle connections, break off some answers.
    gateway_fixture fixture;
    std::atomic<int> rare_arrivals{0};
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<std::pair<address, std::uint64_t>> listed;
    for (int index = 0; index < 4; ++index) {
        servers.push_back(std::make_unique<
                          scripted_server>([&](const std::string& request) {
            if (request.find("4a4e") != std::string::npos &&
                ++rare_arrivals <= 5)
                return scripted_answer{make_event_stream(1, 1, false), true};
            return scripted_answer{
                .bytes = "", .delayed_bytes = make_event_stream(1, 3, true)};
        }));
        listed.emplace_back(servers.back()->endpoint(), 1);
    }
    fixture.add_engine_route(false);
    fixture.add_engines(listed);
    std::vector<http_fields> requests;
    requests.reserve(36);
    for (int number = 0; number < 36; ++number)
        requests.push_back(
            make_prompt(number, number % 3 == 2 ? "4a4e:100," : ""));
    const auto results = fixture.send_requests(requests);
    int refused = 0;
    for (const auto& result : results)
        refused += result.response.status == 503 ? 1 : 0;
    CHECK(refused == 0);
}

TEST_CASE("prompt quarantine - cost of a mass crash") {
    quarantine_fleet fleet(1);
    prompt_report report;
    std::uint64_t request = 1;
    const auto spent = [&](std::uint64_t servers, int suspects) {
        const auto start = steady::now();
        for (std::uint64_t server = 1; server <= servers; ++server)
            for (int index = 0; index < suspects; ++index) {
                prompt_report one;
                one.crashes.push_back(
                    {1000 * servers + server,
                     0,
                     {{request, {part_s, server % 4, 100 + request}}},
                     {}});
                ++request;
                // Sent twice.
                fleet.entries[0].on_report(one, fleet.now);
                fleet.entries[0].on_report(one, fleet.now);
            }
        return std::chrono::duration<double>(steady::now() - start).count();
    };
    const double small = spent(40, 2);
    const double large = spent(120, 8);
    WARN(fmt::format("40 x 2: {:.3f} s; 120 x 8 after it: {:.3f} s", small,
                     large));
    CHECK(small < 0.2);
}

TEST_CASE("crash evidence - a silent connection does not hide crashes") {
    // Connections may go silent for good while new ones work.
    gateway_fixture fixture;
    std::atomic<int> arrivals{0};
    std::vector<std::unique_ptr<scripted_server>> servers;
    std::vector<std::pair<address, std::uint64_t>> listed;
    for (int index = 0; index < 2; ++index) {
        servers.push_back(
            std::make_unique<scripted_server>([&](const std::string& request) {
                if (request.find("hung") != std::string::npos)
                    return scripted_answer{.bytes =
                                               make_event_stream(1, 2, false)};
                if (request.find(poisoned_part) == std::string::npos)
                    return scripted_answer{.bytes = "",
                                           .delayed_bytes =
                                               make_event_stream(1, 3, true)};
                ++arrivals;
                return scripted_answer{make_event_stream(1, 0, false), true};
            }));
        listed.emplace_back(servers.back()->endpoint(), 1);
    }
    fixture.add_engine_route(false);
    fixture.add_engines(listed);
    for (int index = 0; index < 2; ++index) {
        http_request request;
        request.method = "POST";
        request.target = "/x/1";
        request.fields = {{"Host", "a.example"},
                          {"X-Request-Id", fmt::format("hung{}", index)},
                          {"X-Request-Deadline", "5000"}};
        fixture.client.start(fixture.front_address, request, {}, {});
    }
    std::vector<http_fields> requests;
    requests.reserve(60);
    for (int number = 0; number < 60; ++number)
        requests.push_back(make_prompt(
            number,
            number % 4 == 3 ? fmt::format("{}:100,", poisoned_part) : ""));
    fixture.send_requests(requests);
    CHECK(arrivals <= allowed_arrivals);
}
