#include <ospreystage/serving/server_selector.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Retry delay for callers when no server can answer: servers take seconds to
/// load weights.
constexpr milliseconds no_server_retry_after{2500};

/// Returns the connections to one server that an entry may open. All entries
/// share the server's connection limit; it resets connections above it.
std::size_t connection_share(const service_description& service,
                             std::uint32_t entries) {
    if (service.max_connections == 0)
        return 0;
    return std::max<std::size_t>(1, service.max_connections / entries);
}

} // namespace

server_selector::server_selector(const backend_registry& servers,
                                 web_client& client, backend_load& load,
                                 backend_availability& availability,
                                 limit_exchange& limits,
                                 metrics& request_metrics,
                                 data_centre_view data_centres)
    : servers_(servers), client_(client), load_(load),
      availability_(availability), limits_(limits), metrics_(request_metrics),
      data_centres_(std::move(data_centres)) {}

selection_result server_selector::choose(const selection_request& request,
                                         instant now) {
    candidates all;
    const std::vector<const backend_server*> allowed = allowed_servers(request);
    if (allowed.empty())
        all.exclusion = exclusion_of(request);
    all.servers = availability_.select(allowed, now);
    const placement_decision decision =
        place(request, all.servers.available, all, now);
    if (const auto* chosen = std::get_if<placement>(&decision))
        return *chosen;
    const placement_decision last_resort =
        place(request, all.servers.last_resort, all, now);
    if (const auto* chosen = std::get_if<placement>(&last_resort))
        return *chosen;
    return refuse(all, decision, request.entries, now);
}

bool server_selector::may_send(const selection_request& request,
                               const placement& chosen, instant now) const {
    const bool is_current =
        chosen.version == 0 || chosen.version >= request.placement.min_version;
    const backend_server* server = servers_.find(chosen.server);
    return is_current && server != nullptr && !server->is_draining &&
           may_run_at(*server, request) &&
           availability_.may_send(server->start(), now);
}

std::optional<milliseconds>
server_selector::pause(const selection_request& request, instant now) {
    const available_servers servers =
        availability_.select(allowed_servers(request), now);
    if (!servers.available.empty() || !servers.next_available)
        return std::nullopt;
    return availability_.retry_after(*servers.next_available, now);
}

void server_selector::count(const selection_refusal& refusal) {
    metrics_.count(
        fmt::format("ospreystage_selection_refusals_total{{reason=\"{}\"}}",
                    refusal.reason));
}

std::vector<const backend_server*>
server_selector::allowed_servers(const selection_request& request) const {
    std::vector<const backend_server*> result =
        servers_.serving(request.service);
    std::erase_if(result, [&](const backend_server* server) {
        return !may_run_at(*server, request);
    });
    return result;
}

/// Returns why no server may run the request, or null if there are none anyway.
const char*
server_selector::exclusion_of(const selection_request& request) const {
    const auto servers = servers_.serving(request.service);
    if (servers.empty())
        return nullptr;
    const bool has_any = std::any_of(servers.begin(), servers.end(),
                                     [&](const backend_server* server) {
                                         return is_in_regions(*server, request);
                                     });
    return has_any ? "data centre is evacuated"
                   : "no server in an allowed region";
}

bool server_selector::is_in_regions(const backend_server& server,
                                    const selection_request& request) const {
    return request.regions.allows_all() ||
           request.regions.allows(data_centres_.region_of(server.data_centre));
}

bool server_selector::may_run_at(const backend_server& server,
                                 const selection_request& request) const {
    return is_in_regions(server, request) &&
           !data_centres_.is_evacuated(server.data_centre);
}

void server_selector::on_availability(const server_start& server,
                                      const availability_statement& statement,
                                      instant now) {
    availability_.on_answer(server, statement, now);
    const backend_server* listed = servers_.find(server.id);
    if (!statement.is_leaving || !statement.is_misdirected || listed == nullptr)
        return;
    // The server that answered may be the other one listed at the address.
    for (const std::string& id : servers_.ids_at(listed->endpoint))
        if (id != server.id)
            availability_.on_answer(servers_.find(id)->start(), statement, now);
}

placement_decision
server_selector::place(const selection_request& request,
                       std::vector<const backend_server*> servers,
                       candidates& all, instant now) {
    const std::size_t share =
        connection_share(*request.placement.service, request.entries);
    std::erase_if(servers, [&](const backend_server* server) {
        return !client_.has_free_connection(server->endpoint, share);
    });
    std::erase_if(servers, [&](const backend_server* server) {
        if (!limits_.is_closed(server->id, now))
            return false;
        all.at_limit.push_back(server);
        return true;
    });
    return load_.place(request.placement, servers, request.entries, now);
}

selection_refusal server_selector::refuse(const candidates& all,
                                          const placement_decision& decision,
                                          std::uint32_t entries, instant now) {
    if (all.exclusion != nullptr)
        return {all.exclusion, no_server_retry_after};
    if (const auto* full = std::get_if<no_capacity>(&decision))
        return {"no server has room in time", full->retry_after};
    if (!all.at_limit.empty())
        return {"servers are at their limits",
                limits_.retry_after(all.at_limit, entries, now)};
    if (all.servers.next_available)
        return {"servers ask for a pause",
                availability_.retry_after(*all.servers.next_available, now)};
    if (all.servers.has_leaving)
        return {"servers are leaving", no_server_retry_after};
    return {"no server can answer", no_server_retry_after};
}

} // namespace ospreystage
