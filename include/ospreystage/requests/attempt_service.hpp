#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/network/links.hpp>
#include <ospreystage/requests/attempt_scheduler.hpp>
#include <ospreystage/requests/back_end.hpp>
#include <ospreystage/requests/prompt_prefix.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// Load that the backend_server reported last.
struct back_end_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    instant measured_at{};
    std::vector<std::uint64_t> prefixes; ///< Numbers of its cached blocks.
};

/// Runs the agent's attempt scheduler: performs its actions on links and the
/// back end, and reports the load to connected entries.
class attempt_service {
  public:
    // ---- Construction ------------------------------------------------------

    attempt_service(kernel& core, const settings& configuration);

    /// Subscribes to links and starts the timers; call before `links::start`.
    void start();

    // ---- Observers ---------------------------------------------------------

    /// Returns true if no attempt is running or queued.
    [[nodiscard]] bool idle() const noexcept;

    /// Returns true if a queued or running attempt needs `version`.
    [[nodiscard]] bool is_version_in_use(const digest& version) const;

    /// Returns the number of attempts that run at the back end.
    [[nodiscard]] std::uint32_t running() const noexcept;

    /// Returns the state of the scheduler and the load of the back end for the
    /// state dump.
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Replaces the service, see `attempt_scheduler::set_service`.
    void set_service(scheduled_service service);

    /// Stores the load that the back end reported.
    void set_load(back_end_load load);

    /// Refuses new attempts; queued and running attempts continue.
    void set_leaving();

  private:
    void on_back_end_event(const attempt_id& attempt, back_end_event event);
    void perform(attempt_scheduler::actions actions);
    void send(const process_id& entry, const message& body);
    void report_load();
    [[nodiscard]] load_report make_report() const;

    kernel& core_;
    const settings& configuration_;
    links& links_;
    attempt_scheduler scheduler_;
    scheduled_service service_;
    back_end_load load_;
    prefix_map prefixes_;
    absl::flat_hash_map<process_id, connection_id> entries_;
    absl::flat_hash_map<std::uint64_t, attempt_scheduler::actions>
        actions_after_hello_;
    back_end back_end_;
};

} // namespace ospreystage
