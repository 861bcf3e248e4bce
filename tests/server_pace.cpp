#include <ospreystage/serving/condition_reporter.hpp>
#include <ospreystage/serving/server_pace.hpp>

#include <catch2/catch.hpp>

#include <random>

using namespace ospreystage;

namespace {

const instant start = instant{} + seconds(1000);
const server_start server{"i-0", 1};
constexpr milliseconds usual_gap{50};

/// Sends one stream whose passes take `factor` times the usual.
instant stream(server_pace& pace, double factor, milliseconds length,
               instant begin) {
    attempt_pace attempt{server, begin, milliseconds(100), usual_gap};
    const auto step =
        std::chrono::duration_cast<steady::duration>(usual_gap * factor);
    instant at = begin + std::chrono::duration_cast<steady::duration>(
                             milliseconds(100) * factor);
    for (; at < begin + length; at += step)
        pace.on_event(attempt, at);
    return at;
}

} // namespace

// Guards against avoiding servers for what is over before the next request.
TEST_CASE("server pace - noise of a fraction of a second does not count") {
    int slow = 0;
    int checks = 0;
    for (unsigned seed = 1; seed <= 100; ++seed) {
        std::mt19937_64 random(seed);
        std::uniform_real_distribution<double> draw(0, 1);
        server_pace pace;
        instant noise_until = start;
        instant stated = start;
        attempt_pace attempt{server, start, {}, usual_gap};
        for (instant at = start; at < start + seconds(20);) {
            // Bursts of 300 ms for 15 % of the time.
            if (at > noise_until + milliseconds(300) && draw(random) < 0.035)
                noise_until = at + milliseconds(300);
            const double factor = at < noise_until ? 2.5 : 1;
            at += std::chrono::duration_cast<steady::duration>(usual_gap *
                                                               factor);
            pace.on_event(attempt, at);
            if (at - stated > milliseconds(80)) {
                pace.on_condition(server, factor, std::nullopt, at);
                stated = at;
            }
            slow += pace.estimate(server, at).factor >= 2 ? 1 : 0;
            ++checks;
        }
    }
    CHECK(slow * 100 < checks);
}

// Guards against servers that stay slow without being noticed.
TEST_CASE("server pace - slowness that lasts a second is noticed, by attempts "
          "or by statements") {
    server_pace measured;
    stream(measured, 4, milliseconds(1500), start);
    const auto estimate = measured.estimate(server, start + milliseconds(1500));
    CHECK(estimate.source == pace_source::attempts);
    CHECK(estimate.factor == Approx(4).epsilon(0.1));
    server_pace stated;
    stated.on_condition(server, 1, std::nullopt, start);
    stated.on_condition(server, 4, std::nullopt, start + seconds(2));
    CHECK(stated.estimate(server, start + milliseconds(2300)).factor == 1);
    CHECK(stated.estimate(server, start + milliseconds(2700)).factor == 4);
    server_pace answers;
    for (int step = 0; step < 20; ++step)
        answers.on_answer(server, 3, start + milliseconds(60) * step);
    CHECK(answers.estimate(server, start + milliseconds(1200)).factor == 3);
    CHECK(answers.estimate(server, start + milliseconds(1200)).source ==
          pace_source::answers);
}

// Guards against believing a server that appears idle because it misreports.
TEST_CASE("server pace - attempts outweigh the statement of a server") {
    server_pace pace;
    pace.on_condition(server, 1, std::nullopt, start);
    stream(pace, 5, milliseconds(2000), start);
    CHECK(pace.estimate(server, start + seconds(2)).factor > 4);
    server_pace other;
    other.on_condition(server, 5, std::nullopt, start);
    stream(other, 1, milliseconds(1500), start);
    CHECK(other.estimate(server, start + milliseconds(1500)).factor == 1);
}

// Guards against a recovered server that gets no work, and against a slow one
// that gets it from every entry at once.
TEST_CASE("server pace - a slow server gets a trial now and then, and the "
          "first one that is answered at the usual pace ends its judgement") {
    server_pace pace;
    const instant judged = stream(pace, 5, milliseconds(2000), start);
    CHECK_FALSE(pace.is_trial_due(server, 8, judged));
    const instant later = judged + seconds(2);
    CHECK(pace.is_trial_due(server, 8, later));
    CHECK_FALSE(pace.is_trial_due(server, 200, later));
    pace.on_trial(server, later);
    CHECK_FALSE(pace.is_trial_due(server, 8, later + milliseconds(500)));
    CHECK(pace.estimate(server, later).factor > 4);
    stream(pace, 1, milliseconds(700), later);
    CHECK(pace.estimate(server, later + milliseconds(700)).factor == 1);
}

// Guards against judging a new process by the one before it.
TEST_CASE("server pace - a restarted server is judged anew") {
    server_pace pace;
    stream(pace, 5, milliseconds(2000), start);
    const instant now = start + seconds(5);
    CHECK(pace.estimate(server, now).factor > 4);
    CHECK(pace.estimate({server.id, 2}, now).factor == 1);
    // The agent sees the restart before the list shows it.
    pace.on_condition(server, 1, milliseconds(200), now);
    CHECK(pace.estimate(server, now).factor == 1);
}

// Guards against a server that stays avoided once nobody reports on it.
TEST_CASE("server pace - a statement that is not repeated expires") {
    server_pace pace;
    pace.on_condition(server, 4, std::nullopt, start);
    CHECK(pace.estimate(server, start + seconds(4)).factor == 4);
    CHECK(pace.estimate(server, start + seconds(6)).factor == 1);
    pace.on_condition(server, 1, std::nullopt, start + seconds(9));
    CHECK(pace.estimate(server, start + seconds(9)).factor == 1);
}

TEST_CASE("server pace - each change of a judgement is returned once") {
    server_pace pace;
    pace.on_condition(server, 4, std::nullopt, start);
    const auto changes = pace.take_changes(start);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].is_slow);
    CHECK(pace.slow_servers() == 1);
    CHECK(pace.take_changes(start + seconds(1)).empty());
    pace.on_condition(server, 1, std::nullopt, start + seconds(2));
    CHECK(pace.take_changes(start + seconds(3)).size() == 1);
    CHECK(pace.slow_servers() == 0);
}

// Guards against agents that send a condition with every report.
TEST_CASE("condition reporter - a condition is sent when it changes, and "
          "repeated while it is not the usual one") {
    const address endpoint{"10.0.0.1", 8000};
    condition_reporter reporter(endpoint);
    CHECK_FALSE(reporter.on_report({1, 7, 3}, start));
    CHECK(reporter.on_report({1.05, 7, 3}, start));
    CHECK_FALSE(reporter.on_report({1.1, 7, 3}, start + milliseconds(80)));
    const auto slow = reporter.on_report({3, 7, 3}, start + seconds(1));
    REQUIRE(slow);
    CHECK(*slow == server_condition{endpoint, 300});
    CHECK_FALSE(reporter.on_report({3.2, 7, 3}, start + seconds(2)));
    CHECK(reporter.on_report({3.2, 7, 3}, start + seconds(3)));
    CHECK(reporter.on_report({1, 7, 3}, start + seconds(4)));
    CHECK_FALSE(reporter.on_report({1, 7, 3}, start + seconds(8)));
    // Its count of orders falls: it has restarted.
    const auto restarted = reporter.on_report({1, 7, 0}, start + seconds(9));
    REQUIRE(restarted);
    CHECK(restarted->started_ms_ago == 0);
    CHECK(reporter.on_report({1, 7, 0}, start + seconds(11))->started_ms_ago ==
          2000);
    CHECK_FALSE(reporter.on_report({1, 7, 0}, start + seconds(20)));
}
