#pragma once

#include <ospreystage/core/metrics.hpp>
#include <ospreystage/http/web_client.hpp>
#include <ospreystage/serving/backend_availability.hpp>
#include <ospreystage/serving/backend_load.hpp>
#include <ospreystage/serving/limit_exchange.hpp>
#include <ospreystage/serving/residency.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Request for which a server is to be chosen.
struct selection_request {
    std::string service;
    placement_request placement;
    std::uint32_t entries = 1; ///< Entries that share the servers.
    allowed_regions regions;   ///< Whose servers may run it.
};

/// Why no server was chosen, and when the caller should return.
struct selection_refusal {
    const char* reason = "";
    milliseconds retry_after{};
};

using selection_result = std::variant<placement, selection_refusal>;

/// What an entry knows of the data centres of servers.
struct data_centre_view {
    /// Returns the region of a data centre.
    std::function<std::string(const std::string& data_centre)> region_of;
    /// Returns true if no new attempt may be sent to a data centre.
    std::function<bool(const std::string& data_centre)> is_evacuated;
};

/// Chooses the server of a request among those that may take it.
///
/// Leaves out servers of evacuated data centres, and of regions in which the
/// request must not run, without a last resort. Leaves out servers that are
/// leaving, ask for a pause, are at a limit that they have named, or to which
/// this entry has its share of connections; of the others `backend_load` takes
/// the best. A leaving server is used only where no other one can take the
/// request.
class server_selector {
  public:
    server_selector(const backend_registry& servers, web_client& client,
                    backend_load& load, backend_availability& availability,
                    limit_exchange& limits, metrics& request_metrics,
                    data_centre_view data_centres);

    [[nodiscard]] selection_result choose(const selection_request& request,
                                          instant now);

    /// Returns true if a choice still holds: its server takes requests, the
    /// request may run there, and the version of its weights has not ended.
    [[nodiscard]] bool may_send(const selection_request& request,
                                const placement& chosen, instant now) const;

    /// Returns when the first server may be asked again if all that may run
    /// the request ask for a pause.
    [[nodiscard]] std::optional<milliseconds>
    pause(const selection_request& request, instant now);

    /// Counts a refusal that a caller gets.
    void count(const selection_refusal& refusal);

    /// Returns true if the server has stated that it is leaving.
    [[nodiscard]] bool is_leaving(const server_start& server) const {
        return availability_.is_leaving(server);
    }

    /// Records what an answer of a server states about its availability.
    void on_availability(const server_start& server,
                         const availability_statement& statement, instant now);

  private:
    [[nodiscard]] std::vector<const backend_server*>
    allowed_servers(const selection_request& request) const;
    [[nodiscard]] bool is_in_regions(const backend_server& server,
                                     const selection_request& request) const;
    [[nodiscard]] bool may_run_at(const backend_server& server,
                                  const selection_request& request) const;
    [[nodiscard]] const char*
    exclusion_of(const selection_request& request) const;

    /// Servers that were left out, to explain a refusal.
    struct candidates {
        available_servers servers;
        /// Why all servers are left out, whatever their state; or null.
        const char* exclusion = nullptr;
        std::vector<const backend_server*> at_limit;
    };

    [[nodiscard]] placement_decision
    place(const selection_request& request,
          std::vector<const backend_server*> servers, candidates& all,
          instant now);
    [[nodiscard]] selection_refusal refuse(const candidates& all,
                                           const placement_decision& decision,
                                           std::uint32_t entries, instant now);

    const backend_registry& servers_;
    web_client& client_;
    backend_load& load_;
    backend_availability& availability_;
    limit_exchange& limits_;
    metrics& metrics_;
    data_centre_view data_centres_;
};

} // namespace ospreystage
