#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/memory_budget.hpp>
#include <ospreystage/network/messages.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// Identifies a TCP connection of the `network` service.
enum class connection_id : std::uint64_t {};

/// Bytes of one type of message since the start, over TCP and UDP.
struct message_traffic {
    std::string_view name;
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

/// Transport of frames over TCP and of datagrams over UDP.
///
/// Runs on the kernel thread. A malformed frame closes its connection only.
class network {
  public:
    /// Handlers of connection events and received datagrams.
    struct callbacks {
        std::function<void(connection_id, bool outgoing)> opened;
        std::function<void(connection_id, message)> received;
        std::function<void(connection_id, const std::string& reason)> closed;
        std::function<void(const address& from, message)> datagram;
    };

    // ---- Construction ------------------------------------------------------

    explicit network(kernel& core);
    ~network();
    network(const network&) = delete;
    network& operator=(const network&) = delete;

    /// Sets the handlers of all events; call it once, before `listen`.
    void set_callbacks(callbacks handlers);

    /// Sets the prefix of every datagram; received datagrams without it, such
    /// as those of another cluster, are dropped.
    void set_datagram_key(std::string key);

    /// Listens on TCP and UDP; an address in use is an error.
    [[nodiscard]] leaf::result<void> listen(const address& local);

    // ---- Observers ---------------------------------------------------------

    /// Returns the bytes queued and not yet accepted by the operating system.
    [[nodiscard]] std::size_t pending_bytes(connection_id connection) const;

    /// Returns the bytes sent over TCP and UDP since the start.
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept;

    /// Returns the bytes received over TCP and UDP since the start.
    [[nodiscard]] std::uint64_t received_bytes() const noexcept;

    /// Returns the traffic of each type of message that was sent or received.
    [[nodiscard]] std::vector<message_traffic> traffic() const;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Starts connecting; `opened` or `closed` is called later.
    connection_id connect(const address& remote);

    /// Queues a message; returns false if the connection is closed or has more
    /// than `max_pending_bytes` queued (it is closed in that case).
    bool send(connection_id connection, const message& value);

    /// Closes without a `closed` callback.
    void close(connection_id connection);

    /// Sends one datagram; delivery is not guaranteed.
    void send_datagram(const address& remote, const message& value);
    /// Sends a datagram to several processes; it is encoded once.
    void send_datagrams(const std::vector<address>& remotes,
                        const message& value);

    /// Limit of the send queue of one connection in bytes.
    static constexpr std::size_t max_pending_bytes = 24 * 1024 * 1024;

  private:
    using bytes_by_type = std::array<std::uint64_t, message_names.size()>;

    struct connection_record {
        int descriptor = -1;
        bool connecting = false;
        bool is_accepted = false;
        std::string label;
        memory_charge charge;
        std::string input;
        std::string output;
        std::size_t written = 0;
        bool flush_scheduled = false; ///< At the end of this turn.
        bool write_blocked = false;   ///< The socket buffer is full.
    };

    void accept_all();
    void add_connection(int descriptor, connection_id id, bool connecting,
                        std::string label);
    void on_events(connection_id id, std::uint32_t events);
    void finish_connect(connection_id id);
    void read_all(connection_id id);
    void deliver_frames(connection_id id);
    void flush(connection_id id);
    void drop(connection_id id, const std::string& reason);
    void read_datagrams();
    [[nodiscard]] bool charge(connection_record& record);

    kernel& core_;
    memory_budget* budget_;
    callbacks handlers_;
    absl::flat_hash_map<std::uint64_t, connection_record> connections_;
    std::uint64_t next_connection_ = 1;
    std::uint64_t sent_bytes_ = 0;
    std::uint64_t received_bytes_ = 0;
    bytes_by_type sent_by_type_{}; ///< Queued for TCP, or sent by UDP.
    bytes_by_type received_by_type_{};
    std::uint64_t rejected_datagrams_ = 0;
    std::string datagram_key_;
    std::size_t accepted_ = 0; ///< Open connections that others opened.
    std::size_t max_accepted_ = 0;
    int listener_socket_ = -1;
    int datagram_socket_ = -1;
};

} // namespace ospreystage
