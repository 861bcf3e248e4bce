#include <ospreystage/serving/directory_selection.hpp>

#include <absl/strings/match.h>

#include <algorithm>
#include <iterator>

namespace ospreystage {

namespace {

bool allows(const route* each, const std::string& region) {
    return std::find(each->regions.begin(), each->regions.end(), region) !=
           each->regions.end();
}

template <typename Condition>
std::vector<listed_entry> filter(const std::vector<listed_entry>& entries,
                                 Condition is_selected) {
    std::vector<listed_entry> result;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(result),
                 is_selected);
    return result;
}

} // namespace

std::vector<listed_entry>
select_entries(const std::vector<listed_entry>& entries,
               const std::vector<route>& routes, const std::string& host,
               const std::string& caller_region) {
    const std::string name = host.substr(0, host.find(':'));
    std::vector<const route*> restricted;
    for (const route& each : routes)
        if (!each.regions.empty() && absl::EqualsIgnoreCase(each.host, name))
            restricted.push_back(&each);
    if (restricted.empty())
        return entries;
    const auto is_local = [&](const listed_entry& entry) {
        return !entry.region.empty() && entry.region == caller_region;
    };
    auto selected = filter(entries, [&](const listed_entry& entry) {
        return is_local(entry) ||
               std::all_of(restricted.begin(), restricted.end(),
                           [&](const route* each) {
                               return allows(each, entry.region);
                           });
    });
    if (selected.empty())
        selected = filter(entries, [&](const listed_entry& entry) {
            return std::any_of(
                restricted.begin(), restricted.end(),
                [&](const route* each) { return allows(each, entry.region); });
        });
    return selected.empty() ? entries : selected;
}

} // namespace ospreystage
