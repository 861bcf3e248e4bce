#include <tests/bench/routing_comparison.hpp>
#include <tests/support/load.hpp>
#include <tests/support/serving_fleet.hpp>

#include <algorithm>
#include <array>
#include <iostream>
#include <map>
#include <thread>

namespace ospreystage::bench {

namespace {

using namespace support;

constexpr std::size_t engines = 4;
constexpr std::uint32_t slots_per_engine = 4;
constexpr std::uint64_t mean_tokens = 32;
constexpr std::uint64_t steps = mean_tokens + 1; ///< One to read the prompt.
constexpr milliseconds step{9};
constexpr milliseconds load_lag{200};
constexpr std::size_t callers_count = 96;
constexpr milliseconds first_token_target{1000};
constexpr std::uint32_t judged_percent = 90;

fleet_options comparison_fleet(const std::string& routing) {
    fleet_options options;
    options.entries = 3;
    options.agents = engines;
    options.capacity = slots_per_engine;
    options.queue = 4 * slots_per_engine;
    options.engine_step = step;
    options.load_lag = load_lag;
    options.routing = routing;
    return options;
}

/// Returns the requests a second that all engines together can answer.
double capacity() {
    const std::chrono::duration<double> each = steps * step;
    return static_cast<double>(engines * slots_per_engine) / each.count();
}

/// Lengths of answers around the same mean.
struct answer_lengths {
    const char* name;
    std::uint64_t least;
    std::uint64_t most;
};

constexpr std::array<answer_lengths, 2> all_lengths = {
    {{"equal", mean_tokens, mean_tokens},
     {"varied", mean_tokens / 4, 2 * mean_tokens - mean_tokens / 4}}};

load_summary run_at(serving_fleet& running, std::uint32_t percent,
                    const answer_lengths& lengths,
                    const case_options& options) {
    load_options requests;
    requests.threads = callers_count;
    requests.seed = options.seed * 1000 + percent + lengths.least;
    requests.stream_percent = 100;
    requests.non_idempotent_percent = 0;
    requests.min_tokens = lengths.least;
    requests.max_tokens = lengths.most;
    requests.first_token_target = first_token_target;
    requests.requests_per_second = capacity() * percent / 100.0;
    load callers(running.system(), running.client(), requests);
    callers.start();
    std::this_thread::sleep_for(options.window);
    return callers.finish();
}

} // namespace

bool compare_routing(const case_options& options) {
    std::map<std::string, microseconds> judged;
    bool clean = true;
    for (const std::string routing : {"two_choice", "round_robin", "random"}) {
        serving_fleet running(comparison_fleet(routing));
        for (const answer_lengths& lengths : all_lengths) {
            for (const std::uint32_t percent : {60U, judged_percent, 120U}) {
                const load_summary summary =
                    run_at(running, percent, lengths, options);
                clean = clean && summary.is_clean();
                if (percent == judged_percent)
                    judged[routing + lengths.name] =
                        percentile(summary.first_tokens, 95);
                nlohmann::json line = to_json(summary);
                line["case"] = "routing";
                line["routing"] = routing;
                line["lengths"] = lengths.name;
                line["percent_of_capacity"] = percent;
                line["seed"] = options.seed;
                line["seconds"] = options.window.count();
                std::cout << line.dump() << std::endl;
            }
        }
    }
    return clean && std::all_of(all_lengths.begin(), all_lengths.end(),
                                [&](const answer_lengths& lengths) {
                                    const std::string name = lengths.name;
                                    return judged["two_choice" + name] <=
                                           judged["round_robin" + name];
                                });
}

} // namespace ospreystage::bench
