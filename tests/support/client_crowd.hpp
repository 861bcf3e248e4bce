#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

namespace ospreystage::testing {

/// What a client of a `client_crowd` sends: `head`, then `piece` `pieces`
/// times. It reads nothing and stays connected.
struct client_script {
    std::string head{};
    std::string piece{};
    std::size_t pieces = 0;
    /// Longest part that is passed to the system at once, 0: no limit.
    std::size_t max_write_bytes = 0;
};

/// Clients that send as fast as the peer accepts and never read, on the thread
/// of the caller.
class client_crowd {
  public:
    client_crowd() = default;
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Adds `count` clients that follow `script`.
    void add(const address& server, std::size_t count,
             const client_script& script);

    /// Sends until all clients have sent everything or were disconnected, at
    /// most for `sending`; then stays connected for `holding`.
    void run(milliseconds sending = milliseconds(2500),
             milliseconds holding = milliseconds(500));

  private:
    struct client {
        int descriptor = -1;
        std::size_t script = 0; ///< Position in `scripts_`.
        std::size_t sent = 0;
        bool is_ended = false;
    };

    /// Returns true if bytes were sent.
    bool send_some(client& sender);

    std::deque<client_script> scripts_;
    std::deque<client> clients_;
};

/// Listener whose connections are established by the system and never read.
class unread_listener {
  public:
    unread_listener();
    ~unread_listener();
    unread_listener(const unread_listener&) = delete;
    unread_listener& operator=(const unread_listener&) = delete;

    [[nodiscard]] address endpoint() const { return {"127.0.0.1", port_}; }

  private:
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace ospreystage::testing
