#include <tests/support/eventually.hpp>
#include <tests/support/operations.hpp>
#include <tests/support/serving_fleet.hpp>

#include <algorithm>
#include <stdexcept>

namespace ospreystage::support {

namespace {

constexpr std::uint64_t weights_bytes = 1024 * 1024;
constexpr std::uint32_t chunk_bytes = 64 * 1024;
constexpr seconds live_limit{30};
constexpr milliseconds poll_interval{50};

bool serves(const fleet& system, const std::string& agent) {
    const nlohmann::json state = dump_of(system, agent);
    const nlohmann::json::json_pointer path(
        "/services/attempts/state/in_force");
    return state.is_object() && state.contains(path) && state[path].get<bool>();
}

/// Returns true if the load reports of all engines that the entry has name
/// `version`, so that none of them is left out of its choice.
bool knows_replicas(const fleet& system, const std::string& entry,
                    const digest& version) {
    const nlohmann::json state = dump_of(system, entry);
    const nlohmann::json::json_pointer path("/services/requests/state/agents");
    if (!state.is_object() || !state.contains(path))
        return false;
    const auto& agents = state[path];
    return std::all_of(system.members().begin(), system.members().end(),
                       [&](const fleet_member& member) {
                           if (!member.agent)
                               return true;
                           if (!agents.contains(member.name) ||
                               !agents[member.name]["reported"].get<bool>())
                               return false;
                           const auto& versions =
                               agents[member.name]["versions"];
                           return member.backend_kind != "engine" ||
                                  std::find(versions.begin(), versions.end(),
                                            version) != versions.end();
                       });
}

} // namespace

serving_fleet::serving_fleet(const fleet_options& options) : system_(options) {
    if (!system_.start())
        throw std::runtime_error(system_.problem());
    version_ = system_.publish({"desk-llm", weights_bytes, chunk_bytes, 1});
    const auto answer =
        submit_rollout(system_, "entry-1",
                       basic_rollout(system_, {version_.version}), "bench-1");
    if (answer.value("result", "") != "accepted")
        throw std::runtime_error("rollout not accepted: " + answer.dump());
    const auto names = system_.agent_names();
    const bool serving =
        await_live(system_, version_.version, options.agents, live_limit) &&
        std::all_of(names.begin(), names.end(), [this](const auto& name) {
            return await_serving(system_, name);
        });
    bool routing = serving;
    for (const fleet_member& member : system_.members())
        routing =
            routing && (member.agent ||
                        await_replicas(system_, member.name, version_.version));
    if (!routing)
        throw std::runtime_error("the fleet does not serve");
    client_ = std::make_unique<caller>(
        system_.entry_urls(),
        std::map<digest, digest>{{version_.version, version_.weights_digest}});
}

bool await_serving(const fleet& system, const std::string& agent) {
    return eventually(
        live_limit, [&] { return serves(system, agent); }, poll_interval);
}

bool await_replicas(const fleet& system, const std::string& entry,
                    const digest& version) {
    return eventually(
        live_limit, [&] { return knows_replicas(system, entry, version); },
        poll_interval);
}

} // namespace ospreystage::support
