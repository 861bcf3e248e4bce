#include <ospreystage/core/ids.hpp>
#include <ospreystage/core/stable_hash.hpp>
#include <ospreystage/fleet/entry_duties.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ospreystage {

namespace {

/// The entries of a large region form groups, one for each entry that deals
/// with a VM, so that these are different ones; each group has this many slots.
constexpr std::size_t slots_per_group =
    entry_duties::relays_per_region / entry_duties::entries_per_vm;
/// Choices that are kept for a region, beyond the VMs of any site; addresses
/// change over time.
constexpr std::size_t max_chosen = 4096;

const std::vector<const site_entry*> no_entries;

std::string slot_label(std::size_t group, std::size_t slot) {
    return fmt::format("relay {} {}", group, slot);
}

/// Returns the relays of a region by their slots. In a small region each entry
/// has a slot of its own; so it has if some group has no entry.
std::map<std::string, std::string>
relays_of(const std::map<std::string, site_entry>& entries) {
    std::map<std::string, std::string> own_slots;
    std::array<std::vector<std::string>, entry_duties::entries_per_vm> groups;
    for (const auto& [name, entry] : entries) {
        own_slots[name] = name;
        groups[stable_hash(name) % groups.size()].push_back(name);
    }
    const bool has_empty_group =
        std::any_of(groups.begin(), groups.end(),
                    [](const auto& group) { return group.empty(); });
    if (entries.size() <= entry_duties::relays_per_region || has_empty_group)
        return own_slots;
    std::map<std::string, std::string> relays;
    for (std::size_t group = 0; group < groups.size(); ++group)
        for (std::size_t slot = 0; slot < slots_per_group; ++slot) {
            const std::string label = slot_label(group, slot);
            relays[label] = rendezvous_order(label, groups[group]).front();
        }
    return relays;
}

} // namespace

void entry_duties::set_entries(
    const std::map<std::string, site_entry>& entries) {
    std::map<std::string, std::map<std::string, site_entry>> listed;
    for (const auto& [name, entry] : entries)
        listed[entry.region][name] = entry;
    std::erase_if(by_region_, [&](const auto& item) {
        return !listed.contains(item.first);
    });
    for (auto& [region, members] : listed)
        by_region_[region].set_entries(std::move(members));
}

void entry_duties::region_record::set_entries(
    std::map<std::string, site_entry> listed) {
    std::map<std::string, std::string> slots = relays_of(listed);
    // Choices refer to relays only, so they hold as long as the same ones do.
    if (slots != relays) {
        relays = std::move(slots);
        chosen.clear();
    }
    std::erase_if(entries, [&](const auto& item) {
        return !listed.contains(item.first);
    });
    for (auto& [name, entry] : listed)
        entries[name] = std::move(entry);
}

const std::vector<const site_entry*>&
entry_duties::responsible(const std::string& region,
                          const std::string& host) const {
    const auto found = by_region_.find(region);
    if (found == by_region_.end())
        return no_entries;
    const region_record& record = found->second;
    if (record.chosen.size() >= max_chosen)
        record.chosen.clear();
    const auto [known, is_new] = record.chosen.try_emplace(host);
    std::vector<const site_entry*>& result = known->second;
    if (!is_new)
        return result;
    for (const std::string& slot : record.slots_of(host))
        result.push_back(&record.entries.at(record.relays.at(slot)));
    return result;
}

/// Returns the slots of the VM at `host`, best first: in a large region, one of
/// each group.
std::vector<std::string>
entry_duties::region_record::slots_of(const std::string& host) const {
    std::vector<std::string> slots;
    if (!relays.contains(slot_label(0, 0))) {
        for (const auto& [slot, relay] : relays)
            slots.push_back(slot);
    } else {
        for (std::size_t group = 0; group < entries_per_vm; ++group) {
            std::vector<std::string> labels;
            for (std::size_t slot = 0; slot < slots_per_group; ++slot)
                labels.push_back(slot_label(group, slot));
            slots.push_back(rendezvous_order(host, std::move(labels)).front());
        }
    }
    std::vector<std::string> order = rendezvous_order(host, std::move(slots));
    order.resize(std::min(order.size(), entries_per_vm));
    return order;
}

std::vector<const site_entry*>
entry_duties::assigners(const std::string& region,
                        const std::string& host) const {
    std::vector<const site_entry*> result = responsible(region, host);
    if (result.size() >= entries_per_vm)
        return result;
    std::map<std::string, const site_entry*> others;
    std::vector<std::string> names;
    for (const auto& [other, record] : by_region_)
        if (other != region)
            for (const auto& [name, entry] : record.entries) {
                others[name] = &entry;
                names.push_back(name);
            }
    for (const std::string& name : rendezvous_order(host, std::move(names)))
        if (result.size() < entries_per_vm)
            result.push_back(others.at(name));
    return result;
}

std::vector<const site_entry*>
entry_duties::entries_of(const std::string& region) const {
    std::vector<const site_entry*> result;
    const auto found = by_region_.find(region);
    if (found == by_region_.end())
        return result;
    result.reserve(found->second.entries.size());
    for (const auto& [name, entry] : found->second.entries)
        result.push_back(&entry);
    return result;
}

std::vector<const site_entry*> entry_duties::all() const {
    std::vector<const site_entry*> result;
    for (const auto& [region, record] : by_region_)
        for (const auto& [name, entry] : record.entries)
            result.push_back(&entry);
    return result;
}

std::size_t entry_duties::size_of(const std::string& region) const {
    const auto found = by_region_.find(region);
    return found == by_region_.end() ? 0 : found->second.entries.size();
}

std::vector<std::string> entry_duties::regions() const {
    std::vector<std::string> result;
    result.reserve(by_region_.size());
    for (const auto& [region, record] : by_region_)
        result.push_back(region);
    return result;
}

bool has_entry(const std::vector<const site_entry*>& entries,
               const std::string& name) {
    return std::any_of(
        entries.begin(), entries.end(),
        [&](const site_entry* entry) { return entry->name == name; });
}

} // namespace ospreystage
