#include <ospreystage/core/ids.hpp>
#include <ospreystage/fleet/entry_duties.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Choices that are kept, beyond the VMs of any site; addresses change over
/// time.
constexpr std::size_t max_chosen = 16'384;

} // namespace

void entry_duties::set_entries(
    const std::map<std::string, site_entry>& entries) {
    chosen_.clear();
    by_region_.clear();
    for (const auto& [name, entry] : entries)
        by_region_[entry.region][name] = entry;
}

const std::vector<const site_entry*>&
entry_duties::responsible(const std::string& region,
                          const std::string& host) const {
    if (chosen_.size() >= max_chosen)
        chosen_.clear();
    const auto [known, is_new] = chosen_.try_emplace({region, host});
    std::vector<const site_entry*>& result = known->second;
    const auto found = by_region_.find(region);
    if (!is_new || found == by_region_.end())
        return result;
    std::vector<std::string> names;
    names.reserve(found->second.size());
    for (const auto& [name, entry] : found->second)
        names.push_back(name);
    std::vector<std::string> order = rendezvous_order(host, std::move(names));
    order.resize(std::min(order.size(), entries_per_vm));
    result.reserve(order.size());
    for (const std::string& name : order)
        result.push_back(&found->second.at(name));
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
    for (const auto& [other, entries] : by_region_)
        if (other != region)
            for (const auto& [name, entry] : entries) {
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
    result.reserve(found->second.size());
    for (const auto& [name, entry] : found->second)
        result.push_back(&entry);
    return result;
}

std::vector<const site_entry*> entry_duties::all() const {
    std::vector<const site_entry*> result;
    for (const auto& [region, entries] : by_region_)
        for (const auto& [name, entry] : entries)
            result.push_back(&entry);
    return result;
}

std::size_t entry_duties::size_of(const std::string& region) const {
    const auto found = by_region_.find(region);
    return found == by_region_.end() ? 0 : found->second.size();
}

std::vector<std::string> entry_duties::regions() const {
    std::vector<std::string> result;
    result.reserve(by_region_.size());
    for (const auto& [region, entries] : by_region_)
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
