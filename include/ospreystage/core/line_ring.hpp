#pragma once

#include <ospreystage/core/clock.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace ospreystage {

/// Bounded queue of log lines between loggers and one writer thread.
///
/// `push` never waits for the writer. Failure lines may use the whole
/// capacity and other lines half of it, so that failures are dropped last.
class line_ring {
  public:
    explicit line_ring(std::size_t capacity_bytes)
        : capacity_bytes_(capacity_bytes) {}

    /// Queues a line; returns false and drops it if there is no room for it.
    bool push(std::string line, bool is_failure);

    /// Waits for at least one line, then removes and returns all lines in
    /// order.
    [[nodiscard]] std::string take();

    /// Records that the lines from the last `take` have been written.
    void on_written();

    /// Waits until every line has been written; returns false if that takes
    /// longer than `limit`.
    bool wait_until_written(milliseconds limit);

    [[nodiscard]] std::size_t pending_bytes() const;

  private:
    [[nodiscard]] bool is_idle() const ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
        return lines_.empty() && !is_writing_;
    }

    const std::size_t capacity_bytes_;
    mutable absl::Mutex mutex_;
    std::deque<std::string> lines_ ABSL_GUARDED_BY(mutex_);
    std::size_t bytes_ ABSL_GUARDED_BY(mutex_) = 0;
    bool is_writing_ ABSL_GUARDED_BY(mutex_) = false;
};

/// Limits the lines of each kind per second, in windows of one second.
class line_quota {
  public:
    explicit line_quota(std::uint32_t lines_per_second)
        : lines_per_second_(lines_per_second) {}

    /// Counts a line of a kind; returns false if it exceeds the limit and must
    /// be dropped.
    [[nodiscard]] bool take(const std::string& kind, instant now);

  private:
    struct window {
        instant started{};
        std::uint32_t lines = 0;
    };

    std::uint32_t lines_per_second_;
    std::map<std::string, window> windows_;
};

} // namespace ospreystage
