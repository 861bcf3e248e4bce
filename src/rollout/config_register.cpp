#include <ospreystage/rollout/config_register.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace ospreystage {

namespace {

/// Number of peers to which a process forwards a new document. The set is
/// stable, so that the number of open connections does not grow.
constexpr std::size_t max_neighbours = 4;

/// Time after which an unanswered `sync_request` is retried.
constexpr milliseconds sync_retry_interval{1000};

/// Bounds of the interval between periodic exchanges, which doubles each time
/// from the minimum to the maximum.
constexpr milliseconds min_sync_interval{1000};
constexpr milliseconds max_sync_interval{32'000};

bool is_due(const std::optional<instant>& last_sent, instant now,
            milliseconds interval) {
    return !last_sent || now - *last_sent >= interval;
}

} // namespace

config_register::config_register(process_id self, process_role role,
                                 std::vector<std::string> witnesses,
                                 std::uint64_t seed)
    : self_(std::move(self)), role_(role),
      witnesses_(witnesses.begin(), witnesses.end()), random_(seed),
      sync_interval_(min_sync_interval) {
    // Revision 0 reports only that this incarnation exists.
    if (is_witness(self_.name))
        held_[self_.name] = {self_, 0};
}

std::shared_ptr<const rollout_document> config_register::in_force() const {
    return in_force_;
}

std::shared_ptr<const rollout_document> config_register::highest() const {
    return highest_;
}

revision config_register::document() const noexcept {
    return highest_ ? highest_->number : 0;
}

std::vector<held_revision> config_register::held() const {
    std::vector<held_revision> list;
    for (const auto& [name, item] : held_)
        list.push_back(item);
    return list;
}

bool config_register::recovered() const noexcept {
    return recovered_;
}

nlohmann::json config_register::dump() const {
    nlohmann::json state;
    state["in_force"] = in_force_ ? in_force_->number : 0;
    state["document"] = document();
    state["heard_of"] = highest_reported_;
    state["floor"] = min_revision_;
    state["recovered"] = recovered_;
    state["held"] = nlohmann::json::object();
    for (const auto& [name, item] : held_)
        state["held"][to_string(item.witness)] = item.number;
    return state;
}

void config_register::set_peers(std::vector<std::string> peers) {
    std::erase(peers, self_.name);
    neighbours_ = rendezvous_order(self_.name, std::move(peers));
    neighbours_.resize(std::min(neighbours_.size(), max_neighbours));
}

config_register::actions
config_register::on_platform_read(const std::string& json, instant) {
    actions out;
    if (!json.empty()) {
        const revision before = document();
        adopt_if_newer(json, "", out);
        // A malformed value proves nothing about the accepted revision.
        if (document() == before && !out.empty())
            return out;
    }
    recover();
    update_in_force(out);
    return out;
}

config_register::actions config_register::on_accepted(const std::string& json) {
    actions out;
    adopt_if_newer(json, "", out);
    update_in_force(out);
    return out;
}

config_register::actions config_register::receive(const document_push& push,
                                                  instant now) {
    actions out;
    merge(push.held);
    highest_reported_ = std::max(highest_reported_, push.document);
    if (push.document > document())
        adopt_if_newer(push.json, push.sender.name, out);
    if (highest_reported_ > document())
        catch_up(push.sender.name, now, out);
    update_in_force(out);
    return out;
}

config_register::actions config_register::receive(const sync_reply& reply,
                                                  instant) {
    actions out;
    merge(reply.held);
    highest_reported_ = std::max(highest_reported_, reply.document);
    last_catch_up_.reset();
    if (reply.document > document() && !reply.json.empty())
        adopt_if_newer(reply.json, reply.sender.name, out);
    if (reply.recovered && is_witness(reply.sender.name) &&
        reply.sender.name != self_.name)
        recovered_witnesses_.insert(reply.sender.name);
    if (!witnesses_.empty() && recovered_witnesses_.size() >= majority())
        recover();
    update_in_force(out);
    return out;
}

config_register::actions
config_register::on_revision_report(const revision_report& report,
                                    instant now) {
    actions out;
    merge(report.held);
    confirm(report);
    highest_reported_ = std::max(highest_reported_, report.document);
    if (report.document > document())
        catch_up(report.peer.name, now, out);
    update_in_force(out);
    return out;
}

config_register::actions
config_register::on_in_force_elsewhere(revision number) {
    actions out;
    in_force_elsewhere_ = std::max(in_force_elsewhere_, number);
    update_in_force(out);
    return out;
}

void config_register::on_witness_queried(const std::string& witness,
                                         std::uint64_t sequence) {
    if (!round_)
        return;
    const auto found = round_->witnesses.find(witness);
    if (found != round_->witnesses.end())
        found->second.sequence = sequence;
}

sync_reply config_register::answer(const sync_request& request) const {
    sync_reply reply;
    reply.sender = self_;
    reply.recovered = recovered_;
    reply.document = document();
    if (request.document < document())
        reply.json = highest_json_;
    reply.held = held();
    return reply;
}

config_register::actions config_register::tick(instant now) {
    actions out;
    if (!recovered_)
        sync_with_witnesses(now, out);
    if (highest_reported_ > document())
        catch_up("", now, out);
    sync_periodically(now, out);
    // Queries or replies of the last round may have been lost.
    round_.reset();
    update_in_force(out);
    return out;
}

void config_register::adopt_if_newer(const std::string& json,
                                     const std::string& from, actions& out) {
    error failure;
    auto parsed = value_or_error([&] { return parse_rollout(json); }, failure);
    if (!parsed) {
        failure.peer = from;
        out.emplace_back(document_refused{failure});
        return;
    }
    highest_reported_ = std::max(highest_reported_, parsed->number);
    if (parsed->number <= document())
        return;
    highest_ = std::make_shared<const rollout_document>(std::move(*parsed));
    highest_json_ = json;
    record_own_revision();
    fan_out(from, out);
}

void config_register::merge(const std::vector<held_revision>& held) {
    for (const held_revision& item : held)
        merge(item);
}

void config_register::merge(const held_revision& received) {
    if (!is_witness(received.witness.name) ||
        received.witness.name == self_.name)
        return;
    held_revision& known = held_[received.witness.name];
    if (received.witness.incarnation > known.witness.incarnation)
        known = received;
    else if (received.witness.incarnation == known.witness.incarnation)
        known.number = std::max(known.number, received.number);
    known.witness.name = received.witness.name;
}

void config_register::sync_with_witnesses(instant now, actions& out) {
    if (!is_due(last_witness_sync_, now, sync_retry_interval))
        return;
    last_witness_sync_ = now;
    for (const std::string& witness : witnesses_) {
        if (witness != self_.name)
            send_sync_request(witness, out);
    }
}

/// Requests the newer document from its reporter if that is a neighbour or a
/// witness, otherwise from a random one of these: connections to every peer
/// would be too many.
void config_register::catch_up(const std::string& reporter, instant now,
                               actions& out) {
    const std::vector<std::string> known = sync_targets();
    if (known.empty() || !is_due(last_catch_up_, now, sync_retry_interval))
        return;
    last_catch_up_ = now;
    const auto found = std::find(known.begin(), known.end(), reporter);
    send_sync_request(
        found == known.end() ? known[random_() % known.size()] : reporter, out);
}

void config_register::sync_periodically(instant now, actions& out) {
    if (neighbours_.empty() ||
        !is_due(last_periodic_sync_, now, sync_interval_))
        return;
    if (last_periodic_sync_)
        sync_interval_ = std::min(2 * sync_interval_, max_sync_interval);
    last_periodic_sync_ = now;
    send_sync_request(neighbours_[random_() % neighbours_.size()], out);
}

void config_register::send_sync_request(const std::string& peer,
                                        actions& out) const {
    out.emplace_back(request_document{peer, {self_, document()}});
}

std::vector<std::string> config_register::sync_targets() const {
    std::set<std::string> names(neighbours_.begin(), neighbours_.end());
    names.insert(witnesses_.begin(), witnesses_.end());
    names.erase(self_.name);
    return {names.begin(), names.end()};
}

/// Forwards the held document to the neighbours. Entries also forward it to the
/// witnesses that are not known to hold it.
void config_register::fan_out(const std::string& from, actions& out) {
    std::set<std::string> targets;
    if (role_ == process_role::entry) {
        for (const std::string& witness : witnesses_) {
            const auto known = held_.find(witness);
            if (known == held_.end() || known->second.number < document())
                targets.insert(witness);
        }
    }
    targets.insert(neighbours_.begin(), neighbours_.end());
    targets.erase(from);
    targets.erase(self_.name);
    for (const std::string& target : targets)
        push_to(target, out);
}

void config_register::push_to(const std::string& peer, actions& out) {
    document_push push;
    push.sender = self_;
    push.document = document();
    push.json = highest_json_;
    push.held = held();
    out.emplace_back(push_document{peer, std::move(push)});
}

void config_register::recover() {
    if (recovered_)
        return;
    recovered_ = true;
    min_revision_ = highest_reported_;
}

void config_register::record_own_revision() {
    if (recovered_ && document() >= min_revision_ && is_witness(self_.name))
        held_[self_.name].number = document();
}

bool config_register::may_put_in_force() const {
    const revision current = in_force_ ? in_force_->number : 0;
    return recovered_ && document() >= min_revision_ && document() > current;
}

void config_register::update_in_force(actions& out) {
    record_own_revision();
    if (!may_put_in_force())
        return;
    if (!round_ || round_->number != document())
        begin_confirmation(out);
    if (!is_confirmed())
        return;
    round_.reset();
    in_force_ = highest_;
    out.emplace_back(put_in_force{in_force_});
}

/// Starts the second round if the first one is complete, so that every query is
/// sent after the last report was received.
void config_register::begin_confirmation(actions& out) {
    round_.reset();
    if (in_force_elsewhere_ >= document())
        return;
    confirmation_round next;
    next.number = document();
    for (const auto& [name, item] : held_) {
        if (item.number >= document())
            next.witnesses[name] = {item.witness.incarnation, 0,
                                    name == self_.name};
    }
    if (next.witnesses.size() < majority())
        return;
    for (const auto& [name, item] : next.witnesses) {
        if (!item.confirmed)
            out.emplace_back(query_witness{name});
    }
    round_ = std::move(next);
}

void config_register::confirm(const revision_report& report) {
    if (!round_ || report.acked_sequence == 0)
        return;
    const auto found = round_->witnesses.find(report.peer.name);
    if (found == round_->witnesses.end() ||
        found->second.sequence != report.acked_sequence ||
        found->second.incarnation != report.peer.incarnation)
        return;
    for (const held_revision& item : report.held) {
        // An unrecovered witness reports revision 0 for itself.
        if (item.witness == report.peer && item.number >= round_->number)
            found->second.confirmed = true;
    }
}

bool config_register::is_confirmed() const {
    if (in_force_elsewhere_ >= document())
        return true;
    if (!round_ || round_->number != document())
        return false;
    const auto confirmed =
        std::count_if(round_->witnesses.begin(), round_->witnesses.end(),
                      [](const auto& item) { return item.second.confirmed; });
    return static_cast<std::size_t>(confirmed) >= majority();
}

bool config_register::is_witness(const std::string& name) const {
    return witnesses_.contains(name);
}

std::size_t config_register::majority() const noexcept {
    return witnesses_.size() / 2 + 1;
}

} // namespace ospreystage
