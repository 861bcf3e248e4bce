#pragma once

#include <ospreystage/broker_action.hpp>
#include <ospreystage/clock.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <deque>
#include <memory>
#include <optional>
#include <variant>

namespace ospreystage {

/// What the caller's side of a request learns, in order; it ends with
/// `answer_end_action` or `refuse_action`.
using exchange_event = std::variant<answer_begin_action, answer_part_action,
                                    answer_end_action, refuse_action>;

/// Queues that carry answers from the kernel thread to HTTP threads.
class exchange_table {
  public:
    // ---- Observers ---------------------------------------------------------

    /// Number of open queues.
    [[nodiscard]] std::size_t size() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Opens a queue and returns its id.
    [[nodiscard]] request_id open();

    /// Appends an event; returns false if the queue is closed.
    bool push(request_id id, exchange_event event);

    /// Waits for the next event; returns nothing when `wait` has passed.
    [[nodiscard]] std::optional<exchange_event> next(request_id id,
                                                     milliseconds wait);

    /// Ends every open request as `unknown`: no kernel answers it any more.
    ///
    /// A request that is opened later is refused as `not-run`.
    void abandon_all();

    /// Closes a queue and forgets its events.
    void close(request_id id);

  private:
    struct queue {
        absl::CondVar ready;
        std::deque<exchange_event> events;
    };

    mutable absl::Mutex mutex_;
    bool ended_ ABSL_GUARDED_BY(mutex_) = false;
    request_id next_id_ ABSL_GUARDED_BY(mutex_) = 1;
    absl::flat_hash_map<request_id, std::shared_ptr<queue>>
        queues_ ABSL_GUARDED_BY(mutex_);
};

} // namespace ospreystage
