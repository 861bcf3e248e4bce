#include <ospreystage/weights/engine_state.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace ospreystage {

leaf::result<engine_state> parse_engine_state(const std::string& json,
                                              const std::string& peer) {
    try {
        const auto parsed = nlohmann::json::parse(json);
        engine_state state;
        state.fence = parsed.value("fence", std::uint64_t{0});
        state.role = parsed.value("role", std::string());
        state.held = parsed.value("held", std::set<digest>());
        state.loading = parsed.value("loading", std::set<digest>());
        state.running = parsed.value("running", 0U);
        state.queued = parsed.value("queued", 0U);
        state.capacity = parsed.value("capacity", 0U);
        state.age = milliseconds(parsed.value("age_ms", 0));
        return state;
    } catch (const nlohmann::json::exception& problem) {
        return fail(error_code::malformed, "engine.state", peer,
                    problem.what());
    }
}

std::vector<engine_order> reconcile(const engine_state& state,
                                    const engine_target& target) {
    std::vector<engine_order> orders;
    bool all_held = true;
    for (const digest& version : target.requested) {
        if (state.held.contains(version))
            continue;
        all_held = false;
        if (target.complete.contains(version) &&
            !state.loading.contains(version))
            orders.emplace_back(load_version{version});
    }
    if (!all_held)
        return orders;
    for (const digest& version : state.held) {
        const bool is_requested =
            std::find(target.requested.begin(), target.requested.end(),
                      version) != target.requested.end();
        if (!is_requested && !target.in_use.contains(version))
            orders.emplace_back(drop_version{version});
    }
    return orders;
}

} // namespace ospreystage
