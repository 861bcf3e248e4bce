#include <tests/bench/quickstart.hpp>
#include <tests/support/load.hpp>
#include <tests/support/operations.hpp>

#include <iostream>
#include <thread>

namespace ospreystage::bench {

namespace {

using namespace support;

constexpr std::size_t engine_vms = 8;
constexpr std::size_t plain_vms = 2;
constexpr std::uint64_t weights_bytes = 32ULL * 1024 * 1024;
constexpr std::uint32_t chunk_bytes = 512 * 1024;
constexpr seconds live_limit{60};
constexpr seconds load_time{5};

fleet_options quickstart_options() {
    fleet_options options;
    options.data_centres = 3;
    options.entries = 3;
    options.agents = engine_vms;
    options.plain_agents = plain_vms;
    return options;
}

/// Accepts a rollout of `version` and waits until every engine holds it;
/// returns the time that took, or nothing.
std::optional<std::chrono::duration<double>>
roll_out(fleet& system, const rollout_document& document, const digest& version,
         const std::string& operation) {
    const instant begun = steady::now();
    const auto answer = submit_rollout(system, "entry-1", document, operation);
    if (answer.value("result", "") != "accepted") {
        std::cerr << "rollout not accepted: " << answer.dump() << '\n';
        return std::nullopt;
    }
    if (!await_live(system, version, engine_vms, live_limit)) {
        std::cerr << "only " << live_replicas(system, version)
                  << " replicas live\n";
        return std::nullopt;
    }
    return steady::now() - begun;
}

int run_quickstart() {
    fleet system(quickstart_options());
    if (!system.start()) {
        std::cerr << system.problem() << '\n';
        return 1;
    }
    std::cerr << "fleet is up; rolling out the first version\n";
    const auto first =
        system.publish({"desk-llm", weights_bytes, chunk_bytes, 1});
    if (!roll_out(system, basic_rollout(system, {first.version}), first.version,
                  "quickstart-1"))
        return 1;
    caller client(system.entry_urls(), {{first.version, first.weights_digest}});
    load_options options;
    options.plain_percent = 25;
    load callers(system, client, options);
    callers.start();
    std::cerr << "callers run; rolling out the second version\n";
    const auto second =
        system.publish({"desk-llm", weights_bytes, chunk_bytes, 2});
    client.add_version(second.version, second.weights_digest);
    rollout_document next = basic_rollout(system, {second.version});
    next.based_on = 1;
    const instant begun = steady::now();
    const auto live = roll_out(system, next, second.version, "quickstart-2");
    if (!live)
        return 1;
    std::this_thread::sleep_until(begun + load_time);
    const load_summary summary = callers.finish();
    nlohmann::json line = to_json(summary);
    line["replicas"] = live_replicas(system, second.version);
    line["live_seconds"] = live->count();
    line["origin_copies"] = origin_copies(system, second.version);
    std::cout << line.dump() << std::endl;
    return summary.is_clean() ? 0 : 1;
}

} // namespace

void add_quickstart(CLI::App& app, int& status) {
    app.add_subcommand("quickstart", "Run the whole path in separate processes")
        ->callback([&status] { status = run_quickstart(); });
}

} // namespace ospreystage::bench
