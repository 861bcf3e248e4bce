#include <nlohmann/json.hpp>
#include <tests/bench/capacity.hpp>
#include <tests/support/load.hpp>
#include <tests/support/process_usage.hpp>
#include <tests/support/serving_fleet.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <thread>

namespace ospreystage::bench {

namespace {

using namespace support;

constexpr std::array<std::size_t, 3> caller_counts = {6, 12, 24};
constexpr std::array<std::uint64_t, 3> token_counts = {2, 16, 64};
constexpr std::array<std::uint32_t, 2> keyed_percents = {0, 100};
constexpr milliseconds engine_step{2};

fleet_options capacity_fleet() {
    fleet_options options;
    options.entries = 3;
    options.agents = 4;
    options.capacity = 32;
    options.engine_step = engine_step;
    options.log_level = "warn";
    return options;
}

/// CPU time and memory of the product's processes, by role.
struct role_usage {
    milliseconds entries{};
    milliseconds agents{};
    std::uint64_t entry_bytes = 0; ///< Largest resident memory.
    std::uint64_t agent_bytes = 0; ///< Largest resident memory.
};

role_usage usage_by_role(fleet& system) {
    role_usage total;
    for (const fleet_member& member : system.members()) {
        const auto usage = usage_of(system.process(member.name).pid());
        if (!usage)
            continue;
        (member.agent ? total.agents : total.entries) += usage->processor;
        std::uint64_t& largest =
            member.agent ? total.agent_bytes : total.entry_bytes;
        largest = std::max(largest, usage->resident_bytes);
    }
    return total;
}

nlohmann::json measure_point(serving_fleet& running, const load_options& mix,
                             seconds window) {
    const role_usage before = usage_by_role(running.system());
    load callers(running.system(), running.client(), mix);
    callers.start();
    std::this_thread::sleep_for(window);
    const load_summary summary = callers.finish();
    const role_usage after = usage_by_role(running.system());
    const auto tokens = summary.served * mix.max_tokens;
    return {{"case", "request-cost"},
            {"callers", mix.threads},
            {"max_tokens", mix.max_tokens},
            {"keyed_percent", mix.non_idempotent_percent},
            {"seconds", window.count()},
            {"served", summary.served},
            {"tokens", tokens},
            {"clean", summary.is_clean()},
            {"entries_cpu_ms", (after.entries - before.entries).count()},
            {"agents_cpu_ms", (after.agents - before.agents).count()},
            {"entry_resident_bytes", after.entry_bytes},
            {"agent_resident_bytes", after.agent_bytes}};
}

int run_capacity(seconds window, std::uint64_t seed) {
    serving_fleet running(capacity_fleet());
    const role_usage rest = usage_by_role(running.system());
    std::this_thread::sleep_for(window);
    const role_usage rested = usage_by_role(running.system());
    std::cout << nlohmann::json{{"case", "rest"},
                                {"seconds", window.count()},
                                {"entries", 3},
                                {"agents", 4},
                                {"entries_cpu_ms",
                                 (rested.entries - rest.entries).count()},
                                {"agents_cpu_ms",
                                 (rested.agents - rest.agents).count()}}
                     .dump()
              << std::endl;
    bool clean = true;
    for (const std::uint32_t keyed : keyed_percents) {
        for (const std::uint64_t tokens : token_counts) {
            for (const std::size_t callers : caller_counts) {
                load_options mix;
                mix.threads = callers;
                mix.seed = seed++;
                mix.stream_percent = 100;
                mix.non_idempotent_percent = keyed;
                mix.max_tokens = tokens;
                const auto point = measure_point(running, mix, window);
                clean = clean && point["clean"].get<bool>();
                std::cout << point.dump() << std::endl;
            }
        }
    }
    return clean ? 0 : 1;
}

} // namespace

void add_capacity(CLI::App& app, int& status) {
    CLI::App* command = app.add_subcommand(
        "capacity", "What a request and a token cost an entry and an agent");
    const auto window = std::make_shared<std::uint32_t>(3);
    const auto seed = std::make_shared<std::uint64_t>(1);
    command->add_option("--seconds", *window, "Time of each point");
    command->add_option("--seed", *seed, "Seed of the requests");
    command->callback([window, seed, &status] {
        status = run_capacity(seconds(*window), *seed);
    });
}

} // namespace ospreystage::bench
