#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/memory_budget.hpp>
#include <ospreystage/http/message.hpp>
#include <ospreystage/http/message_parser.hpp>
#include <ospreystage/http/stream_socket.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// Identifies a call of a `web_client`.
enum class call_id : std::uint64_t {};

/// How a call ended.
enum class call_end : std::uint8_t {
    complete,      ///< The response is complete.
    not_connected, ///< Nothing was sent: the server cannot have acted.
    withheld,      ///< Not sent either: `may_send` returned false.
    no_answer,     ///< The connection ended before the response head.
    truncated,     ///< The connection was closed within the response.
    reset,         ///< The connection was reset within the response.
    malformed,     ///< The server did not send a valid response.
    too_large,     ///< The response exceeds a bound.
    timeout,       ///< `timeout` or `idle_timeout` of `call_options` passed.
};

/// Returns the name of a `call_end` for logs.
[[nodiscard]] const char* to_string(call_end end) noexcept;

/// Largest body that `web_client::fetch` collects unless the call allows more.
inline constexpr std::size_t default_max_body_bytes = 1024 * 1024;

/// Time limits, bounds and connection use of a call.
struct call_options {
    milliseconds connect_timeout{400}; ///< Until the connection is open.
    milliseconds timeout{10'000};      ///< Until the response is complete.
    /// Longest time without received bytes once the request was sent; the call
    /// ends with `timeout` after it. Absent: not limited.
    std::optional<milliseconds> idle_timeout;
    /// Header field that responses echo from their request. A response with
    /// another value belongs to another request and is discarded, and so is one
    /// without the field, unless it is the first on its connection. Only a
    /// connection whose responses all have the values of their requests is used
    /// again. Empty: no check.
    std::string echoed_field;
    /// If false, a response without the echoed field is taken on a connection
    /// none of whose responses has had it, so that a server which echoes
    /// nothing can keep its connections. An extra response may then pass for
    /// this call's own.
    bool requires_echo = true;
    bool reuse = true; ///< May use an idle connection.
    bool keep = true;  ///< The connection may stay open after the call.
    /// Asked once a new connection is open; if it returns false, the request is
    /// not sent and the call ends with `withheld`. Empty: always sent.
    std::function<bool()> may_send;
    /// Called by `fetch` once the head of the response has arrived. Optional.
    std::function<void()> began;
    /// Largest body that `fetch` collects; a larger one ends the call with
    /// `too_large`. Bodies that a handler of `start` takes are not bounded.
    std::size_t max_body_bytes = default_max_body_bytes;
};

/// Callbacks of a call; `ended` is called last.
struct call_handlers {
    std::function<void(const http_response&)> head;
    std::function<void(std::string_view)> body;
    std::function<void(call_end)> ended;
};

/// Event-driven HTTP/1.1 client with a pool of persistent connections, on the
/// kernel's thread.
///
/// A connection carries one request at a time. It returns to the pool only
/// after a complete response that no further bytes follow.
class web_client {
  public:
    explicit web_client(kernel& core);
    ~web_client();
    web_client(const web_client&) = delete;
    web_client& operator=(const web_client&) = delete;

    /// Starts a call; the handlers are never called from within `start`.
    call_id start(const address& server, const http_request& request,
                  const call_options& options, call_handlers handlers);

    /// Starts a call that collects the response; `done` receives how the call
    /// ended, and the response as far as it was received.
    call_id fetch(const address& server, const http_request& request,
                  const call_options& options,
                  std::function<void(call_end, http_response)> done);

    /// Cancels a call and resets its connection, so that the part of the
    /// request that has not reached the server is discarded. Its handlers are
    /// not called afterwards.
    void cancel(call_id call);

    /// Returns true if the call's request has been passed to its connection.
    [[nodiscard]] bool is_sent(call_id call) const;

    /// Pauses or resumes reading the response.
    void set_reading(call_id call, bool enabled);

    /// Returns true if a call to `server` can start with at most `limit`
    /// connections open: an idle one is available, or fewer than `limit` are
    /// open. 0: no limit.
    [[nodiscard]] bool has_free_connection(const address& server,
                                           std::size_t limit) const;

    /// Returns true if a new connection can be opened: there are fewer than
    /// allowed, or one of them is idle and can be closed.
    [[nodiscard]] bool can_connect() const;

    /// Returns true if an open connection to `server` carries no call.
    [[nodiscard]] bool has_idle_connection(const address& server) const;

    /// Returns the number of connections to `server`, including idle ones and
    /// those being established.
    [[nodiscard]] std::size_t connections(const address& server) const;

  private:
    struct connection_record {
        explicit connection_record(kernel& core) : socket(core) {}
        stream_socket socket;
        address server;
        std::optional<call_id> call;
        std::unique_ptr<response_parser> parser;
        bool is_discarding = false; ///< The response is to another request.
        bool is_reused = false;     ///< Has carried another request before.
        /// No response to another request has been received.
        bool is_synchronized = true;
        bool has_named_response = false;   ///< With the echoed field.
        bool has_unnamed_response = false; ///< Without it, where one is wanted.
        /// Hashes of the last values that responses are to echo.
        std::vector<std::uint64_t> carried_values;
        milliseconds max_idle{}; ///< Longest idle time before reuse.
        instant idle_until{};
    };
    struct call_record {
        std::uint64_t connection = 0;
        std::string output;
        /// Follows `output`. Optional.
        std::shared_ptr<const std::string> shared_body;
        std::function<bool()> may_send;
        bool is_head_request = false;
        std::string echoed_field;
        /// Values of the request's field, usually one.
        std::vector<std::string> echoed_values;
        call_handlers handlers;
        bool is_sent = false;
        bool is_cancelled = false;
        bool keeps_connection = true;
        bool requires_echo = true;
        std::optional<timer_id> connect_timer;
        std::optional<timer_id> timer;
        std::optional<milliseconds> idle_timeout;
        std::optional<timer_id> idle_timer;
        instant last_received{}; ///< Or the time at which it was sent.
        std::optional<std::size_t> max_body_bytes;
        std::size_t body_bytes = 0;
        int skipped_responses = 0;
        std::size_t discarded_bytes = 0;
    };

    call_id start(const address& server, const http_request& request,
                  const call_options& options, call_handlers handlers,
                  std::optional<std::size_t> max_body_bytes);
    [[nodiscard]] std::uint64_t acquire(const address& server, bool reuse,
                                        const call_record& call);
    [[nodiscard]] bool make_room();
    void begin(std::uint64_t connection, call_id call);
    void on_connected(std::uint64_t id);
    void on_readable(std::uint64_t id);
    void on_ended(std::uint64_t id, stream_socket::end_kind kind);
    void check_idle(call_id call);
    void start_parser(std::uint64_t id);
    void on_body(std::uint64_t id, std::string_view data);
    void end_at_bound(std::uint64_t id, const char* bound, std::size_t value);
    [[nodiscard]] static bool
    belongs_to(const connection_record& connection, const call_record& call,
               const std::vector<std::string>& echoed);
    void deliver_head(std::uint64_t id);
    void finish(std::uint64_t id, call_end end);
    void release(std::uint64_t id);
    void drop(std::uint64_t id);
    void defer_destruction(std::unique_ptr<connection_record> connection,
                           std::unique_ptr<call_record> call);
    void sweep();

    kernel& core_;
    memory_budget* budget_;
    std::size_t max_connections_ = 0; ///< 0: not limited.
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<connection_record>>
        connections_;
    absl::flat_hash_map<std::string, std::vector<std::uint64_t>> idle_;
    absl::flat_hash_map<std::string, std::size_t> connection_counts_;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<call_record>> calls_;
    std::vector<std::unique_ptr<connection_record>> dropped_connections_;
    std::vector<std::unique_ptr<call_record>> ended_calls_;
    std::uint64_t next_connection_ = 1;
    std::uint64_t next_call_ = 1;
};

} // namespace ospreystage
