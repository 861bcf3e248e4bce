#include <ospreystage/core/job_thread.hpp>

#include <utility>

namespace ospreystage {

job_thread::job_thread() : thread_([this] { run_jobs(); }) {}

job_thread::~job_thread() {
    {
        const absl::MutexLock lock(&mutex_);
        stopped_ = true;
        jobs_.clear();
    }
    thread_.join();
}

void job_thread::run(job work) {
    const absl::MutexLock lock(&mutex_);
    if (!stopped_)
        jobs_.push_back(std::move(work));
}

void job_thread::run_jobs() {
    for (;;) {
        job work;
        {
            const auto is_ready = [this]()
                                      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
                                          return stopped_ || !jobs_.empty();
                                      };
            const absl::MutexLock lock(&mutex_, absl::Condition(&is_ready));
            if (stopped_)
                return;
            work = std::move(jobs_.front());
            jobs_.pop_front();
        }
        work();
    }
}

} // namespace ospreystage
