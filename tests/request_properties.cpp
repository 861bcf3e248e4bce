#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <tests/support/request_cluster.hpp>

using namespace ospreystage;
using support::request_cluster;
using support::request_faults;
using support::request_report;

namespace {

constexpr std::uint32_t steps_per_schedule = 1500;

/// Runs schedules with seeds 1 to `count` and returns the sum of their
/// reports.
request_report run_schedules(std::uint64_t count, request_faults faults) {
    request_report total;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        request_cluster cluster(seed, faults);
        const request_report report = cluster.run(steps_per_schedule);
        for (const std::string& violation : report.violations)
            FAIL_CHECK("seed " << seed << ": " << violation);
        total.begun += report.begun;
        total.answered += report.answered;
        total.not_run += report.not_run;
        total.unknown += report.unknown;
        total.lost_with_entry += report.lost_with_entry;
        total.runs += report.runs;
        total.keyed_runs += report.keyed_runs;
    }
    WARN(fmt::format("{} schedules: {} begun, {} answered, {} not-run, "
                     "{} unknown, {} lost with their entry, {} runs, "
                     "{} runs of keys",
                     count, total.begun, total.answered, total.not_run,
                     total.unknown, total.lost_with_entry, total.runs,
                     total.keyed_runs));
    return total;
}

} // namespace

TEST_CASE("requests - without faults every first request is answered") {
    const request_report report = run_schedules(100, {});
    CHECK(report.answered > report.begun / 2);
}

TEST_CASE("requests - outcomes are correct when links break") {
    request_faults faults;
    faults.link_breaks = 20;
    faults.time_jumps = 1;
    run_schedules(300, faults);
}

TEST_CASE("requests - outcomes are correct when agents restart") {
    request_faults faults;
    faults.agent_restarts = 8;
    faults.link_breaks = 10;
    faults.back_end_failures = 20;
    run_schedules(300, faults);
}

TEST_CASE("requests - restarted witnesses grant no key twice") {
    request_faults faults;
    faults.witness_restarts = 3;
    faults.claim_drops = 10;
    faults.entry_restarts = 1;
    run_schedules(300, faults);
}

TEST_CASE("requests - changed versions are never mixed") {
    request_faults faults;
    faults.version_changes = 20;
    faults.wrong_versions = 50;
    faults.back_end_failures = 20;
    faults.link_breaks = 5;
    run_schedules(300, faults);
}

TEST_CASE("requests - all faults together violate no guarantee") {
    request_faults faults;
    faults.link_breaks = 8;
    faults.agent_restarts = 3;
    faults.entry_restarts = 1;
    faults.witness_restarts = 1;
    faults.claim_drops = 5;
    faults.back_end_failures = 10;
    faults.wrong_versions = 10;
    faults.version_changes = 5;
    faults.pauses = 3;
    faults.time_jumps = 2;
    run_schedules(700, faults);
}
