#include <ospreystage/fleet/membership.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr std::size_t datagram_bytes = 1300;
constexpr std::size_t datagram_fixed_bytes = 80; ///< Without the lists.
constexpr std::size_t held_fixed_bytes = 20;     ///< Without the name.
constexpr std::size_t indirect_probers = 3;
constexpr std::uint64_t unreachable_probe_periods = 4; ///< Between such probes.
constexpr std::uint32_t min_suspicion_periods = 4;
constexpr int pause_intervals = 3; ///< A longer gap between ticks is a pause.
constexpr int relay_intervals = 4;
constexpr std::chrono::hours dead_retention{1};

} // namespace

membership::membership(member self, std::vector<witness_settings> witnesses,
                       milliseconds interval, std::uint64_t seed)
    : table_(std::move(self)), witnesses_(std::move(witnesses)),
      interval_(interval), random_(seed),
      next_sequence_(table_.self().id.incarnation + 1) {
    std::erase_if(witnesses_, [&](const witness_settings& witness) {
        return witness.name == table_.self().id.name;
    });
}

const member& membership::self() const noexcept {
    return table_.self();
}

std::vector<member> membership::members() const {
    return table_.live();
}

std::vector<member> membership::alive(process_role role) const {
    std::vector<member> found = table_.live();
    std::erase_if(found, [&](const member& item) {
        return item.role != role || !takes_new_work(item);
    });
    return found;
}

std::optional<address> membership::address_of(const std::string& name) const {
    if (const auto* known = table_.find(name))
        return known->value.peer;
    for (const witness_settings& witness : witnesses_) {
        if (witness.name == name)
            return witness.peer;
    }
    return std::nullopt;
}

nlohmann::json membership::dump() const {
    nlohmann::json state;
    state["members"] = nlohmann::json::array();
    for (const member& item : table_.all())
        state["members"].push_back({{"process", to_string(item.id)},
                                    {"vm", item.vm},
                                    {"data_centre", item.data_centre},
                                    {"peer", to_string(item.peer)},
                                    {"state", to_string(item.state)},
                                    {"listed_leaving", item.listed_leaving},
                                    {"in_force", item.in_force},
                                    {"counter", item.counter}});
    state["periods"] = periods_;
    state["superseded"] = superseded_;
    return state;
}

membership::actions membership::tick(instant now) {
    actions out;
    if (last_tick_ && now - *last_tick_ > pause_intervals * interval_)
        recover_from_pause(now);
    const bool first = !last_tick_;
    last_tick_ = now;
    if (first || now - period_start_ >= interval_) {
        end_period(now, out);
        begin_period(now, out);
    } else if (probe_ && !probe_->indirect &&
               now - period_start_ >= interval_ / 2) {
        probe_indirectly(out);
    }
    return out;
}

/// After a pause of this process, missing answers are no sign of failed peers.
void membership::recover_from_pause(instant now) {
    probe_.reset();
    relays_.clear();
    table_.restart_suspicion_timers(now);
}

void membership::end_period(instant now, actions& out) {
    if (probe_ && table_.suspect(probe_->name, now))
        out.emplace_back(member_changed{table_.find(probe_->name)->value});
    probe_.reset();
    const auto limit =
        interval_ * std::max(min_suspicion_periods, table_.log_size());
    for (const member& dead : table_.expire(now, limit))
        out.emplace_back(member_changed{dead});
    table_.prune_dead(now, dead_retention);
    absl::erase_if(relays_, [&](const auto& item) {
        return now - item.second.since > relay_intervals * interval_;
    });
}

void membership::begin_period(instant now, actions& out) {
    period_start_ = now;
    ++periods_;
    const auto target = next_target();
    if (target) {
        probe_ = probe_state{*target, next_sequence_, false};
        ping(table_.find(*target)->value.peer, *target, {}, out);
    }
    if (!target || periods_ % unreachable_probe_periods == 0)
        probe_unreachable(out);
}

std::optional<std::string> membership::next_target() {
    for (int round = 0; round < 2; ++round) {
        while (!probe_order_.empty()) {
            const std::string name = std::move(probe_order_.back());
            probe_order_.pop_back();
            const auto* known = table_.find(name);
            if (known != nullptr && known->value.state != member_state::dead)
                return name;
        }
        probe_order_ = table_.names(false);
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    return std::nullopt;
}

void membership::probe_indirectly(actions& out) {
    probe_->indirect = true;
    std::vector<std::string> helpers = table_.names(false);
    std::erase(helpers, probe_->name);
    std::shuffle(helpers.begin(), helpers.end(), random_);
    helpers.resize(std::min(helpers.size(), indirect_probers));
    for (const std::string& helper : helpers) {
        gossip_ping request;
        request.sequence = probe_->sequence;
        request.target = probe_->name;
        ping(table_.find(helper)->value.peer, helper, std::move(request), out);
    }
}

/// Pings a random dead member and the witnesses that are not in the table.
void membership::probe_unreachable(actions& out) {
    for (const witness_settings& witness : witnesses_) {
        if (table_.find(witness.name) == nullptr)
            ping(witness.peer, witness.name, {}, out);
    }
    const std::vector<std::string> dead = table_.names(true);
    if (dead.empty())
        return;
    const std::string& name = dead[random_() % dead.size()];
    ping(table_.find(name)->value.peer, name, {}, out);
}

membership::actions membership::receive(const address& from,
                                        const gossip_ping& ping, instant now) {
    actions out;
    if (ping.sender == table_.self().id)
        return out;
    gossip_ack answer;
    answer.sequence = ping.sequence;
    if (is_outdated(ping.sender)) {
        acknowledge(from, ping.sender, std::move(answer), out);
        return out;
    }
    merge_into(ping.members, now, out);
    out.emplace_back(revision_report{ping.sender, ping.document, ping.held, 0});
    if (ping.members.empty())
        answer_query(from, std::move(answer), out);
    else if (ping.target.empty())
        acknowledge(from, ping.sender, std::move(answer), out);
    else
        relay(from, ping, now, out);
    return out;
}

membership::actions membership::receive(const address& from,
                                        const gossip_ack& ack, instant now) {
    actions out;
    if (ack.sender == table_.self().id || is_outdated(ack.sender))
        return out;
    const std::uint32_t counter = table_.self().counter;
    merge_into(ack.members, now, out);
    out.emplace_back(
        revision_report{ack.sender, ack.document, ack.held, ack.sequence});
    if (table_.self().counter != counter)
        ping(from, ack.sender.name, {}, out); // Refute now.
    if (probe_ && ack.sequence == probe_->sequence &&
        (ack.sender.name == probe_->name || ack.target == probe_->name)) {
        table_.on_probe_answered(probe_->name);
        probe_.reset();
    }
    const auto relayed = relays_.find(ack.sequence);
    if (relayed == relays_.end() || relayed->second.target != ack.sender.name)
        return out;
    gossip_ack answer;
    answer.sequence = relayed->second.sequence;
    answer.target = relayed->second.target;
    acknowledge(relayed->second.requester, {}, std::move(answer), out);
    relays_.erase(relayed);
    return out;
}

membership::actions membership::query(const std::string& name) {
    actions out;
    const auto to = address_of(name);
    if (!to)
        return out;
    gossip_ping datagram;
    datagram.sequence = next_sequence_++;
    datagram.sender = table_.self().id;
    datagram.document = document_;
    datagram.held = held_;
    out.emplace_back(send_ping{*to, std::move(datagram)});
    return out;
}

membership::actions membership::merge(const std::vector<member>& received,
                                      instant now) {
    actions out;
    merge_into(received, now, out);
    return out;
}

membership::actions membership::on_vm_list(const std::vector<listed_vm>& vms,
                                           instant now) {
    actions out;
    absl::flat_hash_map<std::string, bool> leaving;
    for (const listed_vm& item : vms)
        leaving[item.vm] = item.leaving;
    for (member item : table_.all()) {
        const auto found = leaving.find(item.vm);
        if (found == leaving.end() || found->second == item.listed_leaving)
            continue;
        item.listed_leaving = found->second;
        if (item.id == table_.self().id) {
            merge_into({item}, now, out);
        } else if (table_.set_listed_leaving(item.id.name, item.listed_leaving,
                                             now)) {
            out.emplace_back(member_changed{item});
            // The member itself confirms or clears `listed_leaving`.
            ping(item.peer, item.id.name, {}, out);
        }
    }
    return out;
}

membership::actions membership::set_leaving() {
    actions out;
    if (!table_.set_leaving())
        return out;
    out.emplace_back(member_changed{table_.self()});
    std::vector<std::string> peers = table_.names(false);
    std::shuffle(peers.begin(), peers.end(), random_);
    peers.resize(std::min(peers.size(), indirect_probers));
    for (const std::string& peer : peers)
        ping(table_.find(peer)->value.peer, peer, {}, out);
    return out;
}

void membership::set_in_force(revision number) {
    table_.set_in_force(number);
}

void membership::set_revisions(revision document,
                               std::vector<held_revision> held) {
    document_ = document;
    held_ = std::move(held);
}

bool membership::is_outdated(const process_id& sender) const {
    const process_id& self = table_.self().id;
    if (sender.name == self.name)
        return sender.incarnation < self.incarnation;
    const auto* known = table_.find(sender.name);
    return known != nullptr && known->value.id.incarnation > sender.incarnation;
}

void membership::merge_into(const std::vector<member>& received, instant now,
                            actions& out) {
    for (const member& item : received) {
        const merge_outcome outcome = table_.merge(item, now);
        const bool is_self = item.id.name == table_.self().id.name;
        if (outcome == merge_outcome::superseded && !superseded_) {
            superseded_ = true;
            out.emplace_back(superseded{item.id});
        }
        if (outcome == merge_outcome::changed)
            out.emplace_back(member_changed{
                is_self ? table_.self() : table_.find(item.id.name)->value});
    }
}

void membership::ping(const address& to, const std::string& name,
                      gossip_ping datagram, actions& out) {
    if (datagram.sequence == 0)
        datagram.sequence = next_sequence_++;
    datagram.sender = table_.self().id;
    datagram.document = document_;
    datagram.held = held_;
    datagram.members = table_.select_records(member_bytes(), name);
    out.emplace_back(send_ping{to, std::move(datagram)});
}

void membership::acknowledge(const address& to, const process_id& requester,
                             gossip_ack datagram, actions& out) {
    datagram.sender = table_.self().id;
    datagram.document = document_;
    datagram.held = held_;
    datagram.members = table_.select_records(member_bytes(), requester.name);
    out.emplace_back(send_ack{to, std::move(datagram)});
}

/// Omits the members: many processes may query one witness at once.
void membership::answer_query(const address& to, gossip_ack datagram,
                              actions& out) {
    datagram.sender = table_.self().id;
    datagram.document = document_;
    datagram.held = held_;
    out.emplace_back(send_ack{to, std::move(datagram)});
}

void membership::relay(const address& from, const gossip_ping& request,
                       instant now, actions& out) {
    const auto* target = table_.find(request.target);
    if (target == nullptr)
        return;
    relays_[next_sequence_] = {from, request.sequence, request.target, now};
    gossip_ping probe;
    probe.on_behalf_of = request.sender;
    ping(target->value.peer, request.target, std::move(probe), out);
}

std::size_t membership::member_bytes() const {
    std::size_t used = datagram_fixed_bytes;
    for (const held_revision& item : held_)
        used += held_fixed_bytes + item.witness.name.size();
    used += 2 * table_.self().id.name.size();
    return used < datagram_bytes ? datagram_bytes - used : 0;
}

bool takes_new_work(const member& value) noexcept {
    return value.state == member_state::alive && !value.listed_leaving;
}

const char* to_string(member_state state) noexcept {
    switch (state) {
    case member_state::alive:
        return "alive";
    case member_state::suspect:
        return "suspect";
    case member_state::leaving:
        return "leaving";
    case member_state::dead:
        return "dead";
    }
    return "unnamed";
}

} // namespace ospreystage
