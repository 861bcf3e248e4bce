#include "engine_batch.hpp"

#include <absl/time/time.h>
#include <tests/support/weights.hpp>

#include <algorithm>
#include <thread>

namespace ospreystage::standin {

namespace {

constexpr std::size_t queue_per_capacity = 4;
constexpr std::size_t prefill_blocks_per_step = 8;
constexpr absl::Duration poll_interval = absl::Milliseconds(50);

} // namespace

engine_batch::engine_batch(limits settings)
    : limits_(settings), cache_(settings.cache_blocks, settings.event_lag) {
    report_.taken = steady::now();
}

void engine_batch::run() {
    steady::time_point next = steady::now();
    for (;;) {
        {
            const absl::MutexLock lock(&mutex_);
            next = std::max(next + limits_.step, steady::now());
            if (!stalled_)
                step_all();
            const auto now = steady::now();
            if (now - report_.taken >= limits_.load_lag)
                report_ = {running_.size(), queue_.size(), now};
        }
        std::this_thread::sleep_until(next);
    }
}

bool engine_batch::submit(const pointer& request) {
    const absl::MutexLock lock(&mutex_);
    if (queue_.size() >= queue_per_capacity * limits_.capacity)
        return false;
    queue_.push_back(request);
    return true;
}

engine_batch::progress_view engine_batch::await(const pointer& request,
                                                std::size_t seen) {
    const absl::MutexLock lock(&mutex_);
    if (request->tokens.size() <= seen && !request->finished && !request->cut)
        request->progress.WaitWithTimeout(&mutex_, poll_interval);
    progress_view view;
    const auto first = static_cast<std::ptrdiff_t>(seen);
    view.tokens.assign(request->tokens.begin() + first, request->tokens.end());
    view.finished = request->finished;
    view.cut = request->cut;
    return view;
}

engine_batch::progress_view engine_batch::await_end(const pointer& request) {
    const absl::MutexLock lock(&mutex_);
    if (!request->finished && !request->cut)
        request->progress.WaitWithTimeout(&mutex_, poll_interval);
    return {{}, request->finished, request->cut};
}

void engine_batch::cancel(const pointer& request) {
    const absl::MutexLock lock(&mutex_);
    std::erase(queue_, request);
    std::erase(running_, request);
}

void engine_batch::reset() {
    const absl::MutexLock lock(&mutex_);
    running_.insert(running_.end(), queue_.begin(), queue_.end());
    for (const pointer& request : running_) {
        request->cut = true;
        request->progress.SignalAll();
    }
    running_.clear();
    queue_.clear();
    cache_.clear();
    sessions_.clear();
}

void engine_batch::set_stalled(bool stalled) {
    const absl::MutexLock lock(&mutex_);
    stalled_ = stalled;
}

void engine_batch::set_step(std::chrono::milliseconds step) {
    const absl::MutexLock lock(&mutex_);
    limits_.step = step;
}

engine_batch::load_report engine_batch::load() {
    const absl::MutexLock lock(&mutex_);
    if (limits_.load_lag == std::chrono::milliseconds(0))
        return {running_.size(), queue_.size(), steady::now()};
    return report_;
}

json engine_batch::runs() {
    const absl::MutexLock lock(&mutex_);
    return runs_.to_json();
}

json engine_batch::cache_events(std::int64_t after) {
    const absl::MutexLock lock(&mutex_);
    return cache_.events_after(after, steady::now());
}

json engine_batch::export_session(const std::string& session) {
    const absl::MutexLock lock(&mutex_);
    const auto found = sessions_.find(session);
    if (found == sessions_.end())
        return nullptr;
    return {{"session", session}, {"blocks", found->second}};
}

void engine_batch::import_session(const std::string& session,
                                  const json& state) {
    const auto blocks = state.at("blocks").get<std::vector<std::string>>();
    const absl::MutexLock lock(&mutex_);
    cache_.use(blocks);
    sessions_[session] = blocks;
}

void engine_batch::step_all() {
    admit();
    for (const pointer& request : running_)
        step_one(*request);
    std::erase_if(running_,
                  [](const pointer& request) { return request->finished; });
}

void engine_batch::admit() {
    while (running_.size() < limits_.capacity && !queue_.empty()) {
        const auto best =
            std::max_element(queue_.begin(), queue_.end(),
                             [](const pointer& left, const pointer& right) {
                                 return left->priority < right->priority;
                             });
        const pointer request = *best;
        queue_.erase(best);
        const std::size_t cached = cache_.use(request->blocks);
        request->prefill_steps =
            (request->blocks.size() - cached) / prefill_blocks_per_step;
        if (!request->session.empty())
            sessions_[request->session] = request->blocks;
        runs_.add(request->identity);
        running_.push_back(request);
    }
}

void engine_batch::step_one(generation& request) {
    if (request.prefill_steps > 0) {
        --request.prefill_steps;
        return;
    }
    if (request.next_token < request.end_token) {
        request.tokens.push_back(support::expected_token(
            request.weights_digest, request.prompt, request.next_token));
        ++request.next_token;
    }
    request.finished = request.next_token >= request.end_token;
    request.progress.SignalAll();
}

} // namespace ospreystage::standin
