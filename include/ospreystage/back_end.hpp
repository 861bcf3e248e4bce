#pragma once

#include <ospreystage/clock.hpp>
#include <ospreystage/messages.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace httplib {
class Client;
}

namespace ospreystage {

/// The back end began to answer.
struct back_end_begin {
    std::uint16_t status = 0;
    std::string content_type;
    digest version; ///< From `X-Model-Version`, empty if there is none.
};

/// One event of a stream, or any bytes of another answer.
struct back_end_part {
    std::string data;
};

/// The answer is whole.
struct back_end_end {};

/// The call failed.
struct back_end_failed {
    bool reached = true; ///< False: the back end never saw the request.
    std::string detail;
};

using back_end_event =
    std::variant<back_end_begin, back_end_part, back_end_end, back_end_failed>;

/// Calls the backend_server of this VM over HTTP, one thread a call.
///
/// Events are handed to the callback on the calling thread of the pool.
class back_end {
  public:
    using callback = std::function<void(const attempt_id&, back_end_event)>;

    /// Makes `threads` threads that call `url` (`http://host:port`).
    back_end(std::string url, std::uint32_t threads, callback receiver);
    ~back_end();
    back_end(const back_end&) = delete;
    back_end& operator=(const back_end&) = delete;

    /// Starts a call; one of `back_end_end` and `back_end_failed` follows.
    void start(const run_order& order, milliseconds deadline);

    /// Breaks a call off.
    void cancel(const attempt_id& attempt);

    /// Returns the URL of the back end.
    [[nodiscard]] const std::string& url() const noexcept { return url_; }

  private:
    struct call {
        run_order order;
        milliseconds deadline{};
    };

    void work();
    void perform(const call& current);

    std::string url_;
    callback receiver_;
    absl::Mutex mutex_;
    std::deque<call> waiting_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<attempt_id, std::shared_ptr<httplib::Client>>
        running_ ABSL_GUARDED_BY(mutex_);
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<std::thread> threads_;
};

} // namespace ospreystage
