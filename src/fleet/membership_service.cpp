#include <ospreystage/core/log.hpp>
#include <ospreystage/fleet/membership_service.hpp>

#include <utility>

namespace ospreystage {

namespace {

constexpr int ticks_per_interval = 4;

member describe(const settings& configuration, const process_id& self) {
    member value;
    value.id = self;
    value.role = configuration.process.role;
    value.vm = configuration.process.vm;
    value.data_centre = configuration.process.data_centre;
    value.region = configuration.process.region;
    value.peer = configuration.listen.peer;
    value.http = configuration.listen.http;
    return value;
}

} // namespace

membership_service::membership_service(kernel& core,
                                       const settings& configuration,
                                       links& connections)
    : connections_(connections),
      detector_(describe(configuration, connections.self()),
                configuration.cluster.witnesses,
                configuration.cluster.gossip_interval,
                connections.self().incarnation) {
    connections_.on_datagram<gossip_ping>(
        [this](const address& from, const gossip_ping& ping) {
            apply(detector_.receive(from, ping, steady::now()));
        });
    connections_.on_datagram<gossip_ack>(
        [this](const address& from, const gossip_ack& ack) {
            apply(detector_.receive(from, ack, steady::now()));
        });
    connections_.set_directory(
        [this](const std::string& name) { return detector_.address_of(name); });
    core.every("membership",
               configuration.cluster.gossip_interval / ticks_per_interval,
               [this] { apply(detector_.tick(steady::now())); });
}

const member& membership_service::self() const noexcept {
    return detector_.self();
}

std::vector<member> membership_service::members() const {
    return detector_.members();
}

std::vector<member> membership_service::alive(process_role role) const {
    return detector_.alive(role);
}

nlohmann::json membership_service::dump() const {
    return detector_.dump();
}

void membership_service::on_change(change_handler handler) {
    change_handlers_.push_back(std::move(handler));
}

void membership_service::on_superseded(superseded_handler handler) {
    superseded_handlers_.push_back(std::move(handler));
}

void membership_service::on_revisions(revisions_handler handler) {
    revisions_handlers_.push_back(std::move(handler));
}

void membership_service::set_leaving() {
    apply(detector_.set_leaving());
}

void membership_service::set_in_force(revision number) {
    detector_.set_in_force(number);
}

void membership_service::set_revisions(revision document,
                                       std::vector<held_revision> held) {
    detector_.set_revisions(document, std::move(held));
}

void membership_service::merge(const std::vector<member>& received) {
    apply(detector_.merge(received, steady::now()));
}

void membership_service::on_vm_list(const std::vector<listed_vm>& vms) {
    apply(detector_.on_vm_list(vms, steady::now()));
}

std::uint64_t membership_service::query(const std::string& name) {
    const membership::actions actions = detector_.query(name);
    if (actions.empty())
        return 0;
    apply(actions);
    return std::get<send_ping>(actions.front()).datagram.sequence;
}

void membership_service::apply(const membership::actions& actions) {
    for (const membership_action& action : actions)
        std::visit([this](const auto& known) { apply(known); }, action);
}

void membership_service::apply(const send_ping& action) {
    connections_.send_datagram(action.to, action.datagram);
}

void membership_service::apply(const send_ack& action) {
    connections_.send_datagram(action.to, action.datagram);
}

void membership_service::apply(const member_changed& action) {
    log_event(log_level::debug, "member_changed",
              {{"member", to_string(action.value.id)},
               {"state", to_string(action.value.state)},
               {"listed_leaving", action.value.listed_leaving}});
    for (const auto& handler : change_handlers_)
        handler(action.value);
}

void membership_service::apply(const superseded& action) {
    log_event(log_level::warn, "superseded", {{"by", to_string(action.by)}});
    for (const auto& handler : superseded_handlers_)
        handler(action.by);
}

void membership_service::apply(const revision_report& action) {
    for (const auto& handler : revisions_handlers_)
        handler(action);
}

} // namespace ospreystage
