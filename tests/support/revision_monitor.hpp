#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <absl/synchronization/mutex.h>
#include <tests/support/fleet.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ospreystage::support {

/// Polls the state dump of every process of a fleet, one thread each.
///
/// Records when each revision was first seen in force, and whether a process
/// had a lower one in force than it or its predecessor of the same name. A
/// process with nothing in force does not count as lower.
class revision_monitor {
  public:
    /// Starts to poll; `system` has been started and outlives the monitor.
    revision_monitor(const fleet& system, milliseconds interval);
    ~revision_monitor();
    revision_monitor(const revision_monitor&) = delete;
    revision_monitor& operator=(const revision_monitor&) = delete;

    /// Stops or resumes polling, which itself costs the processes time.
    void set_paused(bool paused) { paused_ = paused; }

    // ---- Observers ---------------------------------------------------------

    /// Returns when `name` was first seen with `number` or a higher revision,
    /// at `after` or later; nothing if it was not.
    [[nodiscard]] std::optional<instant>
    seen(const std::string& name, revision number, instant after) const;

    /// Waits until every process of `names` was seen with `number` at `after`
    /// or later; returns false if `timeout` passes first.
    [[nodiscard]] bool await(const std::vector<std::string>& names,
                             revision number, instant after,
                             milliseconds timeout) const;

    /// Returns how often a lower revision was seen in force than before.
    [[nodiscard]] std::uint64_t reverted() const;

    /// Returns the bytes that a process sent to its peers, added up over the
    /// incarnations, between the first and the last poll of each.
    [[nodiscard]] std::uint64_t sent_bytes(const std::string& name) const;

  private:
    struct observation {
        instant time{};
        revision in_force = 0;
    };

    struct record {
        std::vector<observation> observations;
        std::string process;
        std::uint64_t last_sent = 0;
        std::uint64_t sent = 0;
        revision highest = 0;
        std::uint64_t reverted = 0;
    };

    void poll(const std::string& name, const std::string& url,
              const std::string& token, milliseconds interval);
    void add_observation(record& known, const nlohmann::json& dump,
                         instant time);

    mutable absl::Mutex mutex_;
    std::map<std::string, record> records_;
    std::atomic<bool> stopping_ = false;
    std::atomic<bool> paused_ = false;
    std::vector<std::thread> threads_;
};

} // namespace ospreystage::support
