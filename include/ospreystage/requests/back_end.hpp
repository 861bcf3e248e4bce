#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/http/web_client.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/serving/event_splitter.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <functional>
#include <string>
#include <variant>

namespace ospreystage {

/// The head of an answer was received.
struct back_end_begin {
    std::uint16_t status = 0;
    std::string content_type;
    digest version; ///< From `X-Model-Version`, empty if there is none.
};

/// One event of a stream, or a piece of another body.
struct back_end_part {
    std::string data;
};

/// The answer is complete.
struct back_end_end {};

/// The call failed.
struct back_end_failed {
    bool reached = true; ///< False: the request was not run.
    std::string detail;
};

using back_end_event =
    std::variant<back_end_begin, back_end_part, back_end_end, back_end_failed>;

/// HTTP client for the backend_server of this VM; runs on the kernel's thread.
class back_end {
  public:
    using callback = std::function<void(const attempt_id&, back_end_event)>;

    // ---- Construction ------------------------------------------------------

    /// Sends calls to `url` (`http://host:port`). `receiver` is never called
    /// from within `start` or `cancel`.
    back_end(kernel& core, std::string url, callback receiver);

    // ---- Observers ---------------------------------------------------------

    /// Returns the URL of the back end.
    [[nodiscard]] const std::string& url() const noexcept { return url_; }

    // ---- Modifiers ---------------------------------------------------------

    /// Starts a call. Its last event is `back_end_end` or `back_end_failed`.
    void start(const run_order& order, milliseconds deadline);

    /// Aborts a call; `back_end_failed` follows.
    void cancel(const attempt_id& attempt);

  private:
    struct running_call {
        call_id call{};
        bool refusal_means_not_run = false; ///< True for engines only.
        bool stream_requested = false;
        bool is_event_stream = false;
        bool stream_complete = false;
        std::uint16_t refused_status = 0; ///< 0 if not refused.
        instant last_received{};
        event_splitter splitter;
    };

    void on_head(const attempt_id& attempt, const http_response& head);
    void on_body(const attempt_id& attempt, std::string_view data);
    void on_ended(const attempt_id& attempt, call_end end);
    void fail(const attempt_id& attempt, back_end_failed failure);
    void fail_silent_calls();

    kernel& core_;
    std::string url_;
    address server_;
    callback receiver_;
    web_client client_;
    absl::flat_hash_map<attempt_id, running_call> running_;
};

} // namespace ospreystage
