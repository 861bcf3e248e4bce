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

/// Interval at which the shell calls `broker::tick`.
inline constexpr milliseconds broker_tick_interval{20};

/// Decides what an entry does with each request, from arrival to outcome.
///
/// Pure: it holds no socket, clock or thread. Every call takes the time and
/// returns the effects that the shell carries out in order. Each request ends
/// with exactly one of `answer_end_action` and `refuse_action`.
///
/// A `send_action` to the entry's own name is for its own `claim_table`.
///
/// The shell reports every change of a link before it sends anything on the
/// next connection: a run order is sent only on a link that is up, and must
/// not be queued for a later connection. Messages to witnesses may open links.
class broker {
  public:
    using action = broker_action;
    using actions = broker_actions;

    // ---- Construction ------------------------------------------------------

    /// Takes the witnesses, the routing strategy and the limits from
    /// `configuration`; `seed` feeds every random choice.
    broker(process_id self, const settings& configuration, std::uint64_t seed);
    ~broker();
    broker(broker&&) noexcept;
    broker& operator=(broker&&) noexcept;

    // ---- Observers ---------------------------------------------------------

    /// Returns true if no request is in progress.
    [[nodiscard]] bool idle() const;

    /// Describes requests, attempts, links and counters for the state dump.
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs: configuration and membership ------------------------------

    /// Uses `document` for requests that begin from now on.
    void set_document(std::shared_ptr<const rollout_document> document,
                      instant now);

    /// Replaces the agents that may get work: alive and not leaving.
    ///
    /// A member's `vm` is the name that services and deployments list.
    void set_agents(const std::vector<member>& agents);

    /// Sets the names of the live entries, so that the agents are divided
    /// evenly among them when there are more than one entry connects to.
    void set_entries(std::vector<std::string> entries);

    /// Refuses every request that begins from now on.
    void set_leaving();

    // ---- Inputs: callers ---------------------------------------------------

    /// Takes a new request; `request` must not have been used before.
    [[nodiscard]] actions begin(request_id request, incoming_request incoming,
                                instant now);

    /// The caller went away: frees what the request holds, answers nothing.
    [[nodiscard]] actions cancel(request_id request, instant now);

    // ---- Inputs: links -----------------------------------------------------

    /// Takes a message of an agent or a witness.
    [[nodiscard]] actions on_message(const process_id& from,
                                     const message& body, instant now);

    /// The link to `agent` was established; `started` is from `hello_reply`.
    [[nodiscard]] actions on_link_up(const process_id& agent,
                                     const std::vector<attempt_id>& started,
                                     instant now);

    /// The link to `agent` ended, or could not be established.
    [[nodiscard]] actions on_link_down(const std::string& agent, instant now);

    // ---- Inputs: time ------------------------------------------------------

    /// Acts on deadlines and retries that are due.
    [[nodiscard]] actions tick(instant now);

  private:
    std::unique_ptr<impl::broker_state> state_;
};

} // namespace ospreystage
