#pragma once

#include <ospreystage/core/settings.hpp>
#include <ospreystage/requests/admission.hpp>
#include <ospreystage/requests/balancer.hpp>
#include <ospreystage/requests/broker_action.hpp>
#include <ospreystage/requests/claim_tally.hpp>
#include <ospreystage/requests/retry_budget.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ospreystage::impl {

/// Phase of a request, by what it waits for.
enum class request_phase : std::uint8_t {
    waiting,   ///< A free slot; see `admission`.
    claiming,  ///< Votes on its idempotency key.
    choosing,  ///< An agent that can run it.
    in_flight, ///< The answer of the agent that it was dispatched to.
    resolving, ///< A new link to that agent, which reports whether the
               ///< attempt was started.
};

[[nodiscard]] const char* to_string(request_phase phase) noexcept;

/// Dispatched attempt that has not ended.
struct attempt_state {
    attempt_id id;
    process_id agent;
    digest version;
    bool answer_begun = false; ///< `answer_begin` was received.
    bool seal_sent = false;
    std::uint32_t next_part = 0;
};

/// One request of a caller.
struct request_state {
    incoming_request incoming;
    bool engine_service = false; ///< The service is served by model engines.
    bool streams = false;        ///< Parts are forwarded as they arrive.
    std::uint32_t priority = 0;
    instant deadline{};
    request_phase phase = request_phase::waiting;
    instant phase_deadline{}; ///< For claiming, choosing and resolving.

    claim_tally tally;
    instant next_claim_at{};
    bool claimed = false; ///< The claim was won and not released.

    std::optional<attempt_state> attempt;
    std::uint32_t attempts = 0;
    bool attempt_lost = false; ///< An attempt without an answer may have run.
    /// Agents that no further attempt is sent to.
    absl::flat_hash_set<std::string> excluded_agents;
    std::string last_reason;
    milliseconds retry_after{};

    bool begin_forwarded = false; ///< The status was sent to the caller.
    std::uint32_t tokens_forwarded = 0;
    digest pinned_version; ///< Version of the answer that was begun.
    std::uint16_t status = 0;
    std::string content_type;
    std::string buffered; ///< Answer received so far, if not streamed.
};

/// Agent that is listed, connected or has outstanding attempts.
struct agent_state {
    std::string vm;
    bool listed = false; ///< Alive and not leaving.
    bool link_up = false;
    process_id id; ///< Incarnation at the other end of the last link.
    instant next_connect_at{};
    bool reported = false;
    load_report load;
    instant load_received_at{};
    std::uint32_t outstanding = 0;
    std::uint32_t outstanding_at_report = 0; ///< When `load` was received.
};

/// Implementation of `broker`: state and transitions.
class broker_state {
  public:
    broker_state(process_id self, const settings& configuration,
                 std::uint64_t seed);

    [[nodiscard]] bool idle() const;
    [[nodiscard]] nlohmann::json dump() const;

    void set_document(std::shared_ptr<const rollout_document> document,
                      instant now);
    void set_agents(const std::vector<member>& agents);
    void set_entries(std::vector<std::string> entries);
    void set_leaving();

    void begin(request_id request, incoming_request incoming, instant now);
    void cancel(request_id request, instant now);
    void on_message(const process_id& from, const message& body, instant now);
    void on_link_up(const process_id& agent,
                    const std::vector<attempt_id>& started, instant now);
    void on_link_down(const std::string& agent, instant now);
    void tick(instant now);

    [[nodiscard]] broker_actions take_actions();

  private:
    // ---- Requests ----------------------------------------------------------

    [[nodiscard]] request_state make_request(incoming_request incoming,
                                             const service& target,
                                             instant now) const;
    [[nodiscard]] std::vector<request_id>
    requests_in(request_phase phase) const;
    void refuse(request_id request, outcome result, const std::string& reason,
                milliseconds retry_after, instant now);
    /// Ends a request without an answer: `unknown` if an attempt may have run.
    void fail_request(request_id request, const std::string& reason,
                      instant now);
    void remove_request(request_id request, bool answered, instant now);
    /// Starts an admitted request: claims its key or chooses an agent.
    void start_request(request_id request, instant now);
    void admit_waiting(instant now);
    void check_deadline(request_id request, instant now);

    // ---- Claims ------------------------------------------------------------

    void start_claim(request_id request, instant now);
    void send_claims(request_state& state);
    void release_claim(request_state& state);
    void apply_verdict(request_id request, instant now);
    void on_claim_reply(const claim_reply& reply, instant now);
    void check_claim(request_id request, instant now);

    // ---- Dispatch ----------------------------------------------------------

    void start_choosing(request_id request, instant now);
    void dispatch(request_id request, instant now);
    [[nodiscard]] bool dispatch_version(request_id request,
                                        const digest& version, instant now);
    /// Returns the version of the previous document that may answer instead
    /// of `version` on agents that do not hold `version` yet. Returns nothing
    /// if the current document still names the previous version: then the
    /// current document alone decides that version's traffic.
    [[nodiscard]] std::optional<digest>
    superseded_version(request_id request, const request_state& state,
                       const digest& version) const;
    [[nodiscard]] std::vector<digest>
    eligible_versions(request_id request, const request_state& state) const;
    [[nodiscard]] bool is_eligible(const agent_state& agent,
                                   const request_state& state,
                                   const digest& version) const;
    [[nodiscard]] std::vector<balancer_candidate>
    candidates(const request_state& state, const digest& version,
               instant now) const;
    [[nodiscard]] bool may_find_agent(const request_state& state) const;
    /// Returns how many attempts of a service this entry may have in flight;
    /// 0: unknown.
    [[nodiscard]] std::uint32_t slot_count(const std::string& service,
                                           instant now) const;
    void send_run_order(request_id request, const std::string& agent,
                        const digest& version, instant now);
    void end_attempt(request_state& state);
    /// Handles an attempt that never ran and never will.
    void on_attempt_not_run(request_id request, refusal reason,
                            milliseconds retry_after, instant now);
    /// Handles an attempt that may have run and whose answer is lost.
    void on_attempt_lost(request_id request, const std::string& reason,
                         instant now);
    void retry(request_id request, const std::string& reason,
               bool exempt_from_budget, instant now);

    // ---- Answers -----------------------------------------------------------

    [[nodiscard]] std::optional<request_id>
    find_request(const attempt_id& attempt, const process_id& from) const;
    void on_run_refused(request_id request, const run_refused& body,
                        instant now);
    void on_begin(request_id request, const answer_begin& body, instant now);
    void on_part(request_id request, const answer_part& body, instant now);
    void on_end(request_id request, const answer_end& body, instant now);
    void abort_attempt(request_id request, const std::string& reason,
                       instant now);
    void forward_begin(request_id request, request_state& state);

    // ---- Links -------------------------------------------------------------

    void update_subsets();
    void connect(const std::string& agent, agent_state& state, instant now);
    void connect_missing(instant now);
    /// Sends `body` if the link to this incarnation is up, else drops it.
    void send_to_agent(const process_id& agent, message body);
    [[nodiscard]] std::vector<request_id>
    requests_on(const std::string& agent) const;
    void resolve_attempt(request_id request, const process_id& agent,
                         const std::vector<attempt_id>& started, instant now);
    void on_load_report(const process_id& from, const load_report& report,
                        instant now);

    process_id self_;
    std::size_t subset_size_ = 0;
    std::vector<std::string> witnesses_;
    balancer balancer_;
    admission admission_;
    retry_budget retry_budget_;
    std::mt19937_64 random_;
    std::shared_ptr<const rollout_document> document_;
    /// Document before `document_`: its versions may answer on agents that do
    /// not hold the current versions yet.
    std::shared_ptr<const rollout_document> previous_document_;
    std::vector<std::string> entries_;
    bool leaving_ = false;
    std::map<request_id, request_state> requests_;
    /// Requests of claimed or dispatched attempts, by attempt sequence.
    absl::flat_hash_map<std::uint64_t, request_id> attempts_;
    std::uint64_t next_sequence_ = 1;
    std::map<std::string, agent_state> agents_;
    /// Agents of each service that this entry connects to.
    std::map<std::string, std::vector<std::string>> subsets_;
    broker_actions actions_;
    std::uint64_t answered_total_ = 0;
    std::uint64_t not_run_total_ = 0;
    std::uint64_t unknown_total_ = 0;
    std::uint64_t retried_total_ = 0;
    std::uint64_t dropped_frames_ = 0;
};

} // namespace ospreystage::impl
