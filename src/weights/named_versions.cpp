#include <ospreystage/log.hpp>
#include <ospreystage/weights/named_versions.hpp>

namespace ospreystage {

namespace {

/// Time before the limit at which older versions get no more requests: the
/// naming was acknowledged before it was learned of, and a request may wait in
/// an engine's queue before it begins.
constexpr milliseconds safety_margin{1800};

} // namespace

bool named_versions::on_named(const std::string& model, std::uint64_t version,
                              bool saw_naming, instant now) {
    named_record& record = models_[model];
    if (version <= record.version)
        return false;
    record = {version, now, saw_naming};
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
    return found->second;
}

std::uint64_t named_versions::least(const std::string& model,
                                    instant now) const {
    const auto record = find(model);
    if (!record)
        return 0;
    const bool is_due =
        !record->saw_naming || now - record->learned > limit_ - safety_margin;
    return is_due ? record->version : 0;
}

nlohmann::json named_versions::dump() const {
    nlohmann::json state = nlohmann::json::object();
    for (const auto& [model, record] : models_)
        state[model] = {{"version", record.version},
                        {"saw_naming", record.saw_naming}};
    return state;
}

} // namespace ospreystage
