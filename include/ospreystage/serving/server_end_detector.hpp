#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/prompt_part.hpp>
#include <ospreystage/http/web_client.hpp>
#include <ospreystage/network/messages.hpp>

#include <absl/container/flat_hash_map.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Finds out whether a server whose answer broke off, or ended with its
/// connection, has ended, or goes on and has closed one connection only.
///
/// A server that has ended accepts no connection. If nothing else shows that it
/// goes on, a connection is opened and closed again without a request.
class server_end_detector {
  public:
    /// A request that was at the server when the answer broke off.
    struct suspect {
        std::string request; ///< Id of the caller's attempt.
        prompt_part identity = 0;
        std::string path;
        std::string organisation;
        crash_context context;
    };
    /// What the detector learns from its owner, and reports to it.
    struct handlers {
        /// Returns true if the server is known to have gone on after `at`.
        std::function<bool(const std::string& server, instant at)> goes_on;
        /// Called for each server that ended at `at`.
        std::function<void(const std::string& server, instant at,
                           const std::vector<suspect>& suspects)>
            ended;
    };

    /// Called once with whether a server has ended.
    using verdict_handler = std::function<void(bool has_ended)>;

    server_end_detector(kernel& core, web_client& client, handlers owner);

    /// Records that an answer of `server` broke off. Without an endpoint, the
    /// server is listed no more, and counts as ended unless it goes on.
    void on_broken(const std::string& server,
                   const std::optional<address>& endpoint, suspect broken,
                   instant now);

    /// Finds out whether a server that closed a connection in order at `now`
    /// has ended. Without an answer in time from its VM, that is not known, and
    /// the server counts as going on.
    void on_closed(const std::string& server, const address& endpoint,
                   instant now, verdict_handler verdict);

  private:
    struct broken_server {
        std::optional<address> endpoint;
        instant at{}; ///< When the first answer broke off.
        std::vector<suspect> suspects;
    };

    void check(const std::string& server);
    void connect(const address& endpoint, std::function<void(call_end)> done);
    void on_ended(const std::string& server);

    kernel& core_;
    web_client& client_;
    handlers owner_;
    absl::flat_hash_map<std::string, broken_server> broken_;
};

} // namespace ospreystage
