#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/routing/routing_configuration.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// What the agent beside an engine last said of it.
struct engine_status {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Version of which every layer is held; 0: none.
    std::uint64_t version = 0;
    bool is_loading = false;
    friend bool operator==(const engine_status&,
                           const engine_status&) = default;
};

/// How an attempt at a backend server ended, for the view of its health.
enum class attempt_result : std::uint8_t {
    answered,  ///< An answer of the server, whatever it says.
    refused,   ///< It said that it did not run the request.
    failed,    ///< It failed, was cut or could not be reached.
    timed_out, ///< Nothing came for too long.
    cancelled, ///< The caller left: says nothing of the server.
};

/// What is asked of a placement.
struct placement_request {
    const service_description* service = nullptr;
    std::uint32_t prompt_tokens = 0;
    milliseconds target_latency{};
    /// The caller was refused before: the objective has passed already.
    bool is_late = false;
    /// Oldest weight version that may answer; 0: any.
    std::uint64_t min_version = 0;
    /// Servers that this request has been sent to.
    const absl::flat_hash_set<std::string>* tried = nullptr;
};

/// The request goes to this server.
struct placement {
    std::string server;
    std::uint64_t version = 0;    ///< Engines: that is believed to be held.
    double in_flight = 0;         ///< Requests there, as far as it is known.
    milliseconds backlog{};       ///< Of prompts that it has to read.
    milliseconds expected_wait{}; ///< Estimated time to the first event.
    microseconds prefill_time{};  ///< Time that this prompt takes to read.
};
/// No server has room in time.
struct no_capacity {
    milliseconds retry_after{};
};
/// No server of the service is known that could answer.
struct no_server {};

using placement_decision = std::variant<placement, no_capacity, no_server>;

/// Tells where a request goes, from what is known of each server's load.
///
/// Answers this load: many entries that each see a part of the requests,
/// engines that process in batches of `slots`, and demand that passes what
/// the engines can do. Own requests in flight are known exactly, those of the
/// other entries through the engines' reports and through a notice for each
/// attempt, which keeps the entries from all choosing the same idle engine.
class backend_load {
  public:
    struct options {
        /// Servers elsewhere are chosen only where they are clearly faster.
        std::string data_centre;
        milliseconds report_ttl{1000}; ///< Older reports say nothing.
        /// A server that failed is left alone for this long, doubled with each
        /// further failure up to `max_rest`.
        milliseconds min_backoff{500};
        milliseconds max_backoff{4000};
    };

    backend_load(const options& limits, std::uint64_t seed);

    // ---- Placement ---------------------------------------------------------

    [[nodiscard]] placement_decision
    place(const placement_request& request,
          const std::vector<const backend_server*>& servers,
          std::uint32_t entries, instant now);

    /// Estimates the time to the first event of a request that is sent to an
    /// engine with `in_flight` others, which takes `backlog` to read the
    /// prompts that it has.
    [[nodiscard]] milliseconds
    estimate_first_event(const engine_profile& engine, double in_flight,
                         milliseconds backlog,
                         std::uint32_t prompt_tokens) const;

    /// Time until an engine has read the prompts that it was sent.
    [[nodiscard]] milliseconds backlog(const std::string& server,
                                       instant now) const;

    /// Requests of all entries at a server, as far as it is known.
    [[nodiscard]] double in_flight(const std::string& server,
                                   std::uint32_t entries, instant now) const;

    // ---- Events ------------------------------------------------------------

    /// This entry sent a request whose prompt takes `prefill_time`.
    void on_sent(const std::string& server, microseconds prefill_time,
                 instant now);
    /// Another entry did.
    void on_sent_by_peer(const std::string& server, microseconds prefill_time,
                         instant now);
    void on_ended(const std::string& server, attempt_result result,
                  instant now);
    void on_status(const std::string& server, const engine_status& status,
                   instant now);
    /// Forgets servers that are not listed any more.
    void retain(const absl::flat_hash_set<std::string>& listed);

    [[nodiscard]] std::optional<engine_status> status(const std::string& server,
                                                      instant now) const;

  private:
    struct load_record {
        std::uint32_t outstanding = 0; ///< Of this entry.
        std::optional<engine_status> status;
        instant reported_at{};
        std::uint32_t outstanding_at_report = 0;
        instant prefill_until{}; ///< When all prompts sent so far are read.
        std::uint32_t consecutive_failures = 0; ///< In a row.
        instant backoff_until{};
    };

    [[nodiscard]] const load_record* find(const std::string& server) const;
    static void add_prefill(load_record& record, microseconds prefill_time,
                            instant now);
    [[nodiscard]] bool has_fresh_status(const load_record& record,
                                        instant now) const;
    [[nodiscard]] std::uint64_t version_of(const backend_server& server,
                                           const engine_profile& engine,
                                           instant now) const;

    options limits_;
    std::mt19937_64 random_;
    absl::flat_hash_map<std::string, load_record> records_;
};

} // namespace ospreystage
