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

/// Load of the backend_server as it last reported it.
struct back_end_load {
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t capacity = 0;
    instant measured_at{};
    std::vector<std::uint64_t> prefixes; ///< Blocks that it caches.
};

/// Shell of the agent's attempt scheduler: carries its actions to links and the
/// back end, and reports load to the entries that are connected.
class attempt_service {
  public:
    // ---- Construction ------------------------------------------------------

    attempt_service(kernel& core, const settings& configuration);

    /// Subscribes to links and starts the ticks; before `links::start`.
    void start();

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool idle() const noexcept;

    /// Returns true if a queued or running attempt needs `version`.
    [[nodiscard]] bool is_version_in_use(const digest& version) const;

    /// Attempts that the back end runs for this agent.
    [[nodiscard]] std::uint32_t running() const noexcept;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Replaces what is served.
    void set_service(scheduled_service service);

    /// Notes the back end's own figures.
    void set_load(back_end_load load);

    /// Refuses new attempts; those in progress go on.
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
