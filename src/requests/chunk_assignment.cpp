#include <ospreystage/core/stable_hash.hpp>
#include <ospreystage/requests/chunk_assignment.hpp>

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Minimum number of readers per data centre.
constexpr std::size_t min_readers_per_data_centre = 2;
/// Backup readers per reader.
constexpr std::size_t backups_per_reader = 1;
constexpr std::size_t local_neighbours = 18;
constexpr std::size_t remote_neighbours = 6;
constexpr std::uint16_t max_rank = chunk_role::none - 1;

/// Number of agents that a strategy lets read from the origin.
struct reader_count {
    std::uint32_t operator()(const rendezvous_strategy& strategy) const {
        return strategy.readers;
    }
    std::uint32_t operator()(const direct_strategy& /*strategy*/) const {
        return 1;
    }
    std::uint32_t operator()(const tree_strategy& /*strategy*/) const {
        return 1;
    }
};

bool contains(const std::vector<std::string>& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

chunk_assignment::chunk_assignment(
    const distribution_strategy& strategy, std::vector<swarm_member> members,
    const std::string& self, const digest& version, std::uint32_t chunks,
    const std::vector<std::string>& silent_readers)
    : version_hash_(stable_hash(version)), roles_(chunks) {
    std::sort(members.begin(), members.end(),
              [](const swarm_member& left, const swarm_member& right) {
                  return left.name < right.name;
              });
    absl::flat_hash_map<std::string, std::uint32_t> centre_indices;
    for (swarm_member& member : members) {
        const auto next = static_cast<std::uint32_t>(centre_indices.size());
        const std::uint32_t centre =
            centre_indices.emplace(member.data_centre, next).first->second;
        const std::uint64_t hash = stable_hash(member.name);
        members_.push_back({std::move(member.name), centre, hash});
    }
    data_centre_count_ = static_cast<std::uint32_t>(centre_indices.size());
    self_ = position_of(self);
    if (self_ == members_.size())
        return;
    target_readers_ = std::visit(reader_count{}, strategy);
    choose_readers(silent_readers);
    std::visit([this](const auto& chosen) { assign_roles(chosen); }, strategy);
}

std::vector<std::string>
chunk_assignment::remote_owners(std::uint32_t index) const {
    std::vector<std::size_t> best(data_centre_count_, members_.size());
    if (has_fixed_sources_ || self_ == members_.size())
        return {};
    for (std::size_t member = 0; member < members_.size(); ++member) {
        std::size_t& chosen = best[members_[member].data_centre];
        if (chosen == members_.size() ||
            weight(member, index) > weight(chosen, index))
            chosen = member;
    }
    std::vector<std::string> owners;
    for (const std::size_t member : best)
        if (member != members_.size() &&
            members_[member].data_centre != members_[self_].data_centre)
            owners.push_back(members_[member].name);
    return owners;
}

bool chunk_assignment::is_local(const std::string& peer) const {
    const std::size_t position = position_of(peer);
    return position != members_.size() && self_ != members_.size() &&
           members_[position].data_centre == members_[self_].data_centre;
}

bool chunk_assignment::may_fetch_from(const std::string& peer) const {
    if (has_fixed_sources_)
        return contains(sources_, peer);
    return position_of(peer) != members_.size();
}

void chunk_assignment::assign_roles(const rendezvous_strategy& strategy) {
    choose_neighbours();
    for (std::uint32_t index = 0; index < roles_.size(); ++index)
        roles_[index] = role_of(index);
    origin_copies_ = strategy.origin_copies;
}

void chunk_assignment::assign_roles(const direct_strategy& /*strategy*/) {
    has_fixed_sources_ = true;
    readers_.clear();
    is_reader_ = true;
    for (chunk_role& role : roles_)
        role.origin_rank = 0;
}

void chunk_assignment::assign_roles(const tree_strategy& strategy) {
    has_fixed_sources_ = true;
    readers_.clear();
    is_reader_ = self_ == 0;
    for (chunk_role& role : roles_) {
        role.origin_rank = is_reader_ ? 0 : chunk_role::none;
        role.owner_rank = 0;
    }
    if (!is_reader_) {
        sources_.push_back(members_[(self_ - 1) / strategy.fan_out].name);
        neighbours_ = sources_;
    }
    for (std::size_t child = self_ * strategy.fan_out + 1;
         child <= self_ * strategy.fan_out + strategy.fan_out; ++child)
        if (child < members_.size())
            neighbours_.push_back(members_[child].name);
}

void chunk_assignment::choose_readers(
    const std::vector<std::string>& silent_readers) {
    const std::size_t share =
        (target_readers_ + data_centre_count_ - 1) / data_centre_count_;
    const std::size_t target_count =
        std::max(min_readers_per_data_centre, share);
    std::vector<std::size_t> order(members_.size());
    for (std::size_t member = 0; member < order.size(); ++member)
        order[member] = member;
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return mix_hash(version_hash_, members_[a].hash) >
               mix_hash(version_hash_, members_[b].hash);
    });
    std::vector<std::size_t> chosen(data_centre_count_, 0);
    std::vector<std::size_t> listed(data_centre_count_, 0);
    for (const std::size_t member : order) {
        const std::uint32_t centre = members_[member].data_centre;
        const bool is_silent = contains(silent_readers, members_[member].name);
        if (listed[centre] < target_count * (1 + backups_per_reader)) {
            ++listed[centre];
            readers_.push_back(members_[member].name);
            is_reader_ = is_reader_ || member == self_;
        }
        if (!is_silent && chosen[centre] < target_count) {
            ++chosen[centre];
            active_readers_.push_back(member);
        }
    }
}

void chunk_assignment::choose_neighbours() {
    struct candidate {
        std::uint64_t weight;
        std::size_t member;
    };
    std::vector<candidate> local;
    std::vector<candidate> remote;
    const member_record& self = members_[self_];
    for (std::size_t member = 0; member < members_.size(); ++member) {
        if (member == self_)
            continue;
        const std::uint64_t weight = self.hash ^ members_[member].hash;
        const bool is_local = members_[member].data_centre == self.data_centre;
        (is_local ? local : remote).push_back({mix_hash(weight, 0), member});
    }
    const auto append_neighbours = [this](std::vector<candidate>& from,
                                          std::size_t count) {
        std::sort(from.begin(), from.end(),
                  [](const candidate& left, const candidate& right) {
                      return left.weight > right.weight;
                  });
        for (std::size_t index = 0; index < std::min(count, from.size());
             ++index)
            neighbours_.push_back(members_[from[index].member].name);
    };
    append_neighbours(local, local_neighbours);
    append_neighbours(remote, remote_neighbours);
}

chunk_role chunk_assignment::role_of(std::uint32_t index) const {
    chunk_role role;
    const std::vector<std::size_t> order = reader_order(index);
    const auto found = std::find(order.begin(), order.end(), self_);
    if (found != order.end())
        role.origin_rank = static_cast<std::uint16_t>(found - order.begin());
    if (role.origin_rank == 0) {
        role.owner_rank = 0;
        return role;
    }
    const std::uint32_t centre = members_[self_].data_centre;
    const std::uint64_t own_weight = weight(self_, index);
    std::size_t higher = 0;
    for (std::size_t member = 0; member < members_.size(); ++member)
        if (members_[member].data_centre == centre &&
            weight(member, index) > own_weight)
            ++higher;
    // The first reader owns the chunk in its own data centre.
    if (!order.empty() && members_[order.front()].data_centre == centre)
        ++higher;
    role.owner_rank =
        static_cast<std::uint16_t>(std::min<std::size_t>(higher, max_rank));
    return role;
}

std::vector<std::size_t>
chunk_assignment::reader_order(std::uint32_t index) const {
    std::vector<std::size_t> order = active_readers_;
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
        return weight(a, index) > weight(b, index);
    });
    // The first reader of every data centre precedes all further readers.
    std::vector<bool> seen(data_centre_count_, false);
    std::vector<std::size_t> first;
    std::vector<std::size_t> second;
    for (const std::size_t member : order) {
        const std::uint32_t centre = members_[member].data_centre;
        (seen[centre] ? second : first).push_back(member);
        seen[centre] = true;
    }
    first.insert(first.end(), second.begin(), second.end());
    return first;
}

std::uint64_t chunk_assignment::weight(std::size_t member,
                                       std::uint32_t index) const noexcept {
    return mix_hash(mix_hash(version_hash_, index), members_[member].hash);
}

std::size_t
chunk_assignment::position_of(const std::string& name) const noexcept {
    const auto found = std::lower_bound(
        members_.begin(), members_.end(), name,
        [](const member_record& member, const std::string& id) {
            return member.name < id;
        });
    if (found == members_.end() || found->name != name)
        return members_.size();
    return static_cast<std::size_t>(found - members_.begin());
}

} // namespace ospreystage
