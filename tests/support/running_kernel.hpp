#pragma once

#include "eventually.hpp"

#include <ospreystage/core/kernel.hpp>

#include <thread>
#include <utility>

namespace ospreystage::testing {

/// Runs a kernel on a thread of its own until it goes out of scope.
class running_kernel {
  public:
    explicit running_kernel(kernel& core)
        : core_(core), thread_([&core] { core.run(); }) {}
    ~running_kernel() { stop(); }
    running_kernel(const running_kernel&) = delete;
    running_kernel& operator=(const running_kernel&) = delete;

    /// Returns what `body` returns on the kernel's thread.
    template <typename Body>
    auto ask(Body body) {
        return core_.call("test", std::move(body)).value();
    }

    /// Waits until `done` holds on the kernel's thread; returns false if it
    /// does not within `limit`.
    template <typename Condition>
    bool until(Condition done, milliseconds limit) {
        return support::eventually(limit, [&] { return ask(done); });
    }

    void stop() {
        core_.stop();
        if (thread_.joinable())
            thread_.join();
    }

  private:
    kernel& core_;
    std::thread thread_;
};

} // namespace ospreystage::testing
