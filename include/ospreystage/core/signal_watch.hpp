#pragma once

#include <ospreystage/core/kernel.hpp>

#include <functional>

namespace ospreystage {

/// Handles SIGTERM and SIGINT (`stop`) and SIGHUP (`reload`) on the kernel
/// thread.
///
/// Create it before any other thread starts, so that all threads inherit the
/// mask that blocks these signals.
class signal_watch {
  public:
    signal_watch(kernel& core, std::function<void()> stop,
                 std::function<void()> reload);
    ~signal_watch();
    signal_watch(const signal_watch&) = delete;
    signal_watch& operator=(const signal_watch&) = delete;

  private:
    kernel& core_;
    int descriptor_ = -1;
};

} // namespace ospreystage
