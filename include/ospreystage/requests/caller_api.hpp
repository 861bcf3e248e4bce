#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/metrics.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/http/api_server.hpp>
#include <ospreystage/requests/broker_action.hpp>
#include <ospreystage/requests/incoming_request.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Event of a request for its caller. The last one is `answer_end_action` or
/// `refuse_action`.
using exchange_event = std::variant<answer_begin_action, answer_part_action,
                                    answer_end_action, refuse_action>;

/// HTTP API for callers; runs on the kernel's thread.
///
/// - `GET /v1/entries`: URLs of the entries and how long they may be cached.
/// - `POST /v1/chat/completions`: requests to model engines; `model` names
///   the service, `X-Organisation` and `X-Class` the customer and class.
/// - `/v1/services/{service}/…`: requests to plain services.
///
/// A refusal carries `{"error":{"outcome","reason","retry_after_ms"}}` and
/// `Retry-After`. Within a stream it is sent as an event without a final
/// `[DONE]`.
class caller_api {
  public:
    /// Callbacks into the rest of the entry.
    struct dependencies {
        std::function<std::vector<std::string>()> entries; ///< HTTP URLs.
        std::function<void(request_id, incoming_request)> begin;
        std::function<void(request_id)> cancel;
    };

    // ---- Construction ------------------------------------------------------

    /// Registers the routes at `server`.
    caller_api(kernel& core, const settings& configuration, api_server& server,
               metrics& registry, dependencies callbacks);

    // ---- Observers ---------------------------------------------------------

    /// Returns the number of requests whose answer is not complete.
    [[nodiscard]] std::size_t size() const noexcept;

    // ---- Modifiers ---------------------------------------------------------

    /// Delivers an event to the caller of a request; ignored if the request is
    /// no longer open.
    void deliver(request_id id, const exchange_event& event);

    /// Ends every open request with the outcome `unknown`, since no answer will
    /// follow.
    ///
    /// Requests that are read afterwards are refused as `not-run`.
    void abandon_all();

  private:
    struct open_request {
        exchange_id exchange{};
        instant arrived_at{};
        bool stream_requested = false; ///< Parts are forwarded at once.
        bool has_begun = false;
        bool is_event_stream = false;
        http_response answer; ///< Body is buffered if not a stream.
        std::optional<instant> unread_since;
    };

    void add_routes();
    void handle_chat(exchange_id exchange, const api_request& request);
    void handle_plain(exchange_id exchange, const api_request& request);
    void serve(exchange_id exchange, incoming_request incoming);
    void begin_answer(open_request& request, const answer_begin_action& begin);
    void deliver_part(open_request& request, const answer_part_action& part);
    void end_answer(request_id id);
    void refuse(request_id id, const refuse_action& refusal);
    void close(request_id id);
    void on_caller_disconnected(exchange_id exchange);
    void abort_unread();

    kernel& core_;
    const settings& configuration_;
    api_server& server_;
    metrics& metrics_;
    dependencies dependencies_;
    absl::flat_hash_map<request_id, open_request> open_;
    absl::flat_hash_map<std::uint64_t, request_id> by_exchange_;
    request_id next_id_ = 1;
    bool is_stopped_ = false;
};

} // namespace ospreystage
