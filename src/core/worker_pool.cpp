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
        pending_.clear();
    }
    for (std::thread& thread : threads_)
        thread.join();
}

void worker_pool::run(task work) {
    const absl::MutexLock lock(&mutex_);
    if (!stopping_)
        pending_.push_back(std::move(work));
}

void worker_pool::work() {
    const auto is_ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
        return stopping_ || !pending_.empty();
    };
    for (;;) {
        task next;
        {
            const absl::MutexLock lock(&mutex_, absl::Condition(&is_ready));
            if (stopping_)
                return;
            next = std::move(pending_.front());
            pending_.pop_front();
        }
        next();
    }
}

} // namespace ospreystage
