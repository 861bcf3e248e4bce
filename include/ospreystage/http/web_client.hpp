#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/kernel.hpp>
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

/// Addresses a call of a `web_client`.
enum class call_id : std::uint64_t {};

/// How a call ended.
enum class call_end : std::uint8_t {
    complete,      ///< The response is whole.
    not_connected, ///< Nothing was sent: the server cannot have acted.
    no_answer,     ///< The connection ended before the head of a response.
    truncated,     ///< The connection ended within the response.
    malformed,     ///< The server sent bytes that are no response.
    timeout,       ///< The time for the call has passed.
};

/// Returns the name of an end as it appears in logs.
[[nodiscard]] const char* to_string(call_end end) noexcept;

/// How a call is made.
struct call_options {
    milliseconds connect_timeout{400}; ///< Until the connection is open.
    milliseconds timeout{10'000};      ///< Until the response is whole.
    /// Field that every response repeats from its request; a response with
    /// another value belongs to an earlier request and is dropped.
    std::string echoed_field;
    bool reuse = true; ///< May use a connection that was kept open.
};

/// What a call tells its owner; `ended` is the last call.
struct call_handlers {
    std::function<void(const http_response&)> head;
    std::function<void(std::string_view)> body;
    std::function<void(call_end)> ended;
};

/// Event-driven HTTP/1.1 client with kept connections, on the kernel's thread.
///
/// A connection carries one request at a time and is kept only after a
/// response that ended exactly where it should.
class web_client {
  public:
    explicit web_client(kernel& core);
    ~web_client();
    web_client(const web_client&) = delete;
    web_client& operator=(const web_client&) = delete;

    /// Starts a call; the handlers are never called from within.
    call_id start(const address& server, const http_request& request,
                  const call_options& options, call_handlers handlers);

    /// Starts a call and hands over the whole response, or how it failed.
    call_id fetch(const address& server, const http_request& request,
                  const call_options& options,
                  std::function<void(call_end, http_response)> done);

    /// Breaks off a call; its handlers are not called any more.
    void cancel(call_id call);

    /// Stops or goes on reading the response.
    void set_reading(call_id call, bool enabled);

    /// Returns true if a call to `server` needs no more than `limit`
    /// connections; 0: no limit.
    [[nodiscard]] bool has_free_connection(const address& server,
                                           std::size_t limit) const;

    /// Open connections to `server`, idle ones included.
    [[nodiscard]] std::size_t connections(const address& server) const;

  private:
    struct connection_record {
        explicit connection_record(kernel& core) : socket(core) {}
        stream_socket socket;
        address server;
        std::optional<call_id> call;
        std::unique_ptr<response_parser> parser;
        bool is_discarding = false; ///< The response is of another request.
        milliseconds max_idle{};
        instant idle_until{};
    };
    struct call_record {
        std::uint64_t connection = 0;
        std::string output;
        bool is_head_request = false;
        std::string echoed_field;
        std::string echoed_value;
        call_handlers handlers;
        bool is_sent = false;
        bool is_cancelled = false;
        std::optional<timer_id> connect_timer;
        std::optional<timer_id> timer;
    };

    [[nodiscard]] std::uint64_t acquire(const address& server, bool reuse);
    void begin(std::uint64_t connection, call_id call);
    void on_connected(std::uint64_t id);
    void on_readable(std::uint64_t id);
    void on_ended(std::uint64_t id, stream_socket::end_kind kind);
    void start_parser(std::uint64_t id);
    void deliver_head(std::uint64_t id);
    void finish(std::uint64_t id, call_end end);
    void release(std::uint64_t id);
    void drop(std::uint64_t id);
    void defer_destruction(std::unique_ptr<connection_record> connection,
                           std::unique_ptr<call_record> call);
    void sweep();

    kernel& core_;
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
