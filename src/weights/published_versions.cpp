#include <ospreystage/core/log.hpp>
#include <ospreystage/weights/published_versions.hpp>

namespace ospreystage {

namespace {

/// Time before the limit at which older versions get no more requests, because
/// a request may wait in an engine's queue before it begins.
constexpr milliseconds send_margin{1800};
/// Time before the limit at which requests that have not begun are withdrawn:
/// the publication was acknowledged before it was received here, and an engine
/// takes a while to notice that a connection was closed.
constexpr milliseconds begin_margin{1000};

} // namespace

bool published_versions::is_due(const publication& record, milliseconds margin,
                                instant now) const {
    return !record.is_observed || now - record.received_at > limit_ - margin;
}

bool published_versions::on_published(const std::string& model,
                                      std::uint64_t version, bool is_observed,
                                      instant now) {
    std::vector<publication>& records = models_[model];
    if (!records.empty() && version <= records.back().version)
        return false;
    records.push_back({version, now, is_observed});
    while (records.size() > 1 && is_due(records[1], begin_margin, now))
        records.erase(records.begin());
    log_event(
        log_level::info, "version_named",
        {{"model", model}, {"version", version}, {"saw_naming", is_observed}});
    return true;
}

std::optional<published_versions::publication>
published_versions::find(const std::string& model) const {
    const auto found = models_.find(model);
    if (found == models_.end())
        return std::nullopt;
    return found->second.back();
}

std::uint64_t published_versions::min_version(const std::string& model,
                                              instant now) const {
    return newest_due(model, send_margin, now);
}

std::uint64_t published_versions::min_begin_version(const std::string& model,
                                                    instant now) const {
    return newest_due(model, begin_margin, now);
}

std::uint64_t published_versions::newest_due(const std::string& model,
                                             milliseconds margin,
                                             instant now) const {
    const auto found = models_.find(model);
    if (found == models_.end())
        return 0;
    std::uint64_t result = 0;
    for (const publication& record : found->second)
        if (is_due(record, margin, now))
            result = record.version;
    return result;
}

} // namespace ospreystage
