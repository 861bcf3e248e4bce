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

/// The request waits; `admission::take_startable` names it later.
struct admission_queued {};

/// The request is not taken.
struct admission_refused {
    std::string reason; ///< `rate_limited` or `overloaded`.
    milliseconds retry_after{};
};

/// Answer of the admission to a new request.
using admission_decision =
    std::variant<admission_granted, admission_queued, admission_refused>;

/// A request as the admission sees it.
struct admission_ticket {
    request_id request = 0;
    std::string organisation;
    std::string service;
    std::string request_class;
    std::uint32_t priority = 0; ///< Higher goes first.
    instant deadline{};
};

/// Decides when requests may be dispatched, and which are refused early.
///
/// Each organisation has a token bucket for its rate, and under contention a
/// share of each service's slots by its weight. A request that would wait
/// longer than its deadline allows is refused at once.
class admission {
  public:
    // ---- Construction ------------------------------------------------------

    /// `limit` bounds the requests in progress and waiting together.
    explicit admission(std::size_t limit);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] std::size_t size() const noexcept;

    /// Time that a new request of the ticket's kind would wait for a slot.
    [[nodiscard]] milliseconds
    expected_wait(const admission_ticket& ticket) const;

    /// Describes pools and buckets for the state dump.
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs ------------------------------------------------------------

    /// Takes weights and rates of the organisations.
    void set_document(const rollout_document& document, instant now);

    /// Sets how many requests of a service may be in progress; 0: no limit
    /// but the total one.
    void set_slots(const std::string& service, std::uint32_t slots);

    [[nodiscard]] admission_decision admit(const admission_ticket& ticket,
                                           instant now);

    /// Returns waiting requests that may be dispatched from now on.
    [[nodiscard]] std::vector<request_id> take_startable(instant now);

    /// Returns and drops waiting requests that can't be served in time.
    [[nodiscard]] std::vector<request_id> take_unservable(instant now);

    /// A request ended; `answered` says whether its time counts for estimates.
    void end(request_id request, bool answered, instant now);

  private:
    struct bucket {
        std::uint32_t weight = 1;
        std::uint32_t rate = 0; ///< Tokens a second; 0: unlimited.
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
        /// Moving averages of the time to the whole answer; 0: not known.
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
    /// Time that a request of the ticket's class takes once dispatched.
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
