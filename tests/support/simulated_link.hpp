#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <tuple>
#include <vector>

namespace ospreystage::support {

/// Work in simulated time, in the order in which it is due.
class event_queue {
  public:
    using task = std::function<void()>;

    [[nodiscard]] instant now() const noexcept { return now_; }

    /// Runs `work` at `due`, or now if that has passed.
    void at(instant due, task work);
    void after(std::chrono::nanoseconds delay, task work) {
        at(now_ + delay, std::move(work));
    }

    /// Runs what is due until `end`.
    void run_until(instant end);

  private:
    struct event {
        instant due;
        std::uint64_t sequence;
        task work;
        bool operator<(const event& other) const {
            return std::tie(due, sequence) >
                   std::tie(other.due, other.sequence);
        }
    };

    instant now_ = instant(seconds(1000));
    std::uint64_t sequence_ = 0;
    std::priority_queue<event> events_;
};

/// One direction of a VM's link: what is sent waits in the order of sending in
/// front of a rate that may change, and arrives some time after it has left.
class simulated_link {
  public:
    /// `bytes_per_second` of 0: what is sent does not wait.
    simulated_link(event_queue& events, double bytes_per_second,
                   microseconds latency);
    simulated_link(const simulated_link&) = delete;
    simulated_link& operator=(const simulated_link&) = delete;

    void set_rate(double bytes_per_second);

    /// Sends bytes; `arrived` is called when all of them have arrived.
    void send(std::size_t bytes, event_queue::task arrived);

    /// Returns the bytes that have left so far.
    [[nodiscard]] double sent_bytes() const noexcept { return sent_; }

  private:
    struct waiting_bytes {
        double remaining = 0;
        event_queue::task arrived;
    };

    void advance();
    void schedule();

    event_queue& events_;
    double rate_;
    microseconds latency_;
    std::deque<waiting_bytes> waiting_; ///< The first is being sent.
    instant advanced_at_{};
    std::uint64_t schedule_ = 0; ///< Rises with each change of the first's end.
    double sent_ = 0;
};

} // namespace ospreystage::support
