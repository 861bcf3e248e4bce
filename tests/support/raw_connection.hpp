#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>

#include <string>
#include <string_view>

namespace ospreystage::testing {

/// Blocking connection that sends and receives bytes as they are.
class raw_connection {
  public:
    /// `receive_buffer_bytes` of 0 keeps the system's size.
    explicit raw_connection(const address& server,
                            int receive_buffer_bytes = 0);
    ~raw_connection();
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    [[nodiscard]] bool is_open() const noexcept { return connected_; }

    /// Sends all bytes; returns false if the peer is gone.
    bool send(std::string_view bytes);

    /// Reads until `mark` was received; returns what came until then, or until
    /// the end of the connection or of the patience.
    std::string read_until(std::string_view delimiter,
                           milliseconds timeout = seconds(5));

    /// Reads to the end of the connection, or of the patience.
    std::string read_all(milliseconds timeout = seconds(5));

    /// Reads until the peer ends the connection; returns false if it does not
    /// within the patience, or if the connection was never open.
    [[nodiscard]] bool await_end(milliseconds timeout = seconds(10));

    /// Returns true once the peer has ended the connection.
    [[nodiscard]] bool has_ended() const noexcept { return ended_; }

  private:
    /// Reads some bytes; returns false at the end or when time is up.
    bool read_some(instant deadline);

    int descriptor_ = -1;
    bool connected_ = false;
    bool ended_ = false;
    std::string input_;
};

} // namespace ospreystage::testing
