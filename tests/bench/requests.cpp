#include <tests/bench/path_costs.hpp>
#include <tests/bench/request_cases.hpp>
#include <tests/bench/requests.hpp>
#include <tests/bench/routing_comparison.hpp>

#include <iostream>
#include <memory>
#include <stdexcept>

namespace ospreystage::bench {

namespace {

struct requests_options {
    std::string only; ///< Name of the one case to run, or empty.
    int window_seconds = 20;
    std::uint64_t seed = 1;
    bool compare_routing = false;
    bool path_latency = false;
};

/// Prints the line of one case; returns true if it missed no bar.
bool run_and_print(const std::string& name, const case_options& options) {
    try {
        case_result result = run_request_case(name, options);
        result.line["missed"] = result.missed;
        std::cout << result.line.dump() << std::endl;
        return result.missed.empty();
    } catch (const std::exception& problem) {
        std::cout << nlohmann::json{{"case", name},
                                    {"seed", options.seed},
                                    {"error", problem.what()}}
                         .dump()
                  << std::endl;
        return false;
    }
}

int run_requests(const requests_options& chosen) {
    const case_options options{seconds(chosen.window_seconds), chosen.seed};
    if (chosen.compare_routing)
        return compare_routing(options) ? 0 : 1;
    if (chosen.path_latency) {
        measure_path(options);
        return 0;
    }
    bool good = true;
    for (const std::string& name : request_case_names()) {
        if (chosen.only.empty() || chosen.only == name)
            good = run_and_print(name, options) && good;
    }
    return good ? 0 : 1;
}

} // namespace

void add_requests(CLI::App& app, int& status) {
    auto* command = app.add_subcommand(
        "requests", "Load and faults against separate processes");
    auto chosen = std::make_shared<requests_options>();
    command->add_option("--case", chosen->only, "Run this case only")
        ->check(CLI::IsMember(request_case_names()));
    command->add_option("--seconds", chosen->window_seconds,
                        "Time of each case");
    command->add_option("--seed", chosen->seed, "Seed of the requests");
    command->add_flag("--compare-routing", chosen->compare_routing,
                      "Compare the routing strategies instead");
    command->add_flag("--path-latency", chosen->path_latency,
                      "Measure what the path costs instead");
    command->callback([chosen, &status] { status = run_requests(*chosen); });
}

} // namespace ospreystage::bench
