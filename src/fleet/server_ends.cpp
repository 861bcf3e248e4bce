#include <ospreystage/fleet/server_ends.hpp>

#include <utility>

namespace ospreystage {

std::vector<ended_server>
server_ends::update(const std::vector<const backend_server*>& listed) {
    absl::flat_hash_map<std::string, known_server> next;
    for (const backend_server* server : listed)
        next[server->id] = {server->service, server->started_unix_ms,
                            server->is_draining};
    std::vector<ended_server> ended;
    for (const auto& [id, server] : known_) {
        const auto found = next.find(id);
        const bool goes_on =
            found != next.end() &&
            found->second.started_unix_ms <= server.started_unix_ms;
        if (!goes_on && !server.is_draining)
            ended.push_back({id, server.service});
    }
    known_ = std::move(next);
    return ended;
}

} // namespace ospreystage
