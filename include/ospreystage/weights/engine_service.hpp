#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/http/blocking_client.hpp>
#include <ospreystage/weights/engine_state.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace ospreystage {

/// Reconciles the state of this VM's engine with its target.
///
/// A dedicated thread polls the engine; decisions run on the kernel thread.
/// Every order carries the agent's incarnation as its fencing token.
class engine_service {
  public:
    /// Callbacks of the service; all run on the kernel thread.
    struct dependencies {
        std::function<engine_target(const engine_state&)> target;
        std::function<void(const engine_state&, std::vector<std::uint64_t>)>
            observed;
        std::function<void()> unreachable;
    };

    // ---- Construction ------------------------------------------------------

    engine_service(kernel& core, const settings& configuration,
                   std::uint64_t fence, dependencies callbacks);
    ~engine_service();
    engine_service(const engine_service&) = delete;
    engine_service& operator=(const engine_service&) = delete;

    /// Starts polling; call it once the kernel is about to run.
    void start();

    /// Stops polling and joins the thread.
    void stop();

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] nlohmann::json dump() const;

  private:
    struct observation {
        engine_state state;
        std::vector<std::uint64_t> prefixes;
    };

    [[nodiscard]] blocking_client::answer
    call_engine(const http_request& request) const;
    void poll();
    [[nodiscard]] std::optional<observation> observe();
    [[nodiscard]] std::vector<engine_order>
    decide(const observation& observed_state);
    void send_orders(const std::vector<engine_order>& orders);
    void read_cache_events();
    [[nodiscard]] bool wait_for_next_poll();

    kernel& core_;
    const settings& configuration_;
    std::uint64_t fence_;
    dependencies callbacks_;
    std::thread thread_;
    std::uint64_t next_cache_event_ = 0;  ///< Polling thread only.
    std::vector<std::uint64_t> prefixes_; ///< Polling thread only.
    std::uint64_t polls_ = 0;             ///< Kernel thread only.
    std::uint64_t failures_ = 0;          ///< Kernel thread only.
    std::uint64_t orders_ = 0;            ///< Kernel thread only.
    engine_state latest_;                 ///< Kernel thread only.

    absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
};

} // namespace ospreystage
