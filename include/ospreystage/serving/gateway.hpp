#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/metrics.hpp>
#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/http/web_client.hpp>
#include <ospreystage/http/web_server.hpp>
#include <ospreystage/routing/route_table.hpp>
#include <ospreystage/serving/backend_availability.hpp>
#include <ospreystage/serving/backend_load.hpp>
#include <ospreystage/serving/caller_protocol.hpp>
#include <ospreystage/serving/event_splitter.hpp>
#include <ospreystage/serving/limit_exchange.hpp>
#include <ospreystage/serving/prompt_quarantine.hpp>
#include <ospreystage/serving/retry_window.hpp>
#include <ospreystage/serving/server_end_detector.hpp>
#include <ospreystage/serving/server_selector.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ospreystage {

/// Fleet state that the gateway needs besides the server list.
struct gateway_context {
    /// Returns the number of entries that share the budgets, this one included.
    std::function<std::uint32_t()> entries;
    /// Returns the oldest version of a service's weights to which requests may
    /// be sent.
    std::function<std::uint64_t(const service_description& service)>
        min_version;
    /// Returns the oldest version on which a request that was sent may begin.
    std::function<std::uint64_t(const service_description& service)>
        min_begin_version;
    /// Notifies the other entries of a request whose prompt takes
    /// `prefill_time`.
    std::function<void(const backend_server& server, microseconds prefill_time)>
        announce_attempt;
    data_centre_view data_centres;
    /// Called when a connection to a server has failed or ended under a
    /// request, or another start of the server has answered.
    std::function<void(const std::string& server)> on_connection_ended =
        [](const std::string&) {};
};

/// Times of a gateway that is stopping.
struct stop_schedule {
    /// Until then every request is accepted: callers may not know of the stop.
    instant accepts_until{};
    /// Requests in progress are ended then. From `accepts_until` on, only those
    /// are accepted whose deadline is not later.
    instant ends_at{};
};

/// Forwards callers' requests to backend servers and returns the responses.
///
/// A request ends in exactly one of: the server's complete response; a refusal,
/// which guarantees that the request never runs; a failure, after which it may
/// or may not have run; or a closed connection, if a response was truncated
/// after a part of it had been sent.
class gateway {
  public:
    gateway(kernel& core, web_client& client, const route_table& routes,
            const backend_registry& servers, backend_load& load,
            backend_availability& availability, limit_exchange& limits,
            prompt_quarantine& quarantine, metrics& request_metrics,
            caller_protocol protocol, gateway_context context,
            const retry_window::options& retry_limits);

    /// Sets the server that receives callers' requests.
    void attach(web_server& server);

    /// Handles a request of the attached server.
    void on_request(exchange_id exchange, http_request request);
    /// Cancels the request of a caller that disconnected.
    void on_caller_disconnected(exchange_id exchange);
    /// Resumes reading from the backend server once the caller has read what
    /// was sent.
    void on_drained(exchange_id exchange);

    /// Handles the reply of another entry to a request for a permit.
    void on_permit_reply(const permit_reply& reply);

    /// Starts the periodic checks for idle and outdated attempts.
    void start();

    /// Replaces the retry limits of every service.
    void set_retry_limits(const retry_window::options& limits);

    /// Refuses the requests that may not be finished by the end of a stop.
    /// Those in progress continue, but are not sent for the first time any
    /// more. May be called again with an earlier end.
    void stop(const stop_schedule& schedule) noexcept { stopping_ = schedule; }

    /// Answers every request in progress: one that has not been sent to a
    /// server as not run, the others as failed. Streams that have begun are
    /// cut.
    void end_requests(const char* reason);

    [[nodiscard]] std::size_t in_progress() const noexcept {
        return requests_.size();
    }

  private:
    /// One sending of a request to a server.
    struct attempt_record {
        std::uint32_t number = 0; ///< Within its request, from 1.
        std::optional<call_id> call;
        std::string server; ///< Server of the call, or of the last one.
        std::int64_t server_started_unix_ms = 0; ///< When it was sent there.
        std::uint64_t version = 0; ///< Engines: version held there when sent.
        instant sent_at{};
        instant head_at{}; ///< When the head was received.
        /// Time of the call's last data; of an event stream, of its last event.
        instant last_received{};
        bool is_paused = false; ///< Reading waits for the caller.
        /// The connection has ended; whether the answer is whole is not known
        /// yet.
        bool is_end_in_doubt = false;
        /// The response; its body stays empty while it is forwarded.
        http_response head;
        bool is_event_stream = false;
        std::uint32_t events_received = 0;
        bool is_reported_answered = false;
        event_splitter events;
        /// Last event of the caller when the attempt was sent.
        std::optional<std::uint64_t> resumed_after;
        /// Last numbered event of the attempt.
        std::optional<std::uint64_t> attempt_event_id;
        attempt_pace pace; ///< Its progress, to judge its server's pace.
    };

    /// Choice of a server for which a permit has been requested.
    struct pending_permit {
        std::uint64_t sequence = 0;
        placement chosen;
    };

    /// A request without a final response. Its own attempt is the current one.
    struct request_record : attempt_record {
        http_request request;
        caller_request caller;
        std::string service;
        /// Of the configuration under which the request was accepted; empty if
        /// that did not describe the service.
        std::optional<service_description> description;
        std::string organisation;
        /// Of the configuration under which the request was accepted.
        allowed_regions regions;
        request_kind kind = request_kind::non_idempotent;
        milliseconds target_latency{};
        milliseconds target_gap{};
        std::uint32_t priority = 0;
        std::uint32_t max_attempts = 1;
        bool is_resumable = false;
        bool is_late = false;     ///< Refused before, judging by the time left.
        prompt_part identity = 0; ///< See `request_identity`.
        /// The shared parts of its prompt, and its identity.
        std::vector<prompt_part> parts;
        /// Sent once although one of its parts is quarantined.
        bool is_probe = false;
        /// It may have ended the server of its last attempt, and another one
        /// before.
        bool is_suspect = false;
        instant arrived{};
        instant deadline{};
        timer_id deadline_timer{};

        std::optional<pending_permit> awaiting_permit;

        std::uint32_t sent_attempts = 0; ///< Attempts sent to a server.
        std::uint32_t possible_runs = 0; ///< Those that may have run.
        absl::flat_hash_set<std::string> tried;
        std::uint32_t last_attempt = 0; ///< Number of the newest attempt.
        /// Attempt at a silent server, which is kept until the current one
        /// begins its answer.
        std::optional<attempt_record> silent_attempt;

        bool has_response_begun = false; ///< Head sent to the caller.
        bool is_body_forwarded = false;  ///< A plain body, as it arrives.
        std::optional<std::uint64_t> last_event_id;
        /// The stream may have been whole when it was resumed.
        bool may_be_whole = false;
        /// The caller has received an event without an id.
        bool has_unnumbered_event = false;
        /// Numbered events that the caller has received, and whether each id
        /// was one higher than the one before.
        std::uint32_t numbered_events = 0;
        bool has_consecutive_ids = true;
    };

    [[nodiscard]] request_record* find(exchange_id exchange);
    [[nodiscard]] bool may_outlast_stop(instant deadline) const;
    [[nodiscard]] bool is_left_to_others(const request_record& record,
                                         std::uint32_t waiting_attempts) const;
    void refuse_unrouted(exchange_id exchange, const caller_request& caller,
                         const char* reason, milliseconds retry_after);
    void route_request(exchange_id exchange, http_request request,
                       const caller_request& caller,
                       const routed_request& routed);
    void place(exchange_id exchange);
    [[nodiscard]] selection_request
    selection_of(const request_record& record) const;
    [[nodiscard]] selection_result choose_server(const request_record& record);
    [[nodiscard]] milliseconds retry_delay(const request_record& record);
    void await_permit(exchange_id exchange, const placement& chosen);
    void on_permit(exchange_id exchange, const placement& chosen,
                   const permit_decision& decision);
    void on_permit_timeout(std::uint64_t sequence);
    [[nodiscard]] bool may_send(const request_record& record,
                                const placement& chosen) const;
    [[nodiscard]] bool is_quarantined(const request_record& record) const;
    [[nodiscard]] const char*
    quarantine_reason(const request_record& record) const;
    void log_quarantined(const request_record& record);
    void send(exchange_id exchange, const placement& chosen,
              const permit_granted& permit);
    void on_head(exchange_id exchange, const http_response& head);
    void on_server_state(const attempt_record& attempt,
                         const http_response& head);
    void on_availability(const server_start& server,
                         const availability_statement& statement);
    void on_body(exchange_id exchange, std::string_view data);
    void on_events(exchange_id exchange,
                   const std::vector<stream_event>& events);
    void on_plain_body(exchange_id exchange, std::string_view data);
    void begin_response(exchange_id exchange);
    void write(exchange_id exchange, std::string_view data);
    void abandon_answer(exchange_id exchange, call_end end, const char* reason);
    [[nodiscard]] static const char* event_defect(const request_record& record,
                                                  const stream_event& event);
    void on_call_ended(exchange_id exchange, call_end end);
    void on_answer_ended(exchange_id exchange, call_end end);
    [[nodiscard]] const backend_server*
    doubted_server(const request_record& record) const;
    void judge_end(exchange_id exchange, const backend_server& server);
    void log_answer_end(const request_record& record, call_end end);
    [[nodiscard]] static const char*
    stream_defect(const attempt_record& attempt);
    void on_stream_ended(exchange_id exchange, call_end end);
    void forward(exchange_id exchange, const stream_event& event);
    [[nodiscard]] static bool may_run_again(const request_record& record);
    void on_attempt_failed(exchange_id exchange, const char* reason,
                           bool may_have_run);
    void on_deadline(exchange_id exchange);
    void end_request(exchange_id exchange, const char* reason);
    void check_idle_attempts();
    [[nodiscard]] bool is_silent(const request_record& record,
                                 instant now) const;
    void try_other_server(exchange_id exchange);
    [[nodiscard]] bool set_aside(request_record& record);
    bool resume_silent_attempt(request_record& record);
    void drop_silent_attempt(request_record& record);
    [[nodiscard]] bool is_set_aside(exchange_id exchange,
                                    std::uint32_t attempt);
    [[nodiscard]] bool is_answer(const http_response& head) const;
    [[nodiscard]] bool is_refusal(const http_response& head) const;
    void on_silent_head(exchange_id exchange, const http_response& head);
    void on_silent_body(exchange_id exchange, std::string_view data);
    void on_silent_ended(exchange_id exchange, call_end end);
    void withdraw_attempts();
    [[nodiscard]] const char* withdrawal_reason(const request_record& record,
                                                const attempt_record& attempt);
    [[nodiscard]] static bool has_begun(const attempt_record& attempt);
    void withdraw(exchange_id exchange, const char* reason);
    void check_answered(request_record& record);
    [[nodiscard]] static bool is_past_crash(const request_record& record);
    bool check_crash(request_record& record, call_end end);
    void check_server_end(request_record& record);
    [[nodiscard]] static crash_context context_of(const request_record& record,
                                                  instant now);
    [[nodiscard]] static bool is_open_at(const attempt_record& attempt,
                                         const std::string& server, instant at);
    [[nodiscard]] bool goes_on(const std::string& server, instant at) const;
    void
    on_server_ended(const std::string& server, instant at,
                    const std::vector<server_end_detector::suspect>& suspects);
    void report_answered(const request_record& record);
    /// A prompt that was at an engine when its answer broke off.
    struct prompt_suspect {
        std::string server;
        instant at{};
        std::uint64_t request = 0; ///< Hash of the request's id.
        std::vector<prompt_part> parts;
        crash_context context;
    };
    void report_crash(const prompt_suspect& suspect, bool is_second_check);
    void on_attempt_broken(exchange_id exchange, const char* reason,
                           bool is_crash);
    void end_call(request_record& record, attempt_result result);
    void cancel_call(request_record& record);
    [[nodiscard]] bool acquire_retry(request_record& record);

    [[nodiscard]] nlohmann::json with_state(nlohmann::json fields,
                                            instant now) const;
    void refuse(exchange_id exchange, const char* reason,
                milliseconds retry_after);
    void respond(exchange_id exchange, const http_response& response,
                 const char* outcome);
    void fail_request(exchange_id exchange, std::uint16_t status,
                      const char* reason);
    void erase(exchange_id exchange, const char* outcome);
    retry_window& retry_window_of(const std::string& service);

    kernel& core_;
    web_client& client_;
    const route_table& routes_;
    const backend_registry& servers_;
    backend_load& load_;
    limit_exchange& limits_;
    prompt_quarantine& quarantine_;
    metrics& metrics_;
    server_selector selector_;
    caller_protocol protocol_;
    gateway_context context_;
    server_end_detector server_ends_;
    retry_window::options retry_limits_;
    web_server* server_ = nullptr;
    std::optional<stop_schedule> stopping_;
    std::mt19937_64 random_;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<request_record>>
        requests_;
    absl::flat_hash_map<std::string, retry_window> retries_;
    /// Requests that wait for a permit, by its sequence.
    absl::flat_hash_map<std::uint64_t, exchange_id> awaiting_permits_;
    /// Time of the last data from each server, on any call.
    absl::flat_hash_map<std::string, instant> last_received_;
};

} // namespace ospreystage
