#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <thread>
#include <vector>

namespace ospreystage {

/// Thread pool for blocking tasks, which start in order of submission.
class worker_pool {
  public:
    using task = std::function<void()>;

    // ---- Construction ------------------------------------------------------

    explicit worker_pool(std::uint32_t threads);

    /// Drops pending tasks and waits for running ones.
    ~worker_pool();
    worker_pool(const worker_pool&) = delete;
    worker_pool& operator=(const worker_pool&) = delete;

    // ---- Work --------------------------------------------------------------

    /// Queues a task, or drops it if the destructor has begun. Safe from any
    /// thread.
    void run(task work);

  private:
    void work();

    absl::Mutex mutex_;
    std::deque<task> pending_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<std::thread> threads_;
};

} // namespace ospreystage
