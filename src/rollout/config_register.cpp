#include <ospreystage/rollout/config_register.hpp>

#include <algorithm>
#include <functional>
#include <utility>

namespace ospreystage {

namespace {

/// Peers that a process passes a new document on to. They are always the same
/// ones, so that the number of open connections does not grow.
constexpr std::size_t max_neighbours = 4;

/// Time after which an unanswered `sync_request` is repeated.
constexpr milliseconds sync_retry{1000};

/// Time between routine exchanges; doubles from the first to the second.
constexpr milliseconds first_routine_interval{1000};
constexpr milliseconds last_routine_interval{32'000};

bool is_due(const std::optional<instant>& asked, instant now,
            milliseconds interval) {
    return !asked || now - *asked >= interval;
}

} // namespace

config_register::config_register(process_id self, process_role role,
                                 std::vector<std::string> witnesses,
                                 std::uint64_t seed)
    : self_(std::move(self)), role_(role),
      witnesses_(witnesses.begin(), witnesses.end()), random_(seed),
      routine_interval_(first_routine_interval) {
    // Revision 0 tells only that this incarnation exists.
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
    state["heard_of"] = heard_of_;
    state["floor"] = floor_;
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
        offer(json, "", out);
        // A value that cannot be read proves nothing about its revision.
        if (document() == before && !out.empty())
            return out;
    }
    recover();
    settle(out);
    return out;
}

config_register::actions config_register::on_accepted(const std::string& json) {
    actions out;
    offer(json, "", out);
    settle(out);
    return out;
}

config_register::actions config_register::receive(const document_push& push,
                                                  instant now) {
    actions out;
    merge(push.held);
    heard_of_ = std::max(heard_of_, push.document);
    if (push.document > document())
        offer(push.json, push.sender.name, out);
    if (heard_of_ > document())
        ask_behind(push.sender.name, now, out);
    settle(out);
    return out;
}

config_register::actions config_register::receive(const sync_reply& reply,
                                                  instant) {
    actions out;
    merge(reply.held);
    heard_of_ = std::max(heard_of_, reply.document);
    asked_behind_.reset();
    if (reply.document > document() && !reply.json.empty())
        offer(reply.json, reply.sender.name, out);
    if (reply.recovered && is_witness(reply.sender.name) &&
        reply.sender.name != self_.name)
        answered_.insert(reply.sender.name);
    if (!witnesses_.empty() && answered_.size() >= majority())
        recover();
    settle(out);
    return out;
}

config_register::actions
config_register::on_revision_report(const revision_report& told, instant now) {
    actions out;
    merge(told.held);
    confirm(told);
    heard_of_ = std::max(heard_of_, told.document);
    if (told.document > document())
        ask_behind(told.peer.name, now, out);
    settle(out);
    return out;
}

config_register::actions
config_register::on_in_force_elsewhere(revision number) {
    actions out;
    in_force_elsewhere_ = std::max(in_force_elsewhere_, number);
    settle(out);
    return out;
}

void config_register::on_witness_asked(const std::string& witness,
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
        ask_witnesses(now, out);
    if (heard_of_ > document())
        ask_behind("", now, out);
    ask_routinely(now, out);
    // Questions or answers of the last round may be lost.
    round_.reset();
    settle(out);
    return out;
}

void config_register::offer(const std::string& json, const std::string& from,
                            actions& out) {
    error failure;
    auto parsed = value_or_error([&] { return parse_rollout(json); }, failure);
    if (!parsed) {
        failure.peer = from;
        out.emplace_back(document_refused{failure});
        return;
    }
    heard_of_ = std::max(heard_of_, parsed->number);
    if (parsed->number <= document())
        return;
    highest_ = std::make_shared<const rollout_document>(std::move(*parsed));
    highest_json_ = json;
    hold();
    fan_out(from, out);
}

void config_register::merge(const std::vector<held_revision>& held) {
    for (const held_revision& item : held)
        merge(item);
}

void config_register::merge(const held_revision& heard) {
    if (!is_witness(heard.witness.name) || heard.witness.name == self_.name)
        return;
    held_revision& known = held_[heard.witness.name];
    if (heard.witness.incarnation > known.witness.incarnation)
        known = heard;
    else if (heard.witness.incarnation == known.witness.incarnation)
        known.number = std::max(known.number, heard.number);
    known.witness.name = heard.witness.name;
}

void config_register::ask_witnesses(instant now, actions& out) {
    if (!is_due(asked_witnesses_, now, sync_retry))
        return;
    asked_witnesses_ = now;
    for (const std::string& witness : witnesses_) {
        if (witness != self_.name)
            ask(witness, out);
    }
}

/// Asks who told of a newer document if it is a neighbour or a witness, else
/// one of those: connections to every peer would be too many.
void config_register::ask_behind(const std::string& teller, instant now,
                                 actions& out) {
    const std::vector<std::string> known = sources();
    if (known.empty() || !is_due(asked_behind_, now, sync_retry))
        return;
    asked_behind_ = now;
    const auto found = std::find(known.begin(), known.end(), teller);
    ask(found == known.end() ? known[random_() % known.size()] : teller, out);
}

void config_register::ask_routinely(instant now, actions& out) {
    if (neighbours_.empty() ||
        !is_due(asked_routinely_, now, routine_interval_))
        return;
    if (asked_routinely_)
        routine_interval_ =
            std::min(2 * routine_interval_, last_routine_interval);
    asked_routinely_ = now;
    ask(neighbours_[random_() % neighbours_.size()], out);
}

void config_register::ask(const std::string& peer, actions& out) const {
    out.emplace_back(ask_document{peer, {self_, document()}});
}

std::vector<std::string> config_register::sources() const {
    std::set<std::string> names(neighbours_.begin(), neighbours_.end());
    names.insert(witnesses_.begin(), witnesses_.end());
    names.erase(self_.name);
    return {names.begin(), names.end()};
}

/// Entries make sure of the witnesses; agents pass on to a few peers only.
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
    floor_ = heard_of_;
}

void config_register::hold() {
    if (recovered_ && document() >= floor_ && is_witness(self_.name))
        held_[self_.name].number = document();
}

bool config_register::may_put_in_force() const {
    const revision current = in_force_ ? in_force_->number : 0;
    return recovered_ && document() >= floor_ && document() > current;
}

void config_register::settle(actions& out) {
    hold();
    if (!may_put_in_force())
        return;
    if (!round_ || round_->number != document())
        begin_round(out);
    if (!is_proven())
        return;
    round_.reset();
    in_force_ = highest_;
    out.emplace_back(put_in_force{in_force_});
}

/// Begins the second round if the first one is complete: every question is
/// asked after the last report was heard.
void config_register::begin_round(actions& out) {
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
            out.emplace_back(ask_witness{name});
    }
    round_ = std::move(next);
}

void config_register::confirm(const revision_report& told) {
    if (!round_ || told.answers == 0)
        return;
    const auto found = round_->witnesses.find(told.peer.name);
    if (found == round_->witnesses.end() ||
        found->second.sequence != told.answers ||
        found->second.incarnation != told.peer.incarnation)
        return;
    for (const held_revision& item : told.held) {
        // A witness that is not recovered reports revision 0 for itself.
        if (item.witness == told.peer && item.number >= round_->number)
            found->second.confirmed = true;
    }
}

bool config_register::is_proven() const {
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
