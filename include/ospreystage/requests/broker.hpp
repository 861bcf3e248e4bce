#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/requests/broker_action.hpp>
#include <ospreystage/requests/incoming_request.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace ospreystage {

namespace impl {
class broker_state;
}

/// Interval at which `request_service` calls `broker::tick`.
inline constexpr milliseconds broker_tick_interval{20};

/// Processes the requests of an entry, from arrival to outcome.
///
/// Performs no I/O and has no clock or thread: inputs take the current time
/// and return actions that `request_service` performs in order. Each
/// request ends with exactly one `answer_end_action` or `refuse_action`.
///
/// A `send_action` to the entry's own name is for its own `claim_table`.
///
/// `request_service` reports every change of a link before it sends anything
/// on the next connection: a run order is sent only on a link that is up, and
/// must not be queued for a later connection. Messages to witnesses may open
/// links.
class broker {
  public:
    using action = broker_action;
    using actions = broker_actions;

    // ---- Construction ------------------------------------------------------

    /// Reads the witnesses, the routing strategy and the limits from
    /// `configuration`; `seed` seeds the random number generators.
    broker(process_id self, const settings& configuration, std::uint64_t seed);
    ~broker();
    broker(broker&&) noexcept;
    broker& operator=(broker&&) noexcept;

    // ---- Observers ---------------------------------------------------------

    /// Returns true if no request is in progress.
    [[nodiscard]] bool idle() const;

    /// Returns requests, attempts, links and counters for the state dump.
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs: configuration and membership ------------------------------

    /// Sets the rollout document for requests that begin from now on.
    void set_document(std::shared_ptr<const rollout_document> document,
                      instant now);

    /// Replaces the agents that may receive attempts: alive and not leaving.
    ///
    /// A member's `vm` is the name that services and deployments list.
    void set_agents(const std::vector<member>& agents);

    /// Sets the names of the live entries. If a service has more agents than
    /// one entry connects to, they are divided evenly among the entries.
    void set_entries(std::vector<std::string> entries);

    /// Refuses every request that begins from now on.
    void set_leaving();

    // ---- Inputs: callers ---------------------------------------------------

    /// Begins a new request; `request` must not have been used before.
    [[nodiscard]] actions begin(request_id request, incoming_request incoming,
                                instant now);

    /// Ends a request whose caller disconnected, without an answer: cancels
    /// its attempt or releases its claim.
    [[nodiscard]] actions cancel(request_id request, instant now);

    // ---- Inputs: links -----------------------------------------------------

    /// Handles a message from an agent or a witness.
    [[nodiscard]] actions on_message(const process_id& from,
                                     const message& body, instant now);

    /// Handles an established link to `agent`. `started` is from
    /// `hello_reply`: the attempts of this entry that the agent has started.
    [[nodiscard]] actions on_link_up(const process_id& agent,
                                     const std::vector<attempt_id>& started,
                                     instant now);

    /// Handles a link to `agent` that closed or could not be established.
    [[nodiscard]] actions on_link_down(const std::string& agent, instant now);

    // ---- Inputs: time ------------------------------------------------------

    /// Handles deadlines, retries and reconnections that are due.
    [[nodiscard]] actions tick(instant now);

  private:
    std::unique_ptr<impl::broker_state> state_;
};

} // namespace ospreystage
