#pragma once

#include <ospreystage/core/clock.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>
#include <tests/support/caller.hpp>
#include <tests/support/fleet.hpp>
#include <tests/support/repeating_caller.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace ospreystage::support {

/// Mix and amount of callers' requests.
struct load_options {
    std::size_t threads = 16; ///< Callers that wait for each answer.
    std::uint64_t seed = 1;
    std::vector<std::string> organisations = {"head-office", "branch-1",
                                              "branch-2"};
    std::string request_class = "desk";
    std::uint32_t stream_percent = 60;
    std::uint32_t non_idempotent_percent = 30;
    std::uint32_t plain_percent = 0; ///< Share for the plain service.
    std::uint64_t max_tokens = 16;
    std::uint64_t min_tokens = 0; ///< 0: every answer has `max_tokens`.
    milliseconds deadline{10'000};
    milliseconds pause{0}; ///< Between two requests of a caller.
    /// Mean arrivals of all callers together; 0: the next request of a caller
    /// follows its last answer and `pause`.
    double requests_per_second = 0;
    /// Target of `served_in_class`: to the first token of a stream.
    milliseconds first_token_target{1000};
    repeat_options repeats;
};

/// One request of a caller, with all of its tries.
struct call_record {
    instant begun;
    std::string organisation;
    std::string key; ///< `organisation/key`, or empty.
    call_result first_result = call_result::lost;
    call_result result = call_result::lost;
    bool in_class = false;
};

/// What callers saw, and what the back ends ran.
struct load_summary {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t served_in_class = 0; ///< First token and end in time.
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
    std::uint64_t mixed = 0;
    std::uint64_t cut = 0;
    /// Idempotency keys that started more than once at the back ends.
    std::uint64_t doubled = 0;
    /// Requests told `not-run` whose key did start.
    std::uint64_t ran_after_not_run = 0;
    std::uint64_t repeats = 0;              ///< Tries after the first.
    std::uint64_t dead_connections = 0;     ///< Tries whose connection died.
    std::vector<microseconds> first_tokens; ///< Sorted.
    std::vector<microseconds> token_gaps;   ///< Sorted.
    std::map<std::string, std::uint64_t> reasons; ///< Of refusals.
    std::vector<call_record> calls;               ///< In order of their end.

    /// Returns true if no answer was lost, doubled, mixed or cut, and no
    /// `not-run` was untrue.
    [[nodiscard]] bool is_clean() const noexcept;
};

/// Returns the value below which `percent` of the sorted `values` lie.
[[nodiscard]] microseconds percentile(const std::vector<microseconds>& values,
                                      double percent);

/// Adds the counts of `other`, whose load had another seed.
void add(load_summary& summary, const load_summary& other);

/// Returns the counts as JSON fields.
[[nodiscard]] nlohmann::json to_json(const load_summary& summary);

/// Calls the product from several threads until it is stopped.
class load {
  public:
    load(fleet& system, caller& client, load_options options);
    ~load();
    load(const load&) = delete;
    load& operator=(const load&) = delete;

    void start();

    /// Ends the calls, waits for their answers and asks the back ends.
    [[nodiscard]] load_summary finish();

  private:
    void await_arrival(instant arrival) const;
    void call_until_stopped(std::uint64_t index);
    void call_once(std::uint64_t index, std::uint64_t number,
                   std::mt19937_64& random);
    [[nodiscard]] bool in_class(const call_outcome& outcome) const;
    void record(const repeated_outcome& outcome, call_record call);
    void count_runs(load_summary& summary) const
        ABSL_SHARED_LOCKS_REQUIRED(mutex_);

    fleet& system_;
    load_options options_;
    repeating_caller client_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
    mutable absl::Mutex mutex_;
    load_summary summary_ ABSL_GUARDED_BY(mutex_);
};

} // namespace ospreystage::support
