#include <ospreystage/weights/version_plan.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

bool version_plan::on_published(std::uint64_t number, instant published_at,
                                bool is_observed) {
    if (number > in_use_) {
        const auto [found, is_new] = published_.try_emplace(
            number, publication{published_at, is_observed});
        publication& known = found->second;
        if (!is_new && is_observed)
            known = {known.is_observed ? std::min(known.at, published_at)
                                       : published_at,
                     true};
    }
    const auto [found, is_new] = versions_.try_emplace(number);
    found->second.number = number;
    return is_new;
}

void version_plan::on_manifest(std::uint64_t number, manifest description) {
    const auto found = versions_.find(number);
    if (found == versions_.end())
        return;
    found->second.id = version_of(description);
    found->second.description = std::move(description);
}

void version_plan::on_manifest_gone(std::uint64_t number) {
    const auto found = versions_.find(number);
    if (found != versions_.end() && found->second.id.empty())
        versions_.erase(found);
}

bool version_plan::on_held(const digest& id) {
    const auto found =
        std::find_if(versions_.begin(), versions_.end(),
                     [&](const auto& entry) { return entry.second.id == id; });
    if (found == versions_.end())
        return false;
    found->second.is_held = true;
    versions_.erase(versions_.begin(), found);
    return true;
}

void version_plan::on_in_use(std::uint64_t number) {
    in_use_ = number;
    published_.erase(published_.begin(), published_.upper_bound(number));
}

const version_plan::version_record*
version_plan::find(std::uint64_t number) const {
    const auto found = versions_.find(number);
    return found == versions_.end() ? nullptr : &found->second;
}

const version_plan::version_record* version_plan::target() const {
    const version_record* newest = nullptr;
    for (const auto& [number, record] : versions_)
        if (record.is_held || newest == nullptr || !newest->is_held)
            newest = &record;
    return newest;
}

std::vector<requested_version> version_plan::requested() const {
    std::vector<requested_version> result;
    auto priority = static_cast<std::uint32_t>(versions_.size());
    for (const auto& [number, record] : versions_) {
        if (record.id.empty())
            continue;
        requested_version& added = result.emplace_back();
        added.version = record.id;
        added.priority = priority--;
        const auto known = published_.find(number);
        if (known != published_.end() && known->second.is_observed)
            added.published_at = known->second.at;
    }
    return result;
}

std::optional<instant> version_plan::oldest_publication() const {
    if (published_.empty())
        return std::nullopt;
    return published_.begin()->second.at;
}

bool version_plan::is_complete() const {
    return std::all_of(versions_.begin(), versions_.end(),
                       [](const auto& entry) { return entry.second.is_held; });
}

} // namespace ospreystage
