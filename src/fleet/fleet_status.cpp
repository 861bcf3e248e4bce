#include <ospreystage/fleet/fleet_status.hpp>

#include <set>

namespace ospreystage {

namespace {

constexpr milliseconds observe_interval{250};

std::set<std::string> vms_of(const rollout_document& document) {
    std::set<std::string> vms;
    for (const service& entry : document.services)
        vms.insert(entry.vms.begin(), entry.vms.end());
    return vms;
}

} // namespace

fleet_status::fleet_status(kernel& core)
    : members_(core.find<membership_service>("membership")) {
    core.every("fleet_status", observe_interval, [this] { observe(); });
}

nlohmann::json fleet_status::describe(const rollout_document* document) const {
    const instant now = steady::now();
    std::set<std::string> missing;
    if (document != nullptr)
        missing = vms_of(*document);
    nlohmann::json vms = nlohmann::json::array();
    for (const member& value : members_.members()) {
        missing.erase(value.vm);
        const auto found = observations_.find(value.id.name);
        const auto age = found == observations_.end()
                             ? milliseconds(0)
                             : std::chrono::duration_cast<milliseconds>(
                                   now - found->second.since);
        vms.push_back(
            {{"vm", value.vm},
             {"process", to_string(value.id)},
             {"role", value.role == process_role::entry ? "entry" : "agent"},
             {"data_centre", value.data_centre},
             {"state", to_string(value.state)},
             {"listed_leaving", value.listed_leaving},
             {"in_force", value.in_force},
             {"in_force_for_ms", age.count()}});
    }
    return {{"vms", vms}, {"missing", missing}};
}

nlohmann::json fleet_status::dump() const {
    return {{"observed", observations_.size()}};
}

void fleet_status::observe() {
    const instant now = steady::now();
    for (const member& value : members_.members()) {
        observation& seen = observations_[value.id.name];
        if (seen.process == value.id && seen.in_force == value.in_force)
            continue;
        seen = {value.id, value.in_force, now};
    }
}

} // namespace ospreystage
