#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/requests/incoming_request.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// The request may be dispatched now.
struct admission_granted {};

/// The request is queued; `admission::take_startable` returns it once it may be
/// dispatched.
struct admission_queued {};

/// The request is rejected.
struct admission_refused {
    std::string reason; ///< `rate_limited` or `overloaded`.
    milliseconds retry_after{};
};

/// Outcome of `admission::admit` for a new request.
using admission_decision =
    std::variant<admission_granted, admission_queued, admission_refused>;

/// The properties of a request that decide about its admission.
struct admission_ticket {
    request_id request = 0;
    std::string organisation;
    std::string service;
    std::string request_class;
    std::uint32_t priority = 0; ///< Higher values are dispatched first.
    instant deadline{};
};

/// Schedules the dispatch of requests and rejects those that cannot be served.
///
/// A token bucket limits the rate of each organisation. Under contention the
/// slots of a service are shared among organisations in proportion to their
/// weights. A request that is not expected to complete within its deadline is
/// rejected at once.
class admission {
  public:
    // ---- Construction ------------------------------------------------------

    /// `limit` bounds the number of running and queued requests together.
    explicit admission(std::size_t limit);

    // ---- Observers ---------------------------------------------------------

    /// Returns the number of running and queued requests.
    [[nodiscard]] std::size_t size() const noexcept;

    /// Estimates how long a new request with this ticket would wait for a slot.
    [[nodiscard]] milliseconds
    expected_wait(const admission_ticket& ticket) const;

    /// Returns the state of pools and token buckets for the state dump.
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs ------------------------------------------------------------

    /// Applies the weights and rates of the organisations; an organisation
    /// that already had a rate keeps its remaining tokens.
    void set_document(const rollout_document& document, instant now);

    /// Sets how many requests of a service may run at the same time; 0: only
    /// the total limit applies.
    void set_slots(const std::string& service, std::uint32_t slots);

    /// Admits, queues or rejects a new request.
    [[nodiscard]] admission_decision admit(const admission_ticket& ticket,
                                           instant now);

    /// Marks queued requests as running while slots are free and returns them.
    [[nodiscard]] std::vector<request_id> take_startable(instant now);

    /// Drops and returns the queued requests that can no longer complete
    /// within their deadline.
    [[nodiscard]] std::vector<request_id> take_unservable(instant now);

    /// Removes a request. Its service time enters the estimates if `answered`
    /// is true.
    void end(request_id request, bool answered, instant now);

  private:
    struct bucket {
        std::uint32_t weight = 1;
        std::uint32_t rate = 0; ///< Tokens per second; 0: unlimited.
        std::uint32_t burst = 1;
        double tokens = 0;
        instant refilled_at{};
    };
    struct request_record {
        admission_ticket ticket;
        bool running = false;
        instant started_at{};
    };
    using organisation_queues = std::map<std::string, std::deque<request_id>>;
    struct pool {
        std::uint32_t slots = 0;
        std::uint32_t running = 0;
        /// Moving average of the time from dispatch to the complete answer, in
        /// milliseconds; 0: unknown.
        double service_ms = 0;
        std::map<std::string, double> service_ms_by_class;
        std::map<std::string, std::uint32_t> running_by_organisation;
        std::map<std::uint32_t, organisation_queues, std::greater<>> waiting;
    };

    [[nodiscard]] bool take_token(const std::string& organisation, instant now,
                                  milliseconds& retry_after);
    [[nodiscard]] std::uint32_t
    weight_of(const std::string& organisation) const;
    [[nodiscard]] double share_of(const pool& target,
                                  const std::string& organisation) const;
    [[nodiscard]] std::string
    next_organisation(const pool& target,
                      const organisation_queues& queues) const;
    /// Returns the average time from dispatch to the complete answer for the
    /// class of the ticket; 0 if it is unknown.
    [[nodiscard]] static milliseconds
    expected_service_time(const pool& target, const admission_ticket& ticket);
    void start(pool& target, request_id request, instant now);
    static void remove_waiting(pool& target, const admission_ticket& ticket);

    std::size_t limit_ = 0;
    absl::flat_hash_map<std::string, bucket> buckets_;
    std::map<std::string, pool> pools_;
    absl::flat_hash_map<request_id, request_record> requests_;
    std::uint64_t rate_limited_ = 0;
    std::uint64_t overloaded_ = 0;
};

} // namespace ospreystage
