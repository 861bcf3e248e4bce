#include <tests/support/simulated_link.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace ospreystage::support {

// ---- Events ----------------------------------------------------------------

void event_queue::at(instant due, task work) {
    events_.push({std::max(due, now_), sequence_++, std::move(work)});
}

void event_queue::run_until(instant end) {
    while (!events_.empty() && events_.top().due <= end) {
        const event next = events_.top();
        events_.pop();
        now_ = next.due;
        next.work();
    }
    now_ = std::max(now_, end);
}

// ---- Links -----------------------------------------------------------------

simulated_link::simulated_link(event_queue& events, double bytes_per_second,
                               microseconds latency)
    : events_(events), rate_(bytes_per_second), latency_(latency) {}

void simulated_link::set_rate(double bytes_per_second) {
    advance();
    rate_ = bytes_per_second;
    schedule();
}

void simulated_link::send(std::size_t bytes, event_queue::task arrived) {
    if (rate_ <= 0) {
        sent_ += static_cast<double>(bytes);
        events_.after(latency_, std::move(arrived));
        return;
    }
    const bool is_idle = waiting_.empty();
    if (is_idle)
        advanced_at_ = events_.now();
    waiting_.push_back({static_cast<double>(bytes), std::move(arrived)});
    if (is_idle)
        schedule();
}

/// Accounts for what has left since the last call.
void simulated_link::advance() {
    const std::chrono::duration<double> elapsed = events_.now() - advanced_at_;
    advanced_at_ = events_.now();
    if (waiting_.empty())
        return;
    const double left =
        std::min(waiting_.front().remaining, elapsed.count() * rate_);
    waiting_.front().remaining -= left;
    sent_ += left;
}

/// Schedules the end of what is being sent.
void simulated_link::schedule() {
    const std::uint64_t current = ++schedule_;
    if (waiting_.empty())
        return;
    const std::chrono::duration<double> time(waiting_.front().remaining /
                                             rate_);
    events_.after(
        std::chrono::ceil<std::chrono::nanoseconds>(time), [this, current] {
            if (current != schedule_)
                return;
            advance();
            events_.after(latency_, std::move(waiting_.front().arrived));
            waiting_.pop_front();
            schedule();
        });
}

} // namespace ospreystage::support
