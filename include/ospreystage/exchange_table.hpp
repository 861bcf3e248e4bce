#pragma once

#include <ospreystage/clock.hpp>
#include <ospreystage/ids.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace ospreystage {

/// Addresses one caller's request inside an entry.
using request_id = std::uint64_t;

/// Final outcome of a request that is not answered.
enum class outcome : std::uint8_t {
    not_run, ///< It did not run and never will.
    unknown, ///< It may have run.
};

/// Returns `not-run` or `unknown`.
[[nodiscard]] const char* to_string(outcome value) noexcept;

/// First event of an answer.
struct exchange_begin {
    std::uint16_t status = 200;
    std::string content_type;
    digest version;
};

/// Next bytes of an answer.
struct exchange_part {
    std::string data;
};

/// The answer is whole.
struct exchange_end {};

/// The request is given up on; no further event follows.
struct exchange_refusal {
    outcome result = outcome::not_run;
    std::string reason;
    milliseconds retry_after{};
};

using exchange_event =
    std::variant<exchange_begin, exchange_part, exchange_end, exchange_refusal>;

/// Queues that carry answers from the kernel thread to HTTP threads.
class exchange_table {
  public:
    /// Opens a queue and returns its id.
    [[nodiscard]] request_id open();

    /// Appends an event; returns false if the queue is closed.
    bool push(request_id id, exchange_event event);

    /// Waits for the next event; returns nothing when `wait` has passed.
    [[nodiscard]] std::optional<exchange_event> next(request_id id,
                                                     milliseconds wait);

    /// Closes a queue and forgets its events.
    void close(request_id id);

    /// Number of open queues.
    [[nodiscard]] std::size_t size() const;

  private:
    struct queue {
        absl::CondVar ready;
        std::deque<exchange_event> events;
    };

    mutable absl::Mutex mutex_;
    request_id next_id_ ABSL_GUARDED_BY(mutex_) = 1;
    absl::flat_hash_map<request_id, std::shared_ptr<queue>>
        queues_ ABSL_GUARDED_BY(mutex_);
};

} // namespace ospreystage
