#include <ospreystage/serving/cold_servers.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>

namespace ospreystage {

const char* to_string(cold_evidence evidence) noexcept {
    switch (evidence) {
    case cold_evidence::registration:
        return "registration";
    case cold_evidence::new_start:
        return "new start";
    case cold_evidence::returned:
        return "data centre returned";
    case cold_evidence::failure:
        return "connection ended";
    case cold_evidence::stall:
        return "process stood still";
    }
    return "";
}

// ---- Observers -------------------------------------------------------------

/// Returns the description of a service that limits cold servers, or null.
const service_description*
cold_servers::service_of(const server_record& record) const {
    const service_description* service = options_.service(record.service);
    const bool has_limit = service != nullptr &&
                           service->cold_requests_per_s > 0 &&
                           service->cold_time > milliseconds(0);
    return has_limit ? service : nullptr;
}

cold_servers::cold_span
cold_servers::span_of(const server_record& record,
                      const service_description& service, instant now) const {
    cold_span result{instant::min(), cold_evidence::registration};
    if (record.stated_end)
        result.end = *record.stated_end;
    if (record.started_at) {
        const instant end = *record.started_at + service.cold_time;
        // A start from before the one that the statement is about does not
        // bound its end.
        const bool bounds =
            !record.stated_end ||
            end >= *record.stated_end - options_.max_registration_age;
        if (!record.stated_end || (bounds && end < result.end))
            result = {end, cold_evidence::new_start};
    }
    if (record.suspected_at) {
        const instant end = *record.suspected_at + service.cold_time;
        if (end > result.end)
            result = {end, record.suspected_by};
    }
    // Requests may be handled before the first tick after a stall.
    if (has_stalled(now) && now + service.cold_time > result.end)
        result = {now + service.cold_time, cold_evidence::stall};
    return result;
}

bool cold_servers::has_stalled(instant now) const {
    return last_tick_ && now - *last_tick_ > options_.max_stall;
}

milliseconds cold_servers::remaining(const std::string& server,
                                     instant now) const {
    const auto found = records_.find(server);
    const service_description* service =
        found == records_.end() ? nullptr : service_of(found->second);
    if (service == nullptr)
        return milliseconds(0);
    const instant end = span_of(found->second, *service, now).end;
    return end <= now ? milliseconds(0)
                      : std::chrono::ceil<milliseconds>(end - now);
}

std::optional<double> cold_servers::limit(const std::string& server,
                                          instant now) const {
    if (remaining(server, now) == milliseconds(0))
        return std::nullopt;
    return service_of(records_.at(server))->cold_requests_per_s;
}

std::size_t cold_servers::size(instant now) const {
    return static_cast<std::size_t>(
        std::count_if(records_.begin(), records_.end(), [&](const auto& item) {
            return remaining(item.first, now) > milliseconds(0);
        }));
}

// ---- Events ----------------------------------------------------------------

void cold_servers::on_listed(server_record& record,
                             const backend_server& server,
                             instant read_at) const {
    if (!server.cold_remaining)
        return;
    const milliseconds stated = *server.cold_remaining;
    const auto previous = record.last_remaining;
    record.last_remaining = stated;
    if (stated == milliseconds(0)) {
        // The heartbeat was later than what suggested a new cold time.
        if (record.suspected_at &&
            *record.suspected_at < read_at - options_.registration_lifetime)
            record.suspected_at.reset();
        return;
    }
    const instant end = read_at + stated;
    const bool is_known = record.stated_end && previous &&
                          stated <= *previous + options_.tolerance &&
                          end <= *record.stated_end +
                                     options_.max_registration_age +
                                     options_.tolerance;
    if (is_known) {
        record.stated_end = std::min(*record.stated_end, end);
        return;
    }
    // It was warm before and is cold again: the start does not bound the end.
    if (previous)
        record.started_at.reset();
    record.stated_end = end;
}

void cold_servers::on_list(const std::vector<const backend_server*>& servers,
                           instant read_at, instant now) {
    absl::flat_hash_set<std::string> listed;
    for (const backend_server* server : servers) {
        listed.insert(server->id);
        const auto [found, is_new_id] = records_.try_emplace(server->id);
        server_record& record = found->second;
        if (is_new_id || record.start != server->start()) {
            server_record next;
            next.start = server->start();
            next.was_cold = record.was_cold;
            next.last_evidence = record.last_evidence;
            // The start may have been seen before a list showed it.
            if (record.started_at &&
                now - *record.started_at <= 2 * options_.max_registration_age)
                next.started_at = record.started_at;
            next.suspected_at = record.suspected_at;
            next.suspected_by = record.suspected_by;
            if (!server->cold_remaining && !next.started_at)
                next.started_at = now;
            record = std::move(next);
        }
        record.service = server->service;
        record.data_centre = server->data_centre;
        on_listed(record, *server, read_at);
    }
    absl::erase_if(records_, [&](const auto& item) {
        return !listed.contains(item.first);
    });
}

void cold_servers::on_start(const std::string& server, milliseconds started_ago,
                            instant now) {
    const auto found = records_.find(server);
    if (found == records_.end())
        return;
    server_record& record = found->second;
    const instant started = now - started_ago;
    if (record.started_at &&
        started <= *record.started_at + options_.tolerance) {
        record.started_at = std::min(*record.started_at, started);
        return;
    }
    // What was stated before is about an earlier start if it ends sooner.
    const service_description* service = service_of(record);
    if (service != nullptr && record.stated_end &&
        started + service->cold_time > *record.stated_end + options_.tolerance)
        record.stated_end.reset();
    record.started_at = started;
}

void cold_servers::suspect(server_record& record, cold_evidence evidence,
                           instant now) {
    record.suspected_at = now;
    record.suspected_by = evidence;
}

void cold_servers::on_return(const std::string& data_centre, instant now) {
    for (auto& [id, record] : records_)
        if (record.data_centre == data_centre)
            suspect(record, cold_evidence::returned, now);
}

std::optional<start_suspicion>
cold_servers::on_failure(const std::string& server, instant now) {
    const auto found = records_.find(server);
    if (found == records_.end() || service_of(found->second) == nullptr)
        return std::nullopt;
    server_record& record = found->second;
    suspect(record, cold_evidence::failure, now);
    const bool is_sent =
        record.suspicion_sent_at &&
        now - *record.suspicion_sent_at < options_.min_suspicion_interval;
    if (is_sent)
        return std::nullopt;
    record.suspicion_sent_at = now;
    return start_suspicion{server, record.start.started_unix_ms};
}

void cold_servers::on_suspicion(const start_suspicion& suspicion, instant now) {
    const auto found = records_.find(suspicion.server);
    // A later start that is listed already has said what it is.
    if (found != records_.end() &&
        found->second.start.started_unix_ms <= suspicion.started_unix_ms)
        suspect(found->second, cold_evidence::failure, now);
}

void cold_servers::on_tick(instant now) {
    if (has_stalled(now))
        for (auto& [id, record] : records_)
            suspect(record, cold_evidence::stall, now);
    last_tick_ = now;
}

std::vector<cold_change> cold_servers::take_changes(instant now) {
    std::vector<cold_change> result;
    for (auto& [id, record] : records_) {
        const service_description* service = service_of(record);
        cold_span span{instant::min(), record.last_evidence};
        if (service != nullptr)
            span = span_of(record, *service, now);
        const bool is_cold = now < span.end;
        if (is_cold)
            record.last_evidence = span.evidence;
        if (is_cold == record.was_cold)
            continue;
        record.was_cold = is_cold;
        result.push_back(
            {record.start, record.service, is_cold, record.last_evidence,
             is_cold ? std::chrono::ceil<milliseconds>(span.end - now)
                     : milliseconds(0)});
    }
    return result;
}

} // namespace ospreystage
