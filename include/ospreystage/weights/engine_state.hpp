#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/core/ids.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// What a model engine says of itself.
struct engine_state {
    std::uint64_t fence = 0; ///< Highest fencing number seen, if it checks.
    std::string role;
    std::set<digest> held;    ///< Versions that can answer.
    std::set<digest> loading; ///< Versions being loaded.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    milliseconds age{}; ///< Age of `running` and `queued`.
};

/// Decodes the engine's JSON state.
[[nodiscard]] leaf::result<engine_state>
parse_engine_state(const std::string& json, const std::string& peer);

/// Order to load a version from the agent.
struct load_version {
    digest version;
    friend bool operator==(const load_version&, const load_version&) = default;
};

/// Order to drop a version.
struct drop_version {
    digest version;
    friend bool operator==(const drop_version&, const drop_version&) = default;
};

using engine_order = std::variant<load_version, drop_version>;

/// What the engine should hold, as far as this VM is concerned.
struct engine_target {
    std::vector<digest> requested; ///< From the document, by priority.
    std::set<digest> complete;     ///< Whole in the agent's chunk store.
    std::set<digest> in_use;       ///< Versions that running attempts use.
};

/// Compares state and target; the orders are repeated until nothing differs.
///
/// Loads what is requested and complete; drops what is held, not requested and
/// not in use. A version is dropped only after every complete requested version
/// is held, so that the old one answers until the new one does.
[[nodiscard]] std::vector<engine_order> reconcile(const engine_state& state,
                                                  const engine_target& target);

} // namespace ospreystage
