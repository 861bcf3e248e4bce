#include <ospreystage/core/worker_pool.hpp>

#include <utility>

namespace ospreystage {

worker_pool::worker_pool(std::uint32_t threads) {
    threads_.reserve(threads);
    for (std::uint32_t index = 0; index < threads; ++index)
        threads_.emplace_back([this] { work(); });
}

worker_pool::~worker_pool() {
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
        waiting_.clear();
    }
    for (std::thread& thread : threads_)
        thread.join();
}

void worker_pool::run(task work) {
    const absl::MutexLock lock(&mutex_);
    if (!stopping_)
        waiting_.push_back(std::move(work));
}

void worker_pool::work() {
    const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
        return stopping_ || !waiting_.empty();
    };
    for (;;) {
        task next;
        {
            const absl::MutexLock lock(&mutex_, absl::Condition(&ready));
            if (stopping_)
                return;
            next = std::move(waiting_.front());
            waiting_.pop_front();
        }
        next();
    }
}

} // namespace ospreystage
