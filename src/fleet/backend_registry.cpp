#include <ospreystage/core/log.hpp>
#include <ospreystage/fleet/backend_registry.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

std::optional<std::uint64_t>
backend_server::complete_version(std::uint32_t count) const {
    std::vector<held_layers> sorted = layers;
    std::sort(sorted.begin(), sorted.end(),
              [](const held_layers& left, const held_layers& right) {
                  return left.from < right.from;
              });
    std::uint32_t next = 0;
    std::uint64_t version = 0;
    for (const held_layers& range : sorted) {
        if (range.from > next || (next > 0 && range.version != version))
            return std::nullopt;
        version = range.version;
        next = std::max(next, range.to);
    }
    if (next < count || next == 0)
        return std::nullopt;
    return version;
}

backend_registry::backend_registry(const options& limits) : limits_(limits) {}

void backend_registry::on_unreachable(instant now) {
    if (!unreachable_since_)
        unreachable_since_ = std::max(now, last_listed_at_.value_or(now));
}

bool backend_registry::on_outage_ended(instant ended) {
    const bool is_known = outage_ended_ && *outage_ended_ >= ended;
    if (is_known || !has_list_ ||
        ended - origin_.read_at <= limits_.max_list_age ||
        ended - origin_.read_at < limits_.min_lapse_time)
        return false;
    outage_ended_ = ended;
    return true;
}

/// Returns true if the list from `next` ends failed reads that were an outage
/// of the store: nobody is known to have read the list meanwhile.
bool backend_registry::is_outage(const state_origin& next, instant now) const {
    if (!unreachable_since_ || next.read_at <= *unreachable_since_ ||
        now - *unreachable_since_ <= limits_.outage_after)
        return false;
    if (has_list_ && next.read_at - origin_.read_at < limits_.min_lapse_time)
        return false;
    const bool has_witness = has_list_ && next.unbroken_since &&
                             *next.unbroken_since <= origin_.read_at;
    return !has_witness;
}

/// Records a read of the list, which ends the time without one.
void backend_registry::on_read(state_origin origin, instant now) {
    const std::int64_t known_era = origin_.position.era;
    if (known_era != 0 && origin.position.era > known_era)
        era_began_ = outage_ended_ = now;
    if (is_outage(origin, now))
        outage_ended_ = now;
    // A list from before the failed reads does not end them.
    if (unreachable_since_ && origin.read_at > *unreachable_since_)
        unreachable_since_.reset();
    origin_ = std::move(origin);
    last_listed_at_ = now;
    has_list_ = true;
}

void backend_registry::on_confirmed(state_origin origin, instant now) {
    on_read(std::move(origin), now);
    for (auto& [id, record] : servers_)
        if (!record.remove_at)
            record.listed_at = now;
    advance(now);
}

void backend_registry::on_list(std::vector<backend_server> listed, instant now,
                               state_origin origin) {
    on_read(std::move(origin), now);
    absl::flat_hash_set<std::string> seen;
    bool has_new_address = false;
    for (backend_server& entry : listed) {
        if (is_undone_departure(entry, now))
            continue;
        seen.insert(entry.id);
        if (is_undone_start(entry, now))
            entry = servers_.at(entry.id).server;
        const departed_server* departed = find_departed(entry);
        const auto [found, is_new] = servers_.try_emplace(entry.id);
        server_record& record = found->second;
        const bool is_same_start =
            !is_new && record.server.started_unix_ms == entry.started_unix_ms;
        entry.is_draining |=
            (is_same_start && record.server.is_draining) ||
            (is_new && departed != nullptr && departed->is_draining);
        has_new_address |= is_new || record.server.endpoint != entry.endpoint;
        if (is_new || record.server.is_draining != entry.is_draining ||
            record.server.started_unix_ms != entry.started_unix_ms)
            log_event(log_level::info, "backend_server_listed",
                      with_list({{"id", entry.id},
                                 {"service", entry.service},
                                 {"address", to_string(entry.endpoint)},
                                 {"draining", entry.is_draining},
                                 {"started_unix_ms", entry.started_unix_ms}},
                                now));
        record.server = std::move(entry);
        record.listed_at = now;
        record.remove_at.reset();
    }
    if (has_new_address)
        index_addresses();
    const bool may_return =
        outage_ended_ && now - *outage_ended_ < limits_.reregistration_time;
    for (auto& [id, record] : servers_) {
        if (seen.contains(id) || record.remove_at)
            continue;
        const bool is_kept = may_return && record.listed_at < *outage_ended_;
        record.remove_at =
            is_kept ? *outage_ended_ + limits_.reregistration_time : now;
        if (is_kept)
            log_event(log_level::info, "backend_server_kept",
                      with_list({{"id", id},
                                 {"outage_ended_ms_ago",
                                  (now - *outage_ended_) / milliseconds(1)},
                                 {"kept_ms",
                                  (*record.remove_at - now) / milliseconds(1)}},
                                now));
    }
    advance(now);
}

void backend_registry::advance(instant now) {
    const auto removed = absl::erase_if(servers_, [&](const auto& entry) {
        const server_record& record = entry.second;
        if (!record.remove_at || *record.remove_at > now)
            return false;
        departed_[entry.first] = {record.server.started_unix_ms,
                                  record.server.is_draining, now};
        log_event(log_level::info, "backend_server_gone",
                  with_list({{"id", entry.first}}, now));
        return true;
    });
    absl::erase_if(departed_, [&](const auto& entry) {
        return now - entry.second.left_at > limits_.departed_retention;
    });
    if (removed > 0)
        index_addresses();
}

/// Returns what is known of the same start of a server that had departed.
const backend_registry::departed_server*
backend_registry::find_departed(const backend_server& server) const {
    const auto found = departed_.find(server.id);
    const bool is_same =
        found != departed_.end() &&
        found->second.started_unix_ms == server.started_unix_ms;
    return is_same ? &found->second : nullptr;
}

/// Returns true while a list may show servers as they were before, because the
/// store has returned from an older copy and they have not all written again.
bool backend_registry::may_be_older_copy(instant now) const {
    return era_began_ && now - *era_began_ < limits_.reregistration_time;
}

/// Returns true if the list shows a departed server, or an earlier start of it,
/// only because its copy of the store is older.
bool backend_registry::is_undone_departure(const backend_server& server,
                                           instant now) const {
    const auto departed = departed_.find(server.id);
    return may_be_older_copy(now) && departed != departed_.end() &&
           departed->second.started_unix_ms >= server.started_unix_ms &&
           departed->second.left_at < *era_began_ &&
           !servers_.contains(server.id);
}

/// Returns true if the list shows an earlier start of a server than the known
/// one only because its copy of the store is older.
bool backend_registry::is_undone_start(const backend_server& server,
                                       instant now) const {
    const auto known = servers_.find(server.id);
    return may_be_older_copy(now) && known != servers_.end() &&
           known->second.server.started_unix_ms > server.started_unix_ms;
}

void backend_registry::index_addresses() {
    ids_by_address_.clear();
    for (const auto& [id, record] : servers_)
        ids_by_address_[record.server.endpoint].push_back(id);
}

std::vector<const backend_server*>
backend_registry::serving(const std::string& service) const {
    std::vector<const backend_server*> result;
    for (const auto& [id, record] : servers_)
        if (record.server.service == service && !record.server.is_draining)
            result.push_back(&record.server);
    return result;
}

const backend_server* backend_registry::find(const std::string& id) const {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second.server;
}

std::vector<const backend_server*> backend_registry::all() const {
    std::vector<const backend_server*> result;
    for (const auto& [id, record] : servers_)
        result.push_back(&record.server);
    return result;
}

const std::vector<std::string>&
backend_registry::ids_at(const address& endpoint) const {
    static const std::vector<std::string> none;
    const auto found = ids_by_address_.find(endpoint);
    return found == ids_by_address_.end() ? none : found->second;
}

nlohmann::json backend_registry::with_list(nlohmann::json fields,
                                           instant now) const {
    fields["list_era"] = origin_.position.era;
    fields["list_revision"] = origin_.position.revision;
    fields["list_age_ms"] = (now - origin_.read_at) / milliseconds(1);
    fields["list_source"] = origin_.source.empty() ? "store" : origin_.source;
    fields["list_known_by"] = to_string(origin_.way);
    return fields;
}

std::optional<milliseconds> backend_registry::age(instant now) const {
    if (!has_list_)
        return std::nullopt;
    return std::chrono::duration_cast<milliseconds>(now - origin_.read_at);
}

} // namespace ospreystage
