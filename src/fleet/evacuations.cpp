#include <ospreystage/fleet/evacuations.hpp>

#include <algorithm>

namespace ospreystage {

void evacuations::on_era(std::int64_t era, instant now) {
    if (era <= era_)
        return;
    era_ = era;
    era_began_ = now;
}

evacuations::changes evacuations::update(const std::vector<std::string>& listed,
                                         std::int64_t era, instant now) {
    changes result;
    if (era < era_)
        return result; // Older than what is known to be in force.
    on_era(era, now);
    result.ended = advance(now);
    for (const std::string& data_centre : listed) {
        const auto [found, is_new] =
            records_.try_emplace(data_centre, record{now, era, std::nullopt});
        found->second.era = era;
        found->second.remove_at.reset();
        if (is_new)
            result.begun.push_back(data_centre);
    }
    const instant end = era_began_ + limits_.hold_time;
    for (auto& [data_centre, held] : records_) {
        if (std::find(listed.begin(), listed.end(), data_centre) !=
            listed.end())
            continue;
        if (held.era == era || now >= end)
            result.ended.push_back(data_centre);
        else if (!held.remove_at)
            result.held.push_back(data_centre);
        held.remove_at = end;
    }
    for (const std::string& data_centre : result.ended)
        records_.erase(data_centre);
    return result;
}

std::vector<std::string> evacuations::advance(instant now) {
    std::vector<std::string> ended;
    for (const auto& [data_centre, held] : records_)
        if (!is_in_force(held, now))
            ended.push_back(data_centre);
    for (const std::string& data_centre : ended)
        records_.erase(data_centre);
    return ended;
}

bool evacuations::contains(const std::string& data_centre, instant now) const {
    const auto found = records_.find(data_centre);
    return found != records_.end() && is_in_force(found->second, now);
}

std::optional<milliseconds> evacuations::age(const std::string& data_centre,
                                             instant now) const {
    const auto found = records_.find(data_centre);
    if (found == records_.end() || !is_in_force(found->second, now))
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now -
                                                    found->second.learned_at);
}

std::size_t evacuations::size(instant now) const {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [&](const auto& item) {
            return is_in_force(item.second, now);
        }));
}

} // namespace ospreystage
