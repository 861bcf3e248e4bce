#include <ospreystage/fleet/entry_registrations.hpp>

#include <cstddef>
#include <utility>

namespace ospreystage {

namespace {

/// More entries than a site has; further departures are not remembered.
constexpr std::size_t max_departed = 1024;

} // namespace

void entry_registrations::depart(const std::string& name,
                                 std::int64_t revision) {
    if (departed_.size() < max_departed || departed_.contains(name))
        departed_[name] = revision;
}

void entry_registrations::on_read(
    const std::vector<registration_change>& changes, std::int64_t era,
    bool is_snapshot) {
    std::map<std::string, std::int64_t> before;
    if (is_snapshot)
        before = std::exchange(registered_, {});
    for (const registration_change& change : changes) {
        const auto found = registered_.find(change.name);
        if (!change.is_removed) {
            registered_[change.name] = change.revision;
        } else if (found != registered_.end()) {
            depart(found->first, found->second);
            registered_.erase(found);
        }
    }
    // An older copy lacks entries that have registered since and not left.
    if (std::exchange(era_, era) != era)
        return;
    for (const auto& [name, revision] : before)
        if (!registered_.contains(name))
            depart(name, revision);
}

bool entry_registrations::is_undone_departure(const std::string& name,
                                              std::int64_t revision,
                                              instant now) const {
    const auto found = departed_.find(name);
    return lapse_ && now < *lapse_ && found != departed_.end() &&
           found->second == revision;
}

} // namespace ospreystage
