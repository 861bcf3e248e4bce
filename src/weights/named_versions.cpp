#include <ospreystage/core/log.hpp>
#include <ospreystage/weights/named_versions.hpp>

namespace ospreystage {

namespace {

/// Time before the limit at which older versions get no more requests: the
/// naming was acknowledged before it was learned of, and a request may wait in
/// an engine's queue before it begins.
constexpr milliseconds safety_margin{1800};

} // namespace

bool named_versions::is_due(const named_record& record, instant now) const {
    return !record.saw_naming || now - record.learned > limit_ - safety_margin;
}

bool named_versions::on_named(const std::string& model, std::uint64_t version,
                              bool saw_naming, instant now) {
    std::vector<named_record>& records = models_[model];
    if (!records.empty() && version <= records.back().version)
        return false;
    records.push_back({version, now, saw_naming});
    while (records.size() > 1 && is_due(records[1], now))
        records.erase(records.begin());
    log_event(
        log_level::info, "version_named",
        {{"model", model}, {"version", version}, {"saw_naming", saw_naming}});
    return true;
}

std::optional<named_versions::named_record>
named_versions::find(const std::string& model) const {
    const auto found = models_.find(model);
    if (found == models_.end())
        return std::nullopt;
    return found->second.back();
}

std::uint64_t named_versions::least(const std::string& model,
                                    instant now) const {
    const auto found = models_.find(model);
    if (found == models_.end())
        return 0;
    std::uint64_t least = 0;
    for (const named_record& record : found->second)
        if (is_due(record, now))
            least = record.version;
    return least;
}

} // namespace ospreystage
