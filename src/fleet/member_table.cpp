#include <ospreystage/fleet/member_table.hpp>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace ospreystage {

namespace {

/// Datagrams that carry a changed record, per bit of the fleet size.
constexpr std::uint32_t sends_per_size_bit = 3;

/// Members that the round-robin adds to one datagram.
constexpr std::size_t rotation_members = 3;

/// Encoded size of a member in bytes, without the contents of its strings.
constexpr std::size_t member_fixed_bytes = 64;

bool is_newer(const member& received, const member& known) {
    return std::tie(received.id.incarnation, received.counter, received.state) >
           std::tie(known.id.incarnation, known.counter, known.state);
}

bool has_same_counter(const member& received, const member& known) {
    return received.id.incarnation == known.id.incarnation &&
           received.counter == known.counter;
}

/// Returns true if the records differ in more than the revision in force.
bool is_urgent(const member& received, const member& known) {
    return received.id != known.id || received.state != known.state ||
           received.listed_leaving != known.listed_leaving;
}

bool contains(const std::vector<member>& members, const std::string& name) {
    return std::any_of(members.begin(), members.end(), [&](const member& item) {
        return item.id.name == name;
    });
}

} // namespace

member_table::member_table(member self) : self_(std::move(self)) {}

const member& member_table::self() const noexcept {
    return self_;
}

const member_table::record* member_table::find(const std::string& name) const {
    const auto found = others_.find(name);
    return found == others_.end() ? nullptr : &found->second;
}

std::vector<member> member_table::live() const {
    std::vector<member> members{self_};
    for (const auto& [name, known] : others_) {
        if (known.value.state != member_state::dead)
            members.push_back(known.value);
    }
    return members;
}

std::vector<member> member_table::all() const {
    std::vector<member> members{self_};
    for (const auto& [name, known] : others_)
        members.push_back(known.value);
    return members;
}

std::vector<std::string> member_table::names(bool dead) const {
    std::vector<std::string> found;
    for (const auto& [name, known] : others_) {
        if ((known.value.state == member_state::dead) == dead)
            found.push_back(name);
    }
    return found;
}

std::uint32_t member_table::log_size() const {
    const auto live =
        std::count_if(others_.begin(), others_.end(), [](const auto& item) {
            return item.second.value.state != member_state::dead;
        });
    return static_cast<std::uint32_t>(
        std::bit_width(static_cast<std::uint64_t>(live) + 1));
}

merge_outcome member_table::merge(const member& received, instant now) {
    if (received.id.name.empty())
        return merge_outcome::ignored;
    if (received.id.name == self_.id.name)
        return merge_self(received);
    const auto found = others_.find(received.id.name);
    if (found == others_.end()) {
        if (received.state == member_state::dead)
            return merge_outcome::ignored;
        record& added = others_[received.id.name];
        added.value = received;
        if (received.state == member_state::suspect)
            added.unanswered_since = now;
        schedule_sends(added, true, now);
        return merge_outcome::changed;
    }
    record& known = found->second;
    member merged = is_newer(received, known.value) ? received : known.value;
    if (has_same_counter(received, known.value))
        merged.listed_leaving =
            received.listed_leaving || known.value.listed_leaving;
    if (merged == known.value)
        return merge_outcome::ignored;
    const bool urgent = is_urgent(merged, known.value);
    if (merged.state == member_state::suspect)
        known.unanswered_since = known.unanswered_since.value_or(now);
    else if (!has_same_counter(merged, known.value))
        known.unanswered_since.reset();
    known.value = std::move(merged);
    schedule_sends(known, urgent, now);
    return merge_outcome::changed;
}

merge_outcome member_table::merge_self(const member& received) {
    if (received.id.incarnation > self_.id.incarnation)
        return merge_outcome::superseded;
    if (received.id.incarnation < self_.id.incarnation ||
        received.counter < self_.counter)
        return merge_outcome::ignored;
    const bool reported_failed = received.state == member_state::suspect ||
                                 received.state == member_state::dead;
    const bool listing_differs =
        received.listed_leaving != self_.listed_leaving;
    if (!reported_failed && !listing_differs &&
        received.counter == self_.counter)
        return merge_outcome::ignored;
    self_.counter = received.counter + 1;
    self_.listed_leaving = received.listed_leaving;
    return reported_failed ? merge_outcome::refuted : merge_outcome::changed;
}

bool member_table::suspect(const std::string& name, instant now) {
    const auto found = others_.find(name);
    if (found == others_.end())
        return false;
    record& known = found->second;
    known.unanswered_since = known.unanswered_since.value_or(now);
    if (known.value.state != member_state::alive)
        return false;
    known.value.state = member_state::suspect;
    schedule_sends(known, true, now);
    return true;
}

void member_table::on_probe_answered(const std::string& name) {
    const auto found = others_.find(name);
    // Only a refutation by the suspect itself ends a suspicion.
    if (found != others_.end() &&
        found->second.value.state != member_state::suspect)
        found->second.unanswered_since.reset();
}

std::vector<member> member_table::expire(instant now,
                                         std::chrono::nanoseconds limit) {
    std::vector<member> dead;
    for (auto& [name, known] : others_) {
        if (known.value.state == member_state::dead ||
            !known.unanswered_since || now - *known.unanswered_since < limit)
            continue;
        known.value.state = member_state::dead;
        schedule_sends(known, true, now);
        dead.push_back(known.value);
    }
    return dead;
}

void member_table::prune_dead(instant now, std::chrono::nanoseconds retention) {
    std::erase_if(others_, [&](const auto& item) {
        return item.second.value.state == member_state::dead &&
               now - item.second.changed_at >= retention;
    });
}

void member_table::restart_suspicion_timers(instant now) {
    for (auto& [name, known] : others_) {
        if (known.unanswered_since)
            known.unanswered_since = now;
    }
}

bool member_table::set_listed_leaving(const std::string& name, bool leaving,
                                      instant now) {
    const auto found = others_.find(name);
    if (found == others_.end() || found->second.value.listed_leaving == leaving)
        return false;
    found->second.value.listed_leaving = leaving;
    schedule_sends(found->second, true, now);
    return true;
}

bool member_table::set_leaving() {
    if (self_.state == member_state::leaving)
        return false;
    self_.state = member_state::leaving;
    ++self_.counter;
    return true;
}

void member_table::set_in_force(std::uint64_t number) {
    if (self_.in_force == number)
        return;
    self_.in_force = number;
    ++self_.counter;
}

std::vector<member> member_table::select_records(std::size_t max_bytes,
                                                 const std::string& first) {
    std::vector<member> taken{self_};
    std::size_t bytes = wire_bytes(self_);
    const auto add = [&](record& known) {
        const std::size_t size = wire_bytes(known.value);
        if (bytes + size > max_bytes || contains(taken, known.value.id.name))
            return;
        bytes += size;
        taken.push_back(known.value);
        known.remaining_sends -= known.remaining_sends > 0 ? 1 : 0;
    };
    const auto preferred = others_.find(first);
    if (preferred != others_.end())
        add(preferred->second);
    std::vector<record*> changed;
    for (auto& [name, known] : others_) {
        if (known.remaining_sends > 0)
            changed.push_back(&known);
    }
    std::stable_sort(changed.begin(), changed.end(),
                     [](const record* left, const record* right) {
                         return std::tie(left->urgent, left->remaining_sends) >
                                std::tie(right->urgent, right->remaining_sends);
                     });
    for (record* known : changed)
        add(*known);
    const std::size_t steps = std::min(rotation_members, others_.size());
    for (std::size_t step = 0; step < steps; ++step) {
        auto next = others_.upper_bound(rotation_cursor_);
        if (next == others_.end())
            next = others_.begin();
        rotation_cursor_ = next->first;
        if (next->second.value.state != member_state::dead)
            add(next->second);
    }
    return taken;
}

void member_table::schedule_sends(record& changed, bool urgent, instant now) {
    changed.urgent = urgent || (changed.urgent && changed.remaining_sends > 0);
    changed.remaining_sends = sends_per_size_bit * log_size();
    if (urgent)
        changed.changed_at = now;
}

std::size_t wire_bytes(const member& value) noexcept {
    return member_fixed_bytes + value.id.name.size() + value.vm.size() +
           value.data_centre.size() + value.region.size() +
           value.peer.host.size() + value.http.host.size();
}

} // namespace ospreystage
