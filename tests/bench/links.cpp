#include <fmt/format.h>
#include <tests/bench/links.hpp>
#include <tests/support/link_experiment.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

namespace ospreystage::bench {

namespace {

using support::link_scenario;

/// Entries for each VM with an engine, as at the target size.
constexpr double entries_per_vm = 0.6;

struct link_options {
    std::vector<std::uint32_t> vms{20, 80, 270};
    std::vector<double> loads{0.5, 0.9};
    std::size_t document_bytes = 100'000;
    double squeezed_share = 0.1;
    double squeeze_divisor = 20;
    std::uint64_t seed = 1;
};

struct named_trouble {
    const char* name;
    bool has_new_version;
    bool has_new_document;
    bool is_squeezed;
};

constexpr std::array<named_trouble, 6> troubles{
    {{"none", false, false, false},
     {"version", true, false, false},
     {"squeeze", false, false, true},
     {"version, squeeze", true, false, true},
     {"document, squeeze", false, true, true},
     {"all", true, true, true}}};

link_scenario make_scenario(const link_options& options, std::uint32_t vms,
                            double load, const named_trouble& trouble) {
    link_scenario scenario;
    scenario.vms = vms;
    scenario.entries = static_cast<std::uint32_t>(vms * entries_per_vm);
    scenario.load = load;
    scenario.has_new_version = trouble.has_new_version;
    scenario.document_bytes =
        trouble.has_new_document ? options.document_bytes : 0;
    scenario.squeezed_share = trouble.is_squeezed ? options.squeezed_share : 0;
    scenario.squeeze_divisor = options.squeeze_divisor;
    scenario.seed = options.seed;
    return scenario;
}

void print_head() {
    fmt::print("{:>4} {:>4} {:<17} {:>8} {:>7} {:>5} {:>6} {:>5} {:>6} {:>6} "
               "{:>6} {:>7} {:>7} {:>6} {:>6} {:>5}\n",
               "vms", "load", "trouble", "requests", "refused", "left",
               "second", "late", "p50 ms", "p99 ms", "max ms", "age p99",
               "half ms", "all ms", "doc ms", "link");
}

void run_links(const link_options& options) {
    print_head();
    for (const std::uint32_t vms : options.vms)
        for (const double load : options.loads)
            for (const named_trouble& trouble : troubles) {
                const auto result = run_link_experiment(
                    make_scenario(options, vms, load, trouble));
                fmt::print(
                    "{:>4} {:>4} {:<17} {:>8} {:>7} {:>5} {:>6} {:>5} "
                    "{:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6} "
                    "{:>5.2f}\n",
                    vms, load, trouble.name, result.requests, result.refused,
                    result.abandoned, result.second_attempts,
                    result.late_arrivals, result.delay.at(0.5).count(),
                    result.delay.at(0.99).count(), result.delay.at(1).count(),
                    result.report_age.at(0.99).count(),
                    result.half_held.count(), result.all_held.count(),
                    result.all_informed.count(), result.link_share);
            }
}

} // namespace

void add_links(CLI::App& app, int& status) {
    auto options = std::make_shared<link_options>();
    CLI::App* command =
        app.add_subcommand("links", "requests beside weights on narrow links");
    command->add_option("--vms", options->vms);
    command->add_option("--loads", options->loads,
                        "parts of what the engines can serve");
    command->add_option("--document", options->document_bytes, "bytes");
    command->add_option("--squeezed", options->squeezed_share,
                        "part of the VMs whose links become narrow");
    command->add_option("--divisor", options->squeeze_divisor,
                        "of the rate of these links");
    command->add_option("--seed", options->seed);
    command->callback([options, &status] {
        run_links(*options);
        status = 0;
    });
}

} // namespace ospreystage::bench
