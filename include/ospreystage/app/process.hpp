#pragma once

#include <ospreystage/core/exit_code.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/metrics.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/core/signal_watch.hpp>
#include <ospreystage/http/api_server.hpp>
#include <ospreystage/network/links.hpp>

#include <functional>

namespace ospreystage {

/// Kernel, links, HTTP server and signal handling shared by entry and agent.
///
/// Must be constructed before any other thread starts; see `signal_watch`.
class process {
  public:
    explicit process(const settings& configuration);
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] kernel& core() noexcept { return core_; }
    [[nodiscard]] links& link_layer() noexcept { return *links_; }
    [[nodiscard]] api_server& http() noexcept { return http_; }
    [[nodiscard]] metrics& process_metrics() noexcept { return metrics_; }
    [[nodiscard]] const process_id& self() const noexcept { return self_; }

    // ---- Life cycle --------------------------------------------------------

    /// Sets the handlers for SIGTERM and SIGINT. `drain` is called on the
    /// kernel thread; the process stops once `idle` holds at two checks after
    /// the minimum drain time, or when the maximum drain time has passed.
    void on_stop(std::function<void()> drain, std::function<bool()> idle);

    /// Sets a callback for the thread of `run`, called after the kernel has
    /// stopped, when tasks posted to the kernel no longer run.
    void on_kernel_stopped(std::function<void()> callback);

    /// Stops without draining, for example when a newer incarnation has
    /// replaced this process.
    void stop_now(const std::string& reason);

    /// Starts listening, prints `ready` and runs until the process is stopped.
    /// Returns `usage` if an address cannot be bound.
    [[nodiscard]] exit_code run();

  private:
    void add_common_routes();
    void begin_drain();
    void check_drained();

    const settings& configuration_;
    process_id self_;
    kernel core_;
    signal_watch signals_; ///< Must precede `http_`, which starts threads.
    links* links_ = nullptr;
    metrics metrics_;
    api_server http_;
    std::function<void()> drain_;
    std::function<bool()> idle_;
    std::function<void()> on_kernel_stopped_;
    bool draining_ = false;
    instant drain_started_{};
};

} // namespace ospreystage
