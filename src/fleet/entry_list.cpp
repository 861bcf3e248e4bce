#include <ospreystage/fleet/entry_list.hpp>

#include <algorithm>

namespace ospreystage {

void entry_list::on_listed(const std::string& name, const address& callers,
                           instant now, const std::string& region) {
    entries_[name] = {{callers, region}, now, std::nullopt};
}

void entry_list::on_removed(const std::string& name, instant now) {
    const auto found = entries_.find(name);
    if (found == entries_.end() || found->second.remove_at)
        return;
    const bool may_return = outage_ended_ &&
                            now - *outage_ended_ < reregistration_time_ &&
                            found->second.listed_at < *outage_ended_;
    found->second.remove_at =
        may_return ? *outage_ended_ + reregistration_time_ : now;
    advance(now);
}

void entry_list::retain(const std::vector<std::string>& names, instant now) {
    std::vector<std::string> missing;
    for (const auto& [name, record] : entries_)
        if (std::find(names.begin(), names.end(), name) == names.end())
            missing.push_back(name);
    for (const std::string& name : missing)
        on_removed(name, now);
}

void entry_list::advance(instant now) {
    std::erase_if(entries_, [&](const auto& entry) {
        return entry.second.remove_at && *entry.second.remove_at <= now;
    });
}

std::vector<address> entry_list::caller_addresses() const {
    std::vector<address> result;
    for (const auto& [name, record] : entries_)
        result.push_back(record.entry.callers);
    return result;
}

std::vector<listed_entry> entry_list::all() const {
    std::vector<listed_entry> result;
    for (const auto& [name, record] : entries_)
        result.push_back(record.entry);
    return result;
}

} // namespace ospreystage
