#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/network/links.hpp>
#include <ospreystage/requests/broker.hpp>
#include <ospreystage/requests/caller_api.hpp>

#include <functional>
#include <memory>
#include <string>

namespace ospreystage {

/// Runs the broker: performs its actions on links and callers.
class request_service {
  public:
    /// Receives the events of a request that are for its caller.
    using callback = std::function<void(request_id, const exchange_event&)>;

    // ---- Construction ------------------------------------------------------

    request_service(kernel& core, const settings& configuration,
                    callback on_event);

    /// Subscribes to links and starts the timer; call before `links::start`.
    void start();

    // ---- Observers ---------------------------------------------------------

    /// Returns true if no request is in progress.
    [[nodiscard]] bool idle() const;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Begins a caller's request.
    void begin(request_id id, incoming_request incoming);

    /// Cancels a request whose caller disconnected.
    void cancel(request_id id);

    /// Sets the rollout document for requests that begin from now on.
    void set_document(std::shared_ptr<const rollout_document> document);

    /// Replaces the agents that may receive attempts.
    void set_agents(const std::vector<member>& agents);

    /// Sets the names of the live entries, which divide the agents among
    /// themselves.
    void set_entries(std::vector<std::string> entries);

    /// Refuses new requests; those in progress continue.
    void set_leaving();

  private:
    template <typename Message>
    void forward();
    void perform(broker::actions actions);
    void send_message(const std::string& process, const message& body);
    void send_to_local_claim_table(const message& body);
    void connect(const std::string& agent);

    kernel& core_;
    links& links_;
    callback on_event_;
    broker broker_;
};

} // namespace ospreystage
