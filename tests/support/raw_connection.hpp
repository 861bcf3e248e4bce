#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>

#include <string>
#include <string_view>

namespace ospreystage::testing {

/// Blocking TCP connection that sends and receives raw bytes.
class raw_connection {
  public:
    /// `receive_buffer_bytes` of 0 keeps the default of the system.
    explicit raw_connection(const address& server,
                            int receive_buffer_bytes = 0);
    ~raw_connection();
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    [[nodiscard]] bool is_open() const noexcept { return connected_; }

    /// Sends all bytes; returns false if the connection is broken.
    bool send(std::string_view bytes);

    /// Returns the bytes received up to and including `delimiter`, or all bytes
    /// if the connection ends or `timeout` passes first.
    std::string read_until(std::string_view delimiter,
                           milliseconds timeout = seconds(5));

    /// Returns the bytes received until the connection ends or `timeout`
    /// passes.
    std::string read_all(milliseconds timeout = seconds(5));

    /// Reads until the peer ends the connection; returns false if `timeout`
    /// passes first, or if the connection was never open.
    [[nodiscard]] bool await_end(milliseconds timeout = seconds(10));

    /// Returns true once the peer has ended the connection.
    [[nodiscard]] bool has_ended() const noexcept { return ended_; }
    /// Returns true if the peer has ended the connection by a reset.
    [[nodiscard]] bool was_reset() const noexcept { return reset_; }

  private:
    /// Reads available bytes; returns false at the end of the connection or
    /// once `deadline` has passed.
    bool read_some(instant deadline);

    int descriptor_ = -1;
    bool connected_ = false;
    bool ended_ = false;
    bool reset_ = false;
    std::string input_;
};

} // namespace ospreystage::testing
