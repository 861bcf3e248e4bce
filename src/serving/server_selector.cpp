#include <ospreystage/serving/server_selector.hpp>

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
                                 limit_exchange& limits)
    : servers_(servers), client_(client), load_(load),
      availability_(availability), limits_(limits) {}

selection_result server_selector::choose(const selection_request& request,
                                         instant now) {
    candidates all;
    all.servers = availability_.select(servers_.serving(request.service), now);
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
