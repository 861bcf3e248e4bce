#include <ospreystage/fleet/entry_list.hpp>

#include <algorithm>

namespace ospreystage {

void entry_list::on_listed(const std::string& name, const address& callers) {
    places_[name] = {callers, std::nullopt};
}

void entry_list::on_removed(const std::string& name, instant now) {
    const auto found = places_.find(name);
    if (found == places_.end() || found->second.missing_until)
        return;
    const bool may_return = returned_ && now - *returned_ < return_time_;
    found->second.missing_until = may_return ? *returned_ + return_time_ : now;
    advance(now);
}

void entry_list::retain(const std::vector<std::string>& names, instant now) {
    std::vector<std::string> missing;
    for (const auto& [name, record] : places_)
        if (std::find(names.begin(), names.end(), name) == names.end())
            missing.push_back(name);
    for (const std::string& name : missing)
        on_removed(name, now);
}

void entry_list::advance(instant now) {
    std::erase_if(places_, [&](const auto& entry) {
        return entry.second.missing_until && *entry.second.missing_until <= now;
    });
}

std::vector<address> entry_list::callers() const {
    std::vector<address> result;
    for (const auto& [name, record] : places_)
        result.push_back(record.callers);
    return result;
}

} // namespace ospreystage
