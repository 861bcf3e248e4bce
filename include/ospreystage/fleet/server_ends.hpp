#pragma once

#include <ospreystage/fleet/backend_registry.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// A backend server whose process has ended.
struct ended_server {
    std::string id;
    std::string service;
    friend bool operator==(const ended_server&, const ended_server&) = default;
};

/// Finds the servers that have ended between two lists: those that are gone or
/// have started again under their id. Servers that were draining are left out,
/// as they were expected to end.
class server_ends {
  public:
    /// Returns the servers of the last list that have ended since.
    [[nodiscard]] std::vector<ended_server>
    update(const std::vector<const backend_server*>& listed);

  private:
    struct known_server {
        std::string service;
        std::int64_t started_unix_ms = 0;
        bool is_draining = false;
    };

    absl::flat_hash_map<std::string, known_server> known_; ///< By id.
};

} // namespace ospreystage
