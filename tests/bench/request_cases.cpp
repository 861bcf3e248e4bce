#include <fmt/format.h>
#include <tests/bench/request_cases.hpp>
#include <tests/support/load.hpp>
#include <tests/support/operations.hpp>
#include <tests/support/serving_fleet.hpp>

#include <algorithm>
#include <functional>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

namespace ospreystage::bench {

namespace {

using namespace support;

constexpr std::size_t engine_vms = 4;
constexpr std::size_t plain_vms = 2;
constexpr std::uint32_t engine_capacity = 8;
constexpr std::uint32_t plain_percent = 20;
constexpr std::size_t steady_threads = 16;
constexpr milliseconds steady_pause{50};
constexpr std::size_t burst_threads = 96;
constexpr std::size_t small_threads = 18;
constexpr milliseconds small_pause{100};
constexpr milliseconds desk_first_token{1000};

/// Time for which callers run before anything fails.
constexpr seconds calm_time{3};
constexpr seconds frozen_time{10};
constexpr seconds silent_time{6};
constexpr milliseconds caller_patience{3000};
constexpr seconds stop_limit{30};

/// Shares of requests that the product promises.
constexpr double most_refused_share = 0.01;
constexpr double least_in_class_share = 0.99;

fleet_options case_fleet() {
    fleet_options options;
    options.entries = 3;
    options.agents = engine_vms;
    options.plain_agents = plain_vms;
    options.capacity = engine_capacity;
    options.queue = 2 * engine_capacity;
    return options;
}

load_options steady_load(const case_options& options) {
    load_options out;
    out.threads = steady_threads;
    out.seed = options.seed;
    out.pause = steady_pause;
    out.plain_percent = plain_percent;
    out.first_token_target = desk_first_token;
    return out;
}

load_options entry_fault_load(const case_options& options) {
    load_options out = steady_load(options);
    out.repeats.after_dead_connection = true;
    out.repeats.patience = caller_patience;
    return out;
}

/// Figures of `summary`, and the bars that hold in every case.
case_result judge(const std::string& name, const case_options& options,
                  const load_summary& summary) {
    case_result out;
    out.line = to_json(summary);
    out.line["case"] = name;
    out.line["seed"] = options.seed;
    out.line["seconds"] = options.window.count();
    const std::map<std::string, std::uint64_t> counts = {
        {"lost", summary.lost},
        {"doubled", summary.doubled},
        {"mixed", summary.mixed},
        {"cut", summary.cut},
        {"ran_after_not_run", summary.ran_after_not_run}};
    for (const auto& [field, count] : counts) {
        if (count != 0)
            out.missed.push_back(fmt::format("{} {}", field, count));
    }
    if (summary.served == 0)
        out.missed.emplace_back("nothing was served");
    return out;
}

/// Adds the share of calls begun from `since` on whose first try failed.
void judge_fresh(case_result& result, const load_summary& summary,
                 instant since) {
    std::uint64_t fresh = 0;
    std::uint64_t refused = 0;
    std::uint64_t refused_at_last = 0;
    for (const call_record& call : summary.calls) {
        if (call.begun < since)
            continue;
        ++fresh;
        refused += call.first_result == call_result::served ? 0 : 1;
        refused_at_last += call.result == call_result::served ? 0 : 1;
    }
    const double share =
        fresh == 0 ? 1.0
                   : static_cast<double>(refused) / static_cast<double>(fresh);
    result.line["fresh"] = fresh;
    result.line["fresh_refused"] = refused;
    result.line["fresh_refused_after_repeats"] = refused_at_last;
    result.line["fresh_refused_share"] = share;
    if (share > most_refused_share)
        result.missed.push_back(fmt::format("fresh_refused_share {}", share));
}

using fault = std::function<void(fleet&)>;

/// Runs a steady load, causes `happen` after a calm start, and judges.
case_result run_with_fault(const std::string& name, const case_options& options,
                           const load_options& requests, const fault& happen) {
    serving_fleet running(case_fleet());
    load callers(running.system(), running.client(), requests);
    const instant end = steady::now() + options.window + calm_time;
    callers.start();
    std::this_thread::sleep_for(calm_time);
    const instant failed = steady::now();
    happen(running.system());
    std::this_thread::sleep_until(end);
    const load_summary summary = callers.finish();
    case_result result = judge(name, options, summary);
    if (name == "agent-killed")
        judge_fresh(result, summary, failed);
    return result;
}

void stall(fleet& system, const std::string& name, seconds time) {
    system.freeze(name);
    std::this_thread::sleep_for(time);
    system.thaw(name);
}

/// Stops and restarts every agent, one after another.
void replace_agents(fleet& system) {
    for (const std::string& name : system.agent_names()) {
        system.terminate(name);
        if (!system.process(name).wait(stop_limit))
            throw std::runtime_error(name + " does not stop");
        if (!system.replace(name) || !await_serving(system, name))
            throw std::runtime_error(name + " does not serve again");
    }
}

case_result run_burst(const case_options& options) {
    serving_fleet running(case_fleet());
    load_options small = steady_load(options);
    small.threads = small_threads;
    small.pause = small_pause;
    small.plain_percent = 0;
    small.organisations.clear();
    for (int index = 1; index <= 9; ++index)
        small.organisations.push_back(fmt::format("branch-{}", index));
    load_options large = small;
    large.seed = options.seed + 1;
    large.threads = burst_threads;
    large.pause = milliseconds(0);
    large.organisations = {"head-office"};
    load small_callers(running.system(), running.client(), small);
    load large_callers(running.system(), running.client(), large);
    small_callers.start();
    std::this_thread::sleep_for(calm_time);
    large_callers.start();
    const instant burst = steady::now();
    std::this_thread::sleep_for(options.window);
    load_summary summary = small_callers.finish();
    add(summary, large_callers.finish());
    case_result result = judge("burst", options, summary);
    std::map<bool, std::pair<std::uint64_t, std::uint64_t>> counts;
    for (const call_record& call : summary.calls) {
        if (call.begun < burst)
            continue;
        auto& [sent, in_class] = counts[call.organisation == "head-office"];
        ++sent;
        in_class += call.in_class ? 1 : 0;
    }
    const auto [sent, in_class] = counts[false];
    const double share =
        sent == 0 ? 0.0
                  : static_cast<double>(in_class) / static_cast<double>(sent);
    result.line["small_sent"] = sent;
    result.line["small_in_class"] = in_class;
    result.line["small_in_class_share"] = share;
    result.line["large_sent"] = counts[true].first;
    result.line["large_in_class"] = counts[true].second;
    if (share < least_in_class_share)
        result.missed.push_back(fmt::format("small_in_class_share {}", share));
    return result;
}

using case_runner = std::function<case_result(const case_options&)>;

const std::vector<std::pair<std::string, case_runner>>& all_cases() {
    static const std::vector<std::pair<std::string, case_runner>> cases = {
        {"steady",
         [](const case_options& options) {
             return run_with_fault("steady", options, steady_load(options),
                                   [](fleet&) {});
         }},
        {"agent-killed",
         [](const case_options& options) {
             return run_with_fault("agent-killed", options,
                                   steady_load(options),
                                   [](fleet& system) { system.kill("vm-2"); });
         }},
        {"entry-killed",
         [](const case_options& options) {
             return run_with_fault(
                 "entry-killed", options, entry_fault_load(options),
                 [](fleet& system) { system.kill("entry-2"); });
         }},
        {"entry-frozen",
         [](const case_options& options) {
             return run_with_fault(
                 "entry-frozen", options, entry_fault_load(options),
                 [](fleet& system) { stall(system, "entry-2", frozen_time); });
         }},
        {"connections-silenced",
         [](const case_options& options) {
             return run_with_fault(
                 "connections-silenced", options, steady_load(options),
                 [](fleet& system) { stall(system, "vm-2", silent_time); });
         }},
        {"rolling-replacement",
         [](const case_options& options) {
             return run_with_fault("rolling-replacement", options,
                                   steady_load(options), replace_agents);
         }},
        {"burst", run_burst},
    };
    return cases;
}

} // namespace

std::vector<std::string> request_case_names() {
    std::vector<std::string> names;
    for (const auto& [name, run] : all_cases())
        names.push_back(name);
    return names;
}

case_result run_request_case(const std::string& name,
                             const case_options& options) {
    for (const auto& [known, run] : all_cases()) {
        if (known == name)
            return run(options);
    }
    throw std::out_of_range("no case " + name);
}

} // namespace ospreystage::bench
