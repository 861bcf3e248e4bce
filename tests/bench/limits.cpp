#include <fmt/format.h>
#include <tests/bench/limits.hpp>
#include <tests/support/limit_site.hpp>
#include <tests/support/limit_window.hpp>

#include <algorithm>
#include <array>
#include <memory>
#include <vector>

namespace ospreystage::bench {

namespace {

using testing::limit_site;
using testing::limit_window;

struct limit_options {
    std::vector<int> entries{8, 35};
    std::vector<double> limits{0.5, 1, 5, 20};
    double demand_factor = 5;
    double loss = 0;
    int restarts = 0;
    int cuts = 0;
    std::uint64_t rounds = 20;
    std::uint64_t seed = 1;
};

struct named_strategy {
    const char* name;
    testing::limit_strategy strategy;
};

const std::array<named_strategy, 4> strategies{
    {{"whole limit each", testing::whole_limit_each{}},
     {"equal parts", testing::equal_parts{}},
     {"parts by demand", testing::parts_by_demand{}},
     {"permits", testing::permits{}}}};

void run_limits(const limit_options& options) {
    fmt::print("{:<18} {:>7} {:>6} {:>8} {:>8} {:>9} {:>7} {:>12}\n",
               "strategy", "entries", "limit", "max/span", "allowed",
               "exceeded", "served", "datagrams/s");
    for (const int entries : options.entries)
        for (const double per_second : options.limits)
            for (const named_strategy& way : strategies) {
                std::size_t highest = 0;
                std::uint64_t exceeded = 0;
                double served = 0;
                double datagrams = 0;
                for (std::uint64_t round = 0; round < options.rounds; ++round) {
                    limit_site::options site;
                    site.strategy = way.strategy;
                    site.entries = entries;
                    site.per_second = per_second;
                    site.demand = std::max(per_second * options.demand_factor,
                                           static_cast<double>(entries));
                    site.loss = options.loss;
                    site.restarts = options.restarts;
                    site.cuts = options.cuts;
                    site.seed = options.seed + round;
                    const auto result = limit_site(site).run();
                    highest = std::max(highest, result.max_arrivals);
                    if (result.max_arrivals > limit_window::allowed(per_second))
                        ++exceeded;
                    served += result.served_share;
                    datagrams += result.datagrams_per_second;
                }
                const auto rounds = static_cast<double>(options.rounds);
                fmt::print("{:<18} {:>7} {:>6} {:>8} {:>8} {:>6}/{} {:>7.2f} "
                           "{:>12.1f}\n",
                           way.name, entries, per_second, highest,
                           limit_window::allowed(per_second), exceeded,
                           options.rounds, served / rounds, datagrams / rounds);
            }
}

} // namespace

void add_limits(CLI::App& app, int& status) {
    auto options = std::make_shared<limit_options>();
    CLI::App* command =
        app.add_subcommand("limits", "ways to keep to a server's limit");
    command->add_option("--entries", options->entries);
    command->add_option("--limits", options->limits, "requests a second");
    command->add_option("--demand", options->demand_factor,
                        "demand in units of the limit");
    command->add_option("--loss", options->loss, "part of the datagrams lost");
    command->add_option("--restarts", options->restarts);
    command->add_option("--cuts", options->cuts);
    command->add_option("--rounds", options->rounds);
    command->add_option("--seed", options->seed);
    command->callback([options, &status] {
        run_limits(*options);
        status = 0;
    });
}

} // namespace ospreystage::bench
