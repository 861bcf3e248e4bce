#include <catch2/catch.hpp>
#include <tests/support/link_experiment.hpp>
#include <tests/support/simulated_link.hpp>

#include <vector>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

link_scenario scenario_of(bool has_new_version, bool is_squeezed) {
    link_scenario scenario;
    scenario.vms = 60;
    scenario.entries = 36;
    scenario.load = 0.9;
    scenario.has_new_version = has_new_version;
    scenario.squeezed_share = is_squeezed ? 0.1 : 0;
    return scenario;
}

} // namespace

TEST_CASE("link experiment - a link sends in order, at the rate that it has") {
    event_queue events;
    const instant start = events.now();
    simulated_link link(events, 1000, milliseconds(10));
    std::vector<milliseconds> arrivals;
    const auto note = [&] {
        arrivals.push_back(
            std::chrono::duration_cast<milliseconds>(events.now() - start));
    };
    link.send(100, note);
    link.send(200, note);
    // Half of the second message has left by then.
    events.at(start + milliseconds(200), [&] { link.set_rate(100); });
    events.at(start + milliseconds(700), [&] { link.set_rate(1000); });
    events.at(start + milliseconds(2000), [&] { link.send(50, note); });
    events.run_until(start + seconds(5));
    CHECK(arrivals == std::vector<milliseconds>{milliseconds(110),
                                                milliseconds(760),
                                                milliseconds(2060)});
    CHECK(link.sent_bytes() == Approx(350));
}

TEST_CASE("link experiment - the same scenario gives the same measurement") {
    const link_scenario scenario = scenario_of(true, true);
    const auto first = run_link_experiment(scenario);
    const auto second = run_link_experiment(scenario);
    CHECK(first.late_arrivals == second.late_arrivals);
    CHECK(first.answered == second.answered);
    CHECK(first.delay.at(1) == second.delay.at(1));
}

TEST_CASE("link experiment - requests reach their engines at once where links "
          "are not both narrow and in use by a version") {
    const bool has_new_version = GENERATE(false, true);
    const auto result =
        run_link_experiment(scenario_of(has_new_version, !has_new_version));
    CHECK(result.requests > 5000);
    CHECK(result.abandoned == 0);
    CHECK(result.late_arrivals == 0);
    CHECK(result.delay.at(1) < milliseconds(250));
}

// What the users saw, and the model must show: bytes that wait in a full link
// can neither be taken back nor overtaken (issue 73).
TEST_CASE("link experiment - requests that wait behind a version in narrow "
          "links arrive after their callers have left") {
    const auto result = run_link_experiment(scenario_of(true, true));
    CHECK(result.late_arrivals > 0);
    CHECK(result.delay.at(0.99) > seconds(1));
    CHECK(result.all_held > milliseconds(0));
}

TEST_CASE("link experiment - all entries get a document that changes while "
          "links are narrow") {
    link_scenario scenario = scenario_of(false, true);
    scenario.document_bytes = 100'000;
    CHECK(run_link_experiment(scenario).all_informed > milliseconds(0));
}
