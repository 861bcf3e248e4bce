#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/memory_budget.hpp>
#include <ospreystage/http/message.hpp>
#include <ospreystage/http/message_parser.hpp>
#include <ospreystage/http/server_limits.hpp>
#include <ospreystage/http/stream_socket.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace ospreystage {

/// Identifies a request that a `web_server` has received and not yet answered.
enum class exchange_id : std::uint64_t {};

/// Event-driven HTTP/1.1 server on the kernel's thread.
///
/// Requests of one connection are handled one at a time, in order. Each is
/// passed to `requested` once; the owner responds by `respond`, or by `begin`,
/// any number of `write` and then `finish` or `abort`. The body of a response
/// to HEAD is not sent.
class web_server {
  public:
    /// Returns the response to a request that cannot be parsed or is not
    /// received in time. Arguments: status, reason, and the request target, or
    /// `/` if it was not parsed.
    using refusal_formatter = std::function<http_response(
        std::uint16_t, const std::string&, const std::string&)>;
    struct callbacks {
        std::function<void(exchange_id, http_request)> requested;
        /// The caller disconnected before the response was complete.
        std::function<void(exchange_id)> abandoned;
        /// All output was passed to the system after `write` had returned
        /// false.
        std::function<void(exchange_id)> drained;
        /// Formats refusals; if absent, the reason is sent as plain text.
        refusal_formatter describe_refusal = nullptr;
    };

    // ---- Construction ------------------------------------------------------

    web_server(kernel& core, callbacks handlers);
    ~web_server();
    web_server(const web_server&) = delete;
    web_server& operator=(const web_server&) = delete;

    /// Listens on `local`; returns an error if the address is in use.
    [[nodiscard]] leaf::result<void> listen(const address& local);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool is_listening() const noexcept { return listener_ >= 0; }
    [[nodiscard]] std::size_t connections() const noexcept;
    /// Returns the number of requests whose response is not yet complete.
    [[nodiscard]] std::size_t exchanges() const noexcept;
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Sets the number of connections at which a new one takes the place of one
    /// that waits for its caller, or else waits itself; 0: not limited.
    void set_max_connections(std::size_t count) noexcept {
        max_connections_ = count;
    }

    /// Sets the limits that apply from now on. Longer times hold for open
    /// connections at once, shorter ones from their next request on, since
    /// callers may know either value.
    void set_limits(const server_limits& limits);

    /// Closes every connection after its next response; still accepts new ones.
    void close_after_responses();

    /// Stops listening, after accepting the connections in the backlog; every
    /// connection is closed after its next response.
    void stop_listening();

    /// Stops listening, closes idle connections and the others after their
    /// response. Requests that have arrived, in part or in whole, are handled,
    /// and a new connection is given a moment for its first one: call it again
    /// until there are no connections.
    void drain();

    /// Refuses the requests that have arrived in part, with a time to retry;
    /// they are not passed to `requested`.
    void refuse_unfinished(const std::string& reason, milliseconds retry_after);

    // ---- Responses ---------------------------------------------------------

    /// Sends a complete response.
    void respond(exchange_id exchange, const http_response& response);

    /// Sends the head of a response whose body follows in parts: `body_bytes`
    /// bytes if that is known, otherwise chunks, or bytes up to the end of the
    /// connection if the caller cannot read chunks.
    void begin(exchange_id exchange, const http_response& head,
               std::optional<std::uint64_t> body_bytes = std::nullopt);

    /// Sends a part of the body. Returns false if more than 64 KiB of output
    /// are pending; `drained` is called once they are sent.
    bool write(exchange_id exchange, std::string_view data);

    /// Completes a response that `begin` started; aborts it if fewer bytes were
    /// written than `begin` announced.
    void finish(exchange_id exchange);

    /// Closes the connection before the last chunk, or resets it if there are
    /// no chunks, so that the caller detects a truncated response.
    void abort(exchange_id exchange);

  private:
    struct connection_record {
        explicit connection_record(kernel& core) : socket(core) {}
        stream_socket socket;
        std::unique_ptr<request_parser> parser;
        exchange_id exchange{};
        instant accepted_at{};
        bool is_used = false;         ///< A request has arrived.
        bool is_busy = false;         ///< A request is in progress.
        bool is_head_request = false; ///< Its response has no body.
        /// Of its response, if that is sent in parts.
        http_framing framing = http_framing::chunked;
        bool has_body = true;           ///< Of its response, if sent in parts.
        std::uint64_t unsent_bytes = 0; ///< Of `http_framing::length`.
        bool keep_alive = true;
        /// `Expect` was looked up, once per request.
        bool is_expect_checked = false;
        bool awaits_drain = false; ///< `write` returned false.
        /// Stays open for a while, so that the caller can read the refusal.
        bool is_refused = false;
        instant waiting_since{};
        instant deadline{}; ///< For the next request, or the rest of it.
        /// Of the input; a request that is passed on has its own charge.
        memory_charge input_charge;
        std::weak_ptr<memory_charge> request_charge;
        instant progressed_at{};      ///< Bytes were received or sent.
        std::uint64_t sent_bytes = 0; ///< By then.
        [[nodiscard]] std::size_t memory() const;
    };

    void accept_all();
    void pause_accepting();
    void resume_accepting();
    void update_charge(connection_record& record);
    void schedule_relief();
    void relieve();
    void end_slow_connections(instant now);
    void schedule_room();
    void make_room(instant now);
    [[nodiscard]] static bool may_give_way(const connection_record& record,
                                           instant now);
    void give_way(std::uint64_t id);
    void close_for_memory(std::uint64_t id, std::uint16_t status);
    void log_bound(const char* bound, std::size_t value);
    static void await_input(connection_record& record, milliseconds timeout);
    void on_readable(std::uint64_t id);
    void on_ended(std::uint64_t id);
    void on_drained(std::uint64_t id);
    void parse(std::uint64_t id);
    void refuse(std::uint64_t id, std::uint16_t status,
                const std::string& reason, milliseconds retry_after);
    void complete(std::uint64_t id);
    void drop(std::uint64_t id);
    void drain(std::uint64_t id);
    void sweep();
    void expire(std::uint64_t id, instant now);
    [[nodiscard]] connection_record* find(exchange_id exchange);

    kernel& core_;
    memory_budget* budget_;
    callbacks handlers_;
    server_limits limits_;
    absl::flat_hash_map<std::uint64_t, std::unique_ptr<connection_record>>
        connections_;
    absl::flat_hash_map<std::uint64_t, std::uint64_t> exchanges_;
    /// Dropped connections whose handlers may still be on the stack.
    std::vector<std::unique_ptr<connection_record>> dropped_;
    std::uint64_t next_connection_ = 1;
    std::uint64_t next_exchange_ = 1;
    std::uint64_t refused_ = 0;
    std::uint64_t closed_for_memory_ = 0;
    std::size_t max_connections_ = 0;
    instant bound_logged_at_{};
    std::uint64_t unlogged_bounds_ = 0;
    bool is_accepting_paused_ = false;
    bool is_room_scheduled_ = false;
    instant room_made_at_{};
    bool is_relief_scheduled_ = false;
    int listener_ = -1;
    bool is_draining_ = false;
};

} // namespace ospreystage
