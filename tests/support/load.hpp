#pragma once

#include <ospreystage/clock.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>
#include <tests/support/caller.hpp>
#include <tests/support/fleet.hpp>

#include <atomic>
#include <cstdint>
#include <map>
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
    milliseconds deadline{10'000};
    milliseconds pause{0}; ///< Between two requests of a caller.
};

/// What callers saw, and what the back ends ran.
struct load_summary {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost = 0;
    std::uint64_t mixed = 0;
    std::uint64_t cut = 0;
    /// Idempotency keys that started more than once at the back ends.
    std::uint64_t doubled = 0;
    /// Requests told `not-run` whose key did start.
    std::uint64_t ran_after_not_run = 0;
    std::vector<microseconds> first_tokens;       ///< Sorted.
    std::vector<microseconds> token_gaps;         ///< Sorted.
    std::map<std::string, std::uint64_t> reasons; ///< Of refusals.

    /// Returns true if no answer was lost, doubled, mixed or cut, and no
    /// `not-run` was untrue.
    [[nodiscard]] bool is_clean() const noexcept;
};

/// Returns the value below which `percent` of the sorted `values` lie.
[[nodiscard]] microseconds percentile(const std::vector<microseconds>& values,
                                      double percent);

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
    struct keyed_result {
        std::string key; ///< `organisation/key`.
        call_result result = call_result::lost;
    };

    void call_until_stopped(std::uint64_t index);
    void record(const call_outcome& outcome, const std::string& key);
    void count_runs(load_summary& summary) const
        ABSL_SHARED_LOCKS_REQUIRED(mutex_);

    fleet& system_;
    caller& client_;
    load_options options_;
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> threads_;
    mutable absl::Mutex mutex_;
    load_summary summary_ ABSL_GUARDED_BY(mutex_);
    std::vector<keyed_result> keyed_ ABSL_GUARDED_BY(mutex_);
};

} // namespace ospreystage::support
