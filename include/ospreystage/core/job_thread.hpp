#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <functional>
#include <thread>

namespace ospreystage {

/// Runs blocking jobs in order on a dedicated thread.
class job_thread {
  public:
    using job = std::function<void()>;

    job_thread();

    /// Drops jobs that have not started and waits for the running job.
    ~job_thread();
    job_thread(const job_thread&) = delete;
    job_thread& operator=(const job_thread&) = delete;

    /// Queues a job, or drops it if the destructor has begun. Safe from any
    /// thread.
    void run(job work);

  private:
    void run_jobs();

    absl::Mutex mutex_;
    std::deque<job> jobs_ ABSL_GUARDED_BY(mutex_);
    bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
    std::thread thread_;
};

} // namespace ospreystage
