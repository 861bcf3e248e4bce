#pragma once

#include <ospreystage/routing/routing_configuration.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace ospreystage {

/// No configuration is known yet: the request may be tried again.
struct not_configured {};
/// No route has the host and a prefix of the path.
struct no_route {};
/// The route needs a key and the request has none that is known.
struct unknown_key {};

/// Where a request goes.
struct routed_request {
    const route* matched_route = nullptr;
    /// Organisation that holds the key, or null for a public route.
    const organisation_keys* organisation = nullptr;
    std::uint32_t priority = 0;
};

using routing_decision =
    std::variant<not_configured, no_route, unknown_key, routed_request>;

/// The configuration in force, indexed for requests.
///
/// Only newer versions replace it, so that nothing reverts within one run of
/// the process. Decisions point into it until the next `apply`.
class route_table {
  public:
    /// Takes a configuration; returns false if it is not newer.
    bool apply(routing_configuration configuration);

    /// Decides where a request goes. `host` may carry a port, `target` a
    /// query; an empty `key` means that none was sent.
    [[nodiscard]] routing_decision decide(std::string_view host,
                                          std::string_view target,
                                          std::string_view key) const;

    /// Chooses the service of a request; `draw` is uniform in [0, 1).
    [[nodiscard]] static const std::string&
    choose_service(const route& matched_route, double draw);

    [[nodiscard]] const service_description*
    service(const std::string& name) const;

    [[nodiscard]] bool is_configured() const noexcept {
        return current_.version != 0;
    }
    [[nodiscard]] const routing_configuration& current() const noexcept {
        return current_;
    }

  private:
    routing_configuration current_;
    /// Positions in `routes` by host, the longest prefix first.
    absl::flat_hash_map<std::string, std::vector<std::size_t>> routes_by_host_;
    absl::flat_hash_map<std::string, std::size_t> organisations_by_key_;
};

} // namespace ospreystage
