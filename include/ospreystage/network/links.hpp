#pragma once

#include <ospreystage/core/settings.hpp>
#include <ospreystage/network/network.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ospreystage {

/// Peer of an established connection.
struct link_peer {
    connection_id connection{};
    process_id process;
    process_role role = process_role::entry;
    std::uint64_t epoch = 0;
    bool outgoing = false; ///< This process opened the connection.
};

/// Authenticated connections to other processes, found by process name.
///
/// Opens a connection on demand, exchanges `hello` and `hello_reply`, sends
/// heartbeats in both directions and closes connections that time out. A
/// peer's connection with a higher epoch or incarnation replaces its older
/// ones; messages still buffered on those are not delivered afterwards.
/// Messages are delivered on the kernel thread, synchronously and in order.
class links {
  public:
    using directory = std::function<std::optional<address>(const std::string&)>;
    using started_attempts_source =
        std::function<std::vector<attempt_id>(const link_peer&)>;

    // ---- Construction ------------------------------------------------------

    links(kernel& core, const settings& configuration, process_id self);

    /// Starts listening; services must have registered their handlers before.
    [[nodiscard]] leaf::result<void> start();

    /// Sets the function that resolves a process name to its peer address.
    void set_directory(directory lookup);

    /// Sets the function that returns the started attempts for `hello_reply`.
    void set_started_attempts_source(started_attempts_source source);

    /// Delivers every message of type `Message` to `handler`. There is one
    /// handler per type; a later one replaces an earlier one.
    template <typename Message>
    void on(std::function<void(const link_peer&, const Message&)> handler);

    /// Delivers every datagram of type `Message` to `handler`.
    template <typename Message>
    void
    on_datagram(std::function<void(const address&, const Message&)> handler);

    /// Calls `handler` when a connection is established, with the peer's reply
    /// (outgoing connection) or this process's reply (incoming).
    void
    on_up(std::function<void(const link_peer&, const hello_reply&)> handler);

    /// Calls `handler` with the reason when an established connection ended or
    /// an outgoing one could not be established (then with incarnation 0).
    void
    on_down(std::function<void(const link_peer&, const std::string&)> handler);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const process_id& self() const noexcept;

    /// Returns the established outgoing connection to `process`.
    [[nodiscard]] std::optional<link_peer>
    find(const std::string& process) const;

    /// Returns the bytes queued on the outgoing connection to `process`.
    [[nodiscard]] std::size_t pending_bytes(const std::string& process) const;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Opens the outgoing connection to `process` unless it exists.
    ///
    /// Returns false if its address is not known.
    bool open(const std::string& process);

    /// Sends on the outgoing connection; opens it and queues if necessary.
    ///
    /// Returns false if the address is not known or the queue is full.
    bool send(const std::string& process, const message& value);

    /// Sends on the given connection; returns false if it is closed.
    bool reply(connection_id connection, const message& value);

    /// Closes the outgoing connection to `process` and calls the handlers.
    void reset(const std::string& process, const std::string& reason);

    /// Closes the outgoing connection to `process` without a callback.
    void close(const std::string& process);

    /// Sends one datagram; delivery is not guaranteed.
    void send_datagram(const address& remote, const message& value);
    /// Sends a datagram to several processes; it is encoded once.
    void send_datagrams(const std::vector<address>& remotes,
                        const message& value);

  private:
    struct link_record {
        link_peer peer;
        std::string name; ///< Configured name of an outgoing link's peer.
        bool established = false;
        instant last_received{};
        std::vector<message> pending;
    };
    using link_handler = std::function<void(const link_peer&, const message&)>;
    using datagram_handler =
        std::function<void(const address&, const message&)>;

    void on_opened(connection_id id, bool outgoing);
    void on_received(connection_id id, message value);
    void on_closed(connection_id id, const std::string& reason);
    void accept_hello(connection_id id, const hello& greeting);
    void accept_reply(connection_id id, const hello_reply& greeting);
    void end_link(connection_id id, const std::string& reason);
    void close_older_connections(const link_peer& latest);
    void tick();

    kernel& core_;
    const settings& configuration_;
    process_id self_;
    network& network_;
    directory lookup_;
    started_attempts_source started_attempts_;
    std::array<link_handler, std::variant_size_v<message>> handlers_;
    std::array<datagram_handler, std::variant_size_v<message>>
        datagram_handlers_;
    std::vector<std::function<void(const link_peer&, const hello_reply&)>>
        up_handlers_;
    std::vector<std::function<void(const link_peer&, const std::string&)>>
        down_handlers_;
    absl::flat_hash_map<std::uint64_t, link_record> records_;
    absl::flat_hash_map<std::string, connection_id> outgoing_;
    absl::flat_hash_map<std::string, std::uint64_t> epochs_;
    /// Highest incarnation and epoch of an accepted `hello`, per peer name.
    absl::flat_hash_map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        latest_;
    std::uint64_t next_heartbeat_ = 1;
    std::uint64_t refused_ = 0;
    std::uint64_t timed_out_ = 0;
};

namespace impl {

template <typename Message, std::size_t Index = 0>
constexpr std::size_t message_index() {
    if constexpr (std::is_same_v<Message,
                                 std::variant_alternative_t<Index, message>>)
        return Index;
    else
        return message_index<Message, Index + 1>();
}

} // namespace impl

template <typename Message>
void links::on(std::function<void(const link_peer&, const Message&)> handler) {
    handlers_[impl::message_index<Message>()] =
        [handler = std::move(handler)](const link_peer& peer,
                                       const message& value) {
            handler(peer, std::get<Message>(value));
        };
}

template <typename Message>
void links::on_datagram(
    std::function<void(const address&, const Message&)> handler) {
    datagram_handlers_[impl::message_index<Message>()] =
        [handler = std::move(handler)](const address& from,
                                       const message& value) {
            handler(from, std::get<Message>(value));
        };
}

} // namespace ospreystage
