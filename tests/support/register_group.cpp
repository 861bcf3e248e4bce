#include <tests/support/register_group.hpp>

#include <variant>

namespace ospreystage::support {

std::string json_of(revision number) {
    rollout_document document;
    document.number = number;
    document.based_on = number - 1;
    document.operation_id = "op-" + std::to_string(number);
    document.accepted_by = "day shift";
    return to_json_text(document);
}

document_push push_of(const std::string& sender, revision number) {
    return {{sender, 1}, number, json_of(number), {}};
}

revision in_force(const config_register& node) {
    return node.in_force() ? node.in_force()->number : 0;
}

void register_group::add(const std::string& name, process_role role,
                         const std::vector<std::string>& witnesses,
                         std::uint64_t incarnation) {
    nodes_.insert_or_assign(name, config_register({name, incarnation}, role,
                                                  witnesses, incarnation));
    incarnations_[name] = incarnation;
    if (auto_update_peers)
        update_peers();
}

void register_group::update_peers() {
    std::vector<std::string> names;
    for (const auto& [known, node] : nodes_)
        names.push_back(known);
    for (auto& [known, node] : nodes_)
        node.set_peers(names);
}

void register_group::apply(const std::string& from,
                           const config_register::actions& actions) {
    post(from, actions);
    while (!queue_.empty()) {
        const envelope next = queue_.front();
        queue_.pop_front();
        if (nodes_.contains(next.to) && passes(next.from, next.to))
            deliver(next);
    }
}

void register_group::gossip() {
    now += milliseconds(1000);
    for (const auto& [from, source] : nodes_) {
        for (auto& [to, node] : nodes_) {
            if (from == to || !passes(from, to))
                continue;
            apply(to, node.on_revision_report({{from, incarnations_.at(from)},
                                               source.document(),
                                               source.held(),
                                               0},
                                              now));
            apply(to, node.on_in_force_elsewhere(in_force(source)));
        }
    }
    for (auto& [name, node] : nodes_)
        apply(name, node.tick(now));
}

std::size_t register_group::count_in_force(revision number) const {
    std::size_t seen = 0;
    for (const auto& [name, node] : nodes_)
        seen += in_force(node) == number ? 1U : 0U;
    return seen;
}

void register_group::post(const std::string& from,
                          const config_register::actions& actions) {
    for (const register_action& action : actions) {
        if (const auto* push = std::get_if<push_document>(&action))
            queue_.push_back({from, push->peer, push->push});
        if (const auto* request = std::get_if<request_document>(&action))
            queue_.push_back({from, request->peer, request->request});
        if (const auto* query = std::get_if<query_witness>(&action))
            send_query(from, query->witness);
    }
}

void register_group::send_query(const std::string& from,
                                const std::string& witness) {
    gossip_ping ping;
    ping.sequence = ++sequence_;
    nodes_.at(from).on_witness_queried(witness, ping.sequence);
    queue_.push_back({from, witness, ping});
}

void register_group::deliver(const envelope& next) {
    config_register& node = nodes_.at(next.to);
    if (const auto* push = std::get_if<document_push>(&next.value))
        post(next.to, node.receive(*push, now));
    if (const auto* reply = std::get_if<sync_reply>(&next.value))
        post(next.to, node.receive(*reply, now));
    if (const auto* request = std::get_if<sync_request>(&next.value))
        queue_.push_back({next.to, next.from, node.answer(*request)});
    if (const auto* ping = std::get_if<gossip_ping>(&next.value))
        queue_.push_back({next.to, next.from, answer(next.to, *ping)});
    if (const auto* ack = std::get_if<gossip_ack>(&next.value))
        post(next.to,
             node.on_revision_report(
                 {ack->sender, ack->document, ack->held, ack->sequence}, now));
}

gossip_ack register_group::answer(const std::string& name,
                                  const gossip_ping& ping) const {
    gossip_ack ack;
    ack.sender = {name, incarnations_.at(name)};
    ack.sequence = ping.sequence;
    ack.document = nodes_.at(name).document();
    ack.held = nodes_.at(name).held();
    return ack;
}

} // namespace ospreystage::support
