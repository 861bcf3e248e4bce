#include <ospreystage/fleet/member_table.hpp>

#include <algorithm>
#include <bit>
#include <tuple>
#include <utility>

namespace ospreystage {

namespace {

/// Datagrams that carry a changed record, per binary digit of the fleet size.
constexpr std::uint32_t sends_per_digit = 3;

/// Members that the rotation adds to one datagram.
constexpr std::size_t rotation_members = 3;

/// Encoded bytes of a member beside its texts: lengths and numbers.
constexpr std::size_t member_fixed_bytes = 64;

bool is_newer(const member& heard, const member& known) {
    return std::tie(heard.id.incarnation, heard.counter, heard.state) >
           std::tie(known.id.incarnation, known.counter, known.state);
}

bool is_same_publication(const member& heard, const member& known) {
    return heard.id.incarnation == known.id.incarnation &&
           heard.counter == known.counter;
}

/// Returns true if more differs than the revision in force.
bool is_urgent(const member& heard, const member& known) {
    return heard.id != known.id || heard.state != known.state ||
           heard.listed_leaving != known.listed_leaving;
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

merge_outcome member_table::merge(const member& heard, instant now) {
    if (heard.id.name.empty())
        return merge_outcome::ignored;
    if (heard.id.name == self_.id.name)
        return merge_self(heard);
    const auto found = others_.find(heard.id.name);
    if (found == others_.end()) {
        if (heard.state == member_state::dead)
            return merge_outcome::ignored;
        record& added = others_[heard.id.name];
        added.value = heard;
        if (heard.state == member_state::suspect)
            added.silent_since = now;
        mark(added, true, now);
        return merge_outcome::changed;
    }
    record& known = found->second;
    member merged = is_newer(heard, known.value) ? heard : known.value;
    if (is_same_publication(heard, known.value))
        merged.listed_leaving =
            heard.listed_leaving || known.value.listed_leaving;
    if (merged == known.value)
        return merge_outcome::ignored;
    const bool urgent = is_urgent(merged, known.value);
    if (merged.state == member_state::suspect)
        known.silent_since = known.silent_since.value_or(now);
    else if (!is_same_publication(merged, known.value))
        known.silent_since.reset();
    known.value = std::move(merged);
    mark(known, urgent, now);
    return merge_outcome::changed;
}

merge_outcome member_table::merge_self(const member& heard) {
    if (heard.id.incarnation > self_.id.incarnation)
        return merge_outcome::superseded;
    if (heard.id.incarnation < self_.id.incarnation ||
        heard.counter < self_.counter)
        return merge_outcome::ignored;
    const bool accused = heard.state == member_state::suspect ||
                         heard.state == member_state::dead;
    const bool listing_differs = heard.listed_leaving != self_.listed_leaving;
    if (!accused && !listing_differs && heard.counter == self_.counter)
        return merge_outcome::ignored;
    self_.counter = heard.counter + 1;
    self_.listed_leaving = heard.listed_leaving;
    return accused ? merge_outcome::refuted : merge_outcome::changed;
}

bool member_table::suspect(const std::string& name, instant now) {
    const auto found = others_.find(name);
    if (found == others_.end())
        return false;
    record& known = found->second;
    known.silent_since = known.silent_since.value_or(now);
    if (known.value.state != member_state::alive)
        return false;
    known.value.state = member_state::suspect;
    mark(known, true, now);
    return true;
}

void member_table::answered(const std::string& name) {
    const auto found = others_.find(name);
    // A suspicion ends with the suspect's own refutation only.
    if (found != others_.end() &&
        found->second.value.state != member_state::suspect)
        found->second.silent_since.reset();
}

std::vector<member> member_table::expire(instant now,
                                         std::chrono::nanoseconds limit) {
    std::vector<member> dead;
    for (auto& [name, known] : others_) {
        if (known.value.state == member_state::dead || !known.silent_since ||
            now - *known.silent_since < limit)
            continue;
        known.value.state = member_state::dead;
        mark(known, true, now);
        dead.push_back(known.value);
    }
    return dead;
}

void member_table::forget(instant now, std::chrono::nanoseconds retention) {
    std::erase_if(others_, [&](const auto& item) {
        return item.second.value.state == member_state::dead &&
               now - item.second.changed >= retention;
    });
}

void member_table::restart_silence(instant now) {
    for (auto& [name, known] : others_) {
        if (known.silent_since)
            known.silent_since = now;
    }
}

bool member_table::set_listed(const std::string& name, bool leaving,
                              instant now) {
    const auto found = others_.find(name);
    if (found == others_.end() || found->second.value.listed_leaving == leaving)
        return false;
    found->second.value.listed_leaving = leaving;
    mark(found->second, true, now);
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

std::vector<member> member_table::take(std::size_t max_bytes,
                                       const std::string& first) {
    std::vector<member> taken{self_};
    std::size_t bytes = wire_bytes(self_);
    const auto add = [&](record& known) {
        const std::size_t size = wire_bytes(known.value);
        if (bytes + size > max_bytes || contains(taken, known.value.id.name))
            return;
        bytes += size;
        taken.push_back(known.value);
        known.sends_left -= known.sends_left > 0 ? 1 : 0;
    };
    const auto wanted = others_.find(first);
    if (wanted != others_.end())
        add(wanted->second);
    std::vector<record*> changed;
    for (auto& [name, known] : others_) {
        if (known.sends_left > 0)
            changed.push_back(&known);
    }
    std::stable_sort(changed.begin(), changed.end(),
                     [](const record* left, const record* right) {
                         return std::tie(left->urgent, left->sends_left) >
                                std::tie(right->urgent, right->sends_left);
                     });
    for (record* known : changed)
        add(*known);
    const std::size_t steps = std::min(rotation_members, others_.size());
    for (std::size_t step = 0; step < steps; ++step) {
        auto next = others_.upper_bound(rotation_);
        if (next == others_.end())
            next = others_.begin();
        rotation_ = next->first;
        if (next->second.value.state != member_state::dead)
            add(next->second);
    }
    return taken;
}

void member_table::mark(record& changed, bool urgent, instant now) {
    changed.urgent = urgent || (changed.urgent && changed.sends_left > 0);
    changed.sends_left = sends_per_digit * log_size();
    if (urgent)
        changed.changed = now;
}

std::size_t wire_bytes(const member& value) noexcept {
    return member_fixed_bytes + value.id.name.size() + value.vm.size() +
           value.data_centre.size() + value.region.size() +
           value.peer.host.size() + value.http.host.size();
}

} // namespace ospreystage
