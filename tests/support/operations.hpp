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

/// Route of the plain service whose requests must run at most once.
inline constexpr const char* plain_non_idempotent_route = "/sanctions";

/// Returns a document with one engine service that deploys `versions` on all
/// engine VMs, one plain service on the other VMs, ten organisations and two
/// classes. The last version gets all traffic.
[[nodiscard]] rollout_document
basic_rollout(const fleet& system, const std::vector<digest>& versions);

/// Submits a document at an entry, retrying until it is accepted or rejected
/// or the time limit has passed.
///
/// Returns the last response body; `result` is `accepted` on success.
nlohmann::json submit_rollout(fleet& system, const std::string& entry,
                              const rollout_document& document,
                              const std::string& operation_id);

/// Returns the number of engines that hold `version`.
[[nodiscard]] std::size_t live_replicas(const fleet& system,
                                        const digest& version);

/// Waits until at least `count` engines hold `version`; returns false at the
/// time-out.
[[nodiscard]] bool await_live(const fleet& system, const digest& version,
                              std::size_t count, milliseconds timeout);

/// Returns how many copies of `version` were read from the origin.
[[nodiscard]] double origin_copies(const fleet& system, const digest& version);

/// Returns the state dump of a process, or null if it cannot be read.
[[nodiscard]] nlohmann::json dump_of(const fleet& system,
                                     const std::string& name);

} // namespace ospreystage::support
