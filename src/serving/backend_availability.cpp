#include <ospreystage/core/log.hpp>
#include <ospreystage/serving/backend_availability.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

/// Callers that were refused during a pause return within this part of what was
/// left of it, after its end.
constexpr double return_spread_share = 0.5;
constexpr milliseconds min_return_spread{250};

} // namespace

backend_availability::backend_availability(const options& limits)
    : limits_(limits), random_(std::random_device{}()) {}

// ---- Observers -------------------------------------------------------------

/// Returns what this start of a server has stated, or null.
const backend_availability::server_record*
backend_availability::find(const server_start& server) const {
    const auto found = records_.find(server.id);
    return found != records_.end() &&
                   found->second.started_unix_ms == server.started_unix_ms
               ? &found->second
               : nullptr;
}

bool backend_availability::is_last_resort(const server_record& record,
                                          instant now) const {
    return now - *record.leaving_since < limits_.last_resort_time;
}

available_servers
backend_availability::select(const std::vector<const backend_server*>& servers,
                             instant now) const {
    available_servers result;
    for (const backend_server* server : servers) {
        const server_record* found = find(server->start());
        if (found == nullptr) {
            result.available.push_back(server);
            continue;
        }
        const server_record& record = *found;
        if (record.leaving_since)
            result.has_leaving = true;
        if (record.paused_until > now) {
            if (!record.leaving_since)
                result.next_available =
                    std::min(result.next_available.value_or(instant::max()),
                             record.paused_until);
        } else if (!record.leaving_since) {
            result.available.push_back(server);
        } else if (is_last_resort(record, now)) {
            result.last_resort.push_back(server);
        }
    }
    return result;
}

bool backend_availability::may_send(const server_start& server,
                                    instant now) const {
    const server_record* record = find(server);
    return record == nullptr ||
           (record->paused_until <= now &&
            (!record->leaving_since || is_last_resort(*record, now)));
}

bool backend_availability::is_leaving(const server_start& server) const {
    const server_record* record = find(server);
    return record != nullptr && record->leaving_since.has_value();
}

milliseconds backend_availability::retry_after(instant next_available,
                                               instant now) {
    const auto remaining = std::max(
        std::chrono::ceil<milliseconds>(next_available - now), milliseconds(0));
    const auto spread = std::max(std::chrono::duration_cast<milliseconds>(
                                     remaining * return_spread_share),
                                 min_return_spread);
    std::uniform_int_distribution<std::int64_t> draw(0, spread.count());
    return remaining + milliseconds(draw(random_));
}

std::size_t backend_availability::leaving() const noexcept {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [](const auto& item) {
            return item.second.leaving_since.has_value();
        }));
}

std::size_t backend_availability::pausing(instant now) const noexcept {
    return static_cast<std::size_t>(std::count_if(
        records_.begin(), records_.end(),
        [now](const auto& item) { return item.second.paused_until > now; }));
}

// ---- Events ----------------------------------------------------------------

void backend_availability::on_answer(const server_start& server,
                                     const availability_statement& statement,
                                     instant now) {
    if (!statement.is_leaving && !statement.pause)
        return;
    const auto [found, is_new] = records_.try_emplace(server.id);
    server_record& record = found->second;
    if (!is_new && server.started_unix_ms < record.started_unix_ms)
        return;
    if (is_new || record.started_unix_ms != server.started_unix_ms)
        record = {.started_unix_ms = server.started_unix_ms,
                  .leaving_since = {},
                  .last_listed = now};
    if (statement.is_leaving && !record.leaving_since) {
        record.leaving_since = now;
        log_event(log_level::info, "server_leaving",
                  {{"server", server.id},
                   {"started_unix_ms", server.started_unix_ms},
                   {"source", "answer"}});
    }
    if (statement.pause && now + *statement.pause > record.paused_until) {
        record.paused_until = now + *statement.pause;
        record.pause_stated_at = now;
        log_event(log_level::info, "server_paused",
                  {{"server", server.id},
                   {"started_unix_ms", server.started_unix_ms},
                   {"source", "answer"},
                   {"pause_ms", statement.pause->count()}});
    }
}

void backend_availability::on_list(
    const std::vector<const backend_server*>& servers, instant now) {
    // Starts that this list shows first may have begun since then.
    const instant unlisted_since =
        last_list_.value_or(now) - limits_.listing_delay;
    last_list_ = now;
    for (const backend_server* server : servers) {
        const auto found = records_.find(server->id);
        if (found == records_.end())
            continue;
        server_record& record = found->second;
        if (server->started_unix_ms <= record.started_unix_ms ||
            record.paused_until <= now ||
            record.pause_stated_at < unlisted_since)
            continue;
        record.started_unix_ms = server->started_unix_ms;
        record.leaving_since.reset();
        log_event(
            log_level::info, "server_paused",
            {{"server", server->id},
             {"started_unix_ms", server->started_unix_ms},
             {"source", "earlier start"},
             {"pause_ms", (record.paused_until - now) / milliseconds(1)}});
    }
}

void backend_availability::retain(
    const absl::flat_hash_set<std::string>& listed, instant now) {
    absl::erase_if(records_, [&](auto& item) {
        if (listed.contains(item.first))
            item.second.last_listed = now;
        return now - item.second.last_listed > limits_.retention;
    });
}

} // namespace ospreystage
