#include <ospreystage/core/ids.hpp>
#include <ospreystage/fleet/entry_duties.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Choices that are kept for a region, beyond the VMs of any site; addresses
/// change over time.
constexpr std::size_t max_chosen = 4096;

const std::vector<const site_entry*> no_entries;

/// Returns the relays of a region by their slots. In a small region each entry
/// has a slot of its own.
std::map<std::string, std::string>
relays_of(const std::map<std::string, site_entry>& entries) {
    std::vector<std::string> names;
    names.reserve(entries.size());
    for (const auto& [name, entry] : entries)
        names.push_back(name);
    std::map<std::string, std::string> relays;
    if (names.size() <= entry_duties::relays_per_region) {
        for (const std::string& name : names)
            relays[name] = name;
        return relays;
    }
    for (std::size_t slot = 0; slot < entry_duties::relays_per_region; ++slot) {
        const std::string label = fmt::format("relay {}", slot);
        relays[label] = rendezvous_order(label, names).front();
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
    std::vector<std::string> slots;
    slots.reserve(record.relays.size());
    for (const auto& [slot, relay] : record.relays)
        slots.push_back(slot);
    for (const std::string& slot : rendezvous_order(host, std::move(slots))) {
        const std::string& relay = record.relays.at(slot);
        if (result.size() < entries_per_vm && !has_entry(result, relay))
            result.push_back(&record.entries.at(relay));
    }
    return result;
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
