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

/// What entry and agent have in common: kernel, links, HTTP, signals.
///
/// Construct it before any other thread starts, see `signal_watch`.
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

    /// Calls `drain` on the kernel thread at SIGTERM or SIGINT, then stops
    /// once `idle` holds for a moment or the drain limit has passed.
    void on_stop(std::function<void()> drain, std::function<bool()> idle);

    /// Calls `callback` after the kernel has stopped, on the thread of `run`:
    /// nothing posted to the kernel is done any more.
    void on_kernel_stopped(std::function<void()> callback);

    /// Stops at once, as when a newer incarnation has replaced this process.
    void stop_now(const std::string& reason);

    /// Listens, prints `ready` and runs until the process is stopped.
    [[nodiscard]] exit_code run();

  private:
    void add_common_routes();
    void begin_drain();
    void check_drained();

    const settings& configuration_;
    process_id self_;
    kernel core_;
    signal_watch signals_; ///< Before `http_`, which starts threads.
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
