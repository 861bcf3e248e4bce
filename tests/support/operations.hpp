#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <nlohmann/json.hpp>
#include <tests/support/fleet.hpp>

#include <string>
#include <vector>

namespace ospreystage::support {

/// Name of the engine service of `basic_rollout`.
inline constexpr const char* engine_service_name = "desk-llm";

/// Name of the plain service of `basic_rollout`.
inline constexpr const char* plain_service_name = "counter-status";

/// Route of the plain service that must run at most once.
inline constexpr const char* plain_non_idempotent_route = "/sanctions";

/// Returns a document with one engine service on all engine VMs that should
/// have `versions`, one plain service on the others, ten organisations and
/// two classes. The last version gets all traffic.
[[nodiscard]] rollout_document
basic_rollout(const fleet& system, const std::vector<digest>& versions);

/// Submits a document at an entry until it is accepted or rejected.
///
/// Returns the last answer's body; `result` is `accepted` if it succeeded.
nlohmann::json submit_rollout(fleet& system, const std::string& entry,
                              const rollout_document& document,
                              const std::string& operation_id);

/// Returns how many engines hold `version`.
[[nodiscard]] std::size_t live_replicas(const fleet& system,
                                        const digest& version);

/// Waits until `count` engines hold `version`.
[[nodiscard]] bool await_live(const fleet& system, const digest& version,
                              std::size_t count, milliseconds timeout);

/// Returns the copies of `version` that were read from the origin.
[[nodiscard]] double origin_copies(const fleet& system, const digest& version);

/// Returns the state dump of a process.
[[nodiscard]] nlohmann::json dump_of(const fleet& system,
                                     const std::string& name);

} // namespace ospreystage::support
