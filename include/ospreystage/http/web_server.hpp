#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/core/kernel.hpp>
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
#include <string_view>
#include <vector>

namespace ospreystage {

/// Addresses a request that a `web_server` has read and not yet answered.
enum class exchange_id : std::uint64_t {};

/// Event-driven HTTP/1.1 server on the kernel's thread.
///
/// Requests of one connection are handled one after the other. Every request
/// is handed to `requested` once; it is answered by `respond`, or by `begin`,
/// any number of `write` and then `finish` or `abort`.
class web_server {
  public:
    /// Makes the answer to a request that cannot be read, from the status, the
    /// reason and the target as far as it was read.
    using refusal_formatter = std::function<http_response(
        std::uint16_t, const std::string&, const std::string&)>;
    struct callbacks {
        std::function<void(exchange_id, http_request)> requested;
        /// The caller closed the connection before the answer was whole.
        std::function<void(exchange_id)> abandoned;
        /// All output was handed over after `write` had returned false.
        std::function<void(exchange_id)> drained;
        /// Describes a refusal to the caller; absent: in plain text.
        refusal_formatter describe_refusal = nullptr;
    };

    // ---- Construction ------------------------------------------------------

    web_server(kernel& core, callbacks handlers);
    ~web_server();
    web_server(const web_server&) = delete;
    web_server& operator=(const web_server&) = delete;

    /// Listens; an address in use is an error.
    [[nodiscard]] leaf::result<void> listen(const address& local);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool is_listening() const noexcept { return listener_ >= 0; }
    [[nodiscard]] std::size_t connections() const noexcept;
    /// Requests that were read and are not yet answered whole.
    [[nodiscard]] std::size_t exchanges() const noexcept;
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Applies to connections from now on.
    void set_limits(const server_limits& limits);

    /// Ends every connection after its next answer; still takes new ones.
    void close_after_responses();

    /// Takes no new connections but those that are waiting already.
    void stop_listening();

    /// Takes no new connections, ends idle ones at once and others after their
    /// answer.
    void drain();

    // ---- Answers -----------------------------------------------------------

    /// Sends a whole answer.
    void respond(exchange_id exchange, const http_response& response);

    /// Starts an answer whose body follows in parts.
    void begin(exchange_id exchange, const http_response& head);

    /// Sends a part of the body; returns false if the caller reads too slowly.
    bool write(exchange_id exchange, std::string_view data);

    /// Ends an answer that was begun.
    void finish(exchange_id exchange);

    /// Closes the connection, so that the answer cannot look whole.
    void abort(exchange_id exchange);

  private:
    struct connection_record {
        explicit connection_record(kernel& core) : socket(core) {}
        stream_socket socket;
        std::unique_ptr<request_parser> parser;
        exchange_id exchange{};
        bool is_busy = false;    ///< A request is being answered.
        bool is_chunked = false; ///< Its answer is sent in parts.
        bool keep_alive = true;
        bool is_expect_checked = false; ///< Was told to continue with the body.
        bool awaits_drain = false;
        bool is_refused = false; ///< Waits for the caller to read why.
        instant deadline{};      ///< For the next request, or the rest of one.
    };

    void accept_all();
    void on_readable(std::uint64_t id);
    void on_ended(std::uint64_t id);
    void on_drained(std::uint64_t id);
    void parse(std::uint64_t id);
    void refuse(std::uint64_t id, std::uint16_t status,
                const std::string& reason, const std::string& target);
    void complete(std::uint64_t id);
    void drop(std::uint64_t id);
    void sweep();
    [[nodiscard]] connection_record* find(exchange_id exchange);

    kernel& core_;
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
    int listener_ = -1;
    bool is_draining_ = false;
};

} // namespace ospreystage
