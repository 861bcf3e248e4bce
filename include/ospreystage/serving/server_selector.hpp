#pragma once

#include <ospreystage/http/web_client.hpp>
#include <ospreystage/serving/backend_availability.hpp>
#include <ospreystage/serving/backend_load.hpp>
#include <ospreystage/serving/limit_exchange.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Request for which a server is to be chosen.
struct selection_request {
    std::string service;
    placement_request placement;
    std::uint32_t entries = 1; ///< Entries that share the servers.
};

/// Why no server was chosen, and when the caller should return.
struct selection_refusal {
    const char* reason = "";
    milliseconds retry_after{};
};

using selection_result = std::variant<placement, selection_refusal>;

/// Chooses the server of a request among those that may take it.
///
/// Leaves out servers that are leaving, ask for a pause, are at a limit that
/// they have named, or to which this entry has its share of connections; of
/// the others `backend_load` takes the best. A leaving server is used only
/// where no other one can take the request.
class server_selector {
  public:
    server_selector(const backend_registry& servers, web_client& client,
                    backend_load& load, backend_availability& availability,
                    limit_exchange& limits);

    [[nodiscard]] selection_result choose(const selection_request& request,
                                          instant now);

    /// Records what an answer of a server states about its availability.
    void on_availability(const server_start& server,
                         const availability_statement& statement, instant now);

  private:
    /// Servers that were left out, to explain a refusal.
    struct candidates {
        available_servers servers;
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
};

} // namespace ospreystage
