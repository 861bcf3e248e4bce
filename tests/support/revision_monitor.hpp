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

/// Polls the state dump of every process of a fleet, with one thread for each.
///
/// Records when each revision was first seen in force, and how often the
/// revision in force of a process was lower than the highest one seen for that
/// name, including earlier incarnations. A process with nothing in force does
/// not count as lower.
class revision_monitor {
  public:
    /// Starts polling; `system` must be started and must outlive the monitor.
    revision_monitor(const fleet& system, milliseconds interval);
    ~revision_monitor();
    revision_monitor(const revision_monitor&) = delete;
    revision_monitor& operator=(const revision_monitor&) = delete;

    /// Pauses or resumes polling, which adds load to the processes.
    void set_paused(bool paused) { paused_ = paused; }

    // ---- Observers ---------------------------------------------------------

    /// Returns the first time, at or after `after`, at which `name` was seen
    /// with `number` or a higher revision in force, if any.
    [[nodiscard]] std::optional<instant>
    seen(const std::string& name, revision number, instant after) const;

    /// Waits until every process of `names` was seen with `number` or a higher
    /// revision at or after `after`; returns false if `timeout` passes first.
    [[nodiscard]] bool await(const std::vector<std::string>& names,
                             revision number, instant after,
                             milliseconds timeout) const;

    /// Returns the number of polls that saw a lower revision in force than the
    /// highest one before.
    [[nodiscard]] std::uint64_t reverted() const;

    /// Returns the bytes that a process sent to its peers between the first and
    /// the last poll of each incarnation, summed over the incarnations.
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
