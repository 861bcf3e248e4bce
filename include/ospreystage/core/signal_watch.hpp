#pragma once

#include <ospreystage/core/kernel.hpp>

#include <functional>

namespace ospreystage {

/// Delivers SIGTERM, SIGINT and SIGHUP on the kernel's thread.
///
/// Make it before any thread starts: it blocks the signals for all of them.
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
