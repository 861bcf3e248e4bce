#pragma once

#include "tests/support/running_kernel.hpp"

#include <ospreystage/core/address.hpp>
#include <ospreystage/http/stream_socket.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

namespace ospreystage::testing {

/// TCP relay on its own thread whose connections share one link of limited
/// bandwidth from the server to the clients.
///
/// The link transfers bytes in the order in which the server sent them, over
/// all connections. Bytes of connections that the client has closed are
/// discarded. Bytes to the server pass at once. Connections above
/// `max_connections`, if it is not 0, are reset.
class slow_link {
  public:
    slow_link(address server, std::uint64_t bytes_per_second,
              std::size_t max_connections = 0);
    ~slow_link();
    slow_link(const slow_link&) = delete;
    slow_link& operator=(const slow_link&) = delete;

    [[nodiscard]] address endpoint() const { return local_; }

    /// Discards all bytes of the connections that are open now; later ones
    /// work.
    void silence();

    /// Returns the bytes transferred to clients since the start.
    [[nodiscard]] std::uint64_t transferred();

  private:
    struct relayed_connection {
        explicit relayed_connection(kernel& core)
            : client(core), server(core) {}
        stream_socket client;
        stream_socket server;
        bool is_closed = false;
        bool is_silent = false;
        bool is_server_closed = false;
        std::size_t queued = 0;
    };
    struct queued_bytes {
        std::uint64_t connection = 0;
        std::string bytes;
    };

    void accept_all();
    void transfer();
    void close(std::uint64_t id);

    kernel core_;
    address server_;
    address local_;
    std::uint64_t bytes_per_second_;
    std::size_t max_connections_;
    std::map<std::uint64_t, std::unique_ptr<relayed_connection>> connections_;
    std::deque<queued_bytes> queue_;
    std::uint64_t next_connection_ = 1;
    std::uint64_t transferred_ = 0;
    double budget_ = 0;
    instant last_transfer_ = steady::now();
    int listener_ = -1;
    running_kernel running_;
};

} // namespace ospreystage::testing
