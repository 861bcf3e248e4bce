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

/// State reported by a model engine.
struct engine_state {
    /// Highest fencing token seen, if the engine checks them.
    std::uint64_t fence = 0;
    std::string role;
    std::set<digest> held;    ///< Versions that can serve requests.
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

/// Target state of the engine, as known to this VM.
struct engine_target {
    std::vector<digest> requested; ///< From the document, by priority.
    std::set<digest> complete;     ///< Complete in the agent's chunk store.
    std::set<digest> in_use;       ///< Versions that running attempts use.
};

/// Returns the orders that bring `state` closer to `target`; none if nothing
/// differs. They are sent again on each poll until then.
///
/// Loads what is requested and complete; drops what is held, not requested and
/// not in use. A version is dropped only after every requested version is held,
/// so that the old version serves requests until the new one can.
[[nodiscard]] std::vector<engine_order> reconcile(const engine_state& state,
                                                  const engine_target& target);

} // namespace ospreystage
