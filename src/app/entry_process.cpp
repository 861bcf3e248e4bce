#include <ospreystage/app/admin_api.hpp>
#include <ospreystage/app/commands.hpp>
#include <ospreystage/app/process.hpp>
#include <ospreystage/core/log.hpp>
#include <ospreystage/fleet/fleet_status.hpp>
#include <ospreystage/fleet/membership_service.hpp>
#include <ospreystage/requests/caller_api.hpp>
#include <ospreystage/requests/claim_service.hpp>
#include <ospreystage/requests/request_service.hpp>
#include <ospreystage/rollout/configuration.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace ospreystage {

namespace {

bool is_witness(const settings& values) {
    const auto& witnesses = values.cluster.witnesses;
    return std::any_of(witnesses.begin(), witnesses.end(),
                       [&](const witness_settings& witness) {
                           return witness.name == values.process.name;
                       });
}

/// Returns the URLs of live entries that accept new requests.
std::vector<std::string> entry_urls(const membership_service& members) {
    std::vector<std::string> urls;
    for (const member& value : members.alive(process_role::entry))
        urls.push_back(fmt::format("http://{}", to_string(value.http)));
    return urls;
}

/// Adds the services of an entry, dependencies first.
void add_services(process& self, const settings& values,
                  request_service::callback to_caller) {
    kernel& core = self.core();
    auto& members = core.add(
        "membership",
        std::make_unique<membership_service>(core, values, self.link_layer()));
    auto& config = core.add("configuration",
                            std::make_unique<configuration>(
                                core, values, self.link_layer(), members));
    core.add("fleet_status", std::make_unique<fleet_status>(core));
    auto& requests = core.add(
        "requests",
        std::make_unique<request_service>(core, values, std::move(to_caller)));
    requests.start();
    members.on_change([&members, &requests](const member&) {
        std::vector<std::string> entries;
        for (const member& value : members.alive(process_role::entry))
            entries.push_back(value.id.name);
        requests.set_entries(std::move(entries));
        requests.set_agents(members.alive(process_role::agent));
    });
    config.on_in_force(
        [&](const auto& document) { requests.set_document(document); });
    members.on_superseded([&self](const process_id& by) {
        self.stop_now("replaced by " + to_string(by));
    });
    if (is_witness(values)) {
        auto& claims =
            core.add("claims", std::make_unique<claim_service>(core, values));
        claims.start();
        config.on_nothing_accepted([&claims] { claims.skip_recovery(); });
    }
}

caller_api::dependencies caller_dependencies(kernel& core) {
    caller_api::dependencies needs;
    needs.entries = [&core] {
        return entry_urls(core.find<membership_service>("membership"));
    };
    needs.begin = [&core](request_id id, incoming_request incoming) {
        core.find<request_service>("requests").begin(id, std::move(incoming));
    };
    needs.cancel = [&core](request_id id) {
        core.find<request_service>("requests").cancel(id);
    };
    return needs;
}

} // namespace

exit_code run_entry(const settings& values) {
    process self(values);
    kernel& core = self.core();
    caller_api callers(core, values, self.http(), self.process_metrics(),
                       caller_dependencies(core));
    add_services(self, values,
                 [&callers](request_id id, const exchange_event& event) {
                     callers.deliver(id, event);
                 });
    admin_api admin(values, core, core.find<configuration>("configuration"));
    admin.add_routes(self.http());
    self.process_metrics().gauge("ospreystage_requests_open", [&callers] {
        return static_cast<double>(callers.size());
    });
    self.on_stop(
        [&core] {
            core.find<membership_service>("membership").set_leaving();
            core.find<request_service>("requests").set_leaving();
        },
        [&core, &callers] {
            return callers.size() == 0 &&
                   core.find<request_service>("requests").idle();
        });
    self.on_kernel_stopped([&callers] { callers.abandon_all(); });
    return self.run();
}

} // namespace ospreystage
