#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/fleet/membership_service.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <string>

namespace ospreystage {

/// Tracks the revision in force on each VM, since when, and missing VMs.
class fleet_status {
  public:
    explicit fleet_status(kernel& core);

    /// Returns the status of every member and lists the VMs of `document` (may
    /// be null) for which there is no member.
    [[nodiscard]] nlohmann::json
    describe(const rollout_document* document) const;

    [[nodiscard]] nlohmann::json dump() const;

  private:
    struct observation {
        process_id process;
        revision in_force = 0;
        instant since{};
    };

    void observe();

    membership_service& members_;
    absl::flat_hash_map<std::string, observation> observations_;
};

} // namespace ospreystage
