#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/routing/routing_configuration.hpp>
#include <ospreystage/serving/server_pace.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Last state of an engine that its agent reported.
struct engine_status {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Version of which the engine holds every layer; 0 if none.
    std::uint64_t version = 0;
    bool is_loading = false;
    friend bool operator==(const engine_status&,
                           const engine_status&) = default;
};

/// Outcome of an attempt at a backend server, for tracking its health.
enum class attempt_result : std::uint8_t {
    answered,  ///< Complete answer that is not a server error.
    refused,   ///< The server states that it did not run the request.
    failed,    ///< Server error, truncated answer or unreachable server.
    timed_out, ///< No data within the idle timeout.
    cancelled, ///< Caller left or deadline passed: no health signal.
};

/// Input of a placement decision.
struct placement_request {
    const service_description* service = nullptr;
    std::uint32_t prompt_tokens = 0;
    milliseconds target_latency{};
    /// Longest pause between two events that the caller accepts; 0 for any.
    milliseconds target_gap{};
    milliseconds time_left{}; ///< Until the caller's time limit; 0 for any.
    /// Tokens of the longest answer that the caller expects; 0: not stated.
    std::uint32_t max_answer_tokens = 0;
    /// The caller was refused before and its target latency has passed.
    bool is_late = false;
    /// Oldest weight version that may answer; 0 for any.
    std::uint64_t min_version = 0;
    /// Servers that this request was already sent to; they are skipped.
    const absl::flat_hash_set<std::string>* tried = nullptr;
};

/// Server chosen for a request.
struct placement {
    std::string server;
    std::uint64_t version = 0;    ///< Engines: version believed to be held.
    double in_flight = 0;         ///< Estimated requests at the server.
    milliseconds backlog{};       ///< Prefill time of the prompts sent before.
    milliseconds expected_wait{}; ///< Estimated time to the first event.
    microseconds prefill_time{};  ///< Estimated prefill time of this prompt.
    /// Engines: the same as `expected_wait`, and the time between two passes,
    /// at a server of the usual pace.
    milliseconds usual_first_event{};
    microseconds usual_gap{};
};
/// No server can take the request in time.
struct no_capacity {
    milliseconds retry_after{};
};
/// No known server of the service can answer.
struct no_server {};

using placement_decision = std::variant<placement, no_capacity, no_server>;

/// Chooses a server for each request from the known load of the servers.
///
/// Designed for many entries that each see a part of the requests, engines
/// that process batches of `slots`, and demand above the engines' capacity.
/// Requests of this entry in flight are known exactly, those of other entries
/// through the engines' reports and through a notice for each attempt, which
/// keeps the entries from all choosing the same idle engine.
class backend_load {
  public:
    struct options {
        /// Own data centre; servers in others are chosen only if clearly
        /// faster.
        std::string data_centre;
        milliseconds report_ttl{1000}; ///< Older reports are ignored.
        /// A server that failed is avoided for this long, doubled with each
        /// further failure up to `max_backoff`.
        milliseconds min_backoff{500};
        milliseconds max_backoff{4000};
        server_pace::options pace{};
    };

    backend_load(const options& limits, std::uint64_t seed);

    // ---- Placement ---------------------------------------------------------

    [[nodiscard]] placement_decision
    place(const placement_request& request,
          const std::vector<const backend_server*>& servers,
          std::uint32_t entries, instant now);

    /// Estimates the time to the first event of a request that is sent to an
    /// engine with `in_flight` other requests, which takes `backlog` to
    /// prefill their prompts, if its work takes `factor` times the usual.
    [[nodiscard]] milliseconds
    estimate_first_event(const engine_profile& engine, double in_flight,
                         milliseconds backlog, std::uint32_t prompt_tokens,
                         double factor = 1) const;

    /// Returns the estimated time until an engine has prefilled the prompts
    /// that it was sent.
    [[nodiscard]] milliseconds backlog(const std::string& server,
                                       instant now) const;

    /// Estimates the requests of all entries at a server. Without a recent
    /// report this is the entry's own requests times `entries`.
    [[nodiscard]] double in_flight(const std::string& server,
                                   std::uint32_t entries, instant now) const;

    // ---- Events ------------------------------------------------------------

    /// Records that this entry sent a request whose prompt takes
    /// `prefill_time`.
    void on_sent(const std::string& server, microseconds prefill_time,
                 instant now);
    /// Records the same for another entry.
    void on_sent_by_peer(const std::string& server, microseconds prefill_time,
                         instant now);
    void on_ended(const std::string& server, attempt_result result,
                  instant now);
    void on_status(const std::string& server, const engine_status& status,
                   instant now);
    /// Drops servers that are no longer listed and have no request of this
    /// entry in flight.
    void retain(const absl::flat_hash_set<std::string>& listed);

    [[nodiscard]] std::optional<engine_status> status(const std::string& server,
                                                      instant now) const;

    /// Returns what is known of the pace of the servers.
    [[nodiscard]] server_pace& pace() noexcept { return pace_; }
    [[nodiscard]] const server_pace& pace() const noexcept { return pace_; }

  private:
    /// Server that may take a request.
    struct candidate {
        const backend_server* server = nullptr;
        std::uint64_t version = 0;
        double load = 0;
        milliseconds backlog{};
        /// Time that work takes there; relative to the fastest candidate.
        double factor = 1;
        milliseconds wait{};
        double cost = 0;
        bool has_capacity = false;
        bool ends_in_time = true;
        bool is_trial = false;
    };

    struct load_record {
        std::uint32_t outstanding = 0; ///< Requests of this entry in flight.
        std::optional<engine_status> status;
        instant reported_at{};
        std::uint32_t outstanding_at_report = 0;
        instant prefill_until{}; ///< Estimated end of all prefill sent so far.
        std::uint32_t consecutive_failures = 0;
        instant backoff_until{};
    };

    [[nodiscard]] const load_record* find(const std::string& server) const;
    [[nodiscard]] std::optional<candidate>
    make_candidate(const placement_request& request,
                   const backend_server& server, std::uint32_t entries,
                   instant now) const;
    void rate(candidate& item, const placement_request& request,
              std::uint32_t entries, instant now) const;
    void rate_engine(candidate& item, const placement_request& request,
                     const engine_profile& engine, std::uint32_t entries,
                     instant now) const;
    static void add_prefill(load_record& record, microseconds prefill_time,
                            instant now);
    [[nodiscard]] bool has_fresh_status(const load_record& record,
                                        instant now) const;
    [[nodiscard]] std::uint64_t version_of(const backend_server& server,
                                           const engine_profile& engine,
                                           instant now) const;

    options limits_;
    std::mt19937_64 random_;
    server_pace pace_;
    absl::flat_hash_map<std::string, load_record> records_;
};

} // namespace ospreystage
