#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/kernel.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ospreystage {

/// Non-blocking TCP socket with buffers, on the kernel's thread.
///
/// The owner drops the socket from within a handler only by `close`.
class stream_socket {
  public:
    /// How a peer ended the connection.
    enum class end_kind {
        closed, ///< In order: everything sent has arrived.
        reset,  ///< Broken off, or it could not be opened.
    };
    struct handlers {
        std::function<void()> connected;
        std::function<void()> readable; ///< New bytes in `input`.
        std::function<void(end_kind)> ended;
        std::function<void()> drained; ///< All output was handed over.
    };

    explicit stream_socket(kernel& core);
    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    void set_handlers(handlers callbacks);

    /// Takes over an accepted descriptor, with the options of its listener.
    void adopt(int descriptor);

    /// Starts to connect; `connected` or `ended` follows, never at once.
    void connect(const address& remote);

    /// Queues bytes; they are sent at the end of the kernel's turn, so that
    /// what belongs together takes one call, or at once if they are many.
    void write(std::string_view bytes);

    /// Stops or goes on reading, to slow down the peer.
    void set_reading(bool enabled);

    /// Closes the descriptor; no handler is called afterwards.
    void close();

    /// Closes once the queued output was handed over; reads no more.
    void close_after_output();

    /// Tells the peer that no more output follows, once the queued output was
    /// handed over; still reads.
    void shutdown_output();

    [[nodiscard]] bool is_open() const noexcept { return descriptor_ >= 0; }
    [[nodiscard]] bool is_connected() const noexcept { return connected_; }
    [[nodiscard]] std::size_t pending_bytes() const noexcept {
        return output_.size() - written_;
    }

    std::string input; ///< Bytes received and not yet consumed.

  private:
    void watch();
    void update_events();
    void on_events(std::uint32_t events);
    void read_all();
    void flush();
    void flush_at_turn_end();
    /// Sends what the system takes; returns false if the peer is gone.
    bool send_pending();
    void end(end_kind kind);
    [[nodiscard]] std::uint32_t requested_events() const noexcept;

    kernel& core_;
    /// Expires with this object; handlers may destroy their own socket.
    std::shared_ptr<int> alive_ = std::make_shared<int>();
    handlers handlers_;
    std::string output_;
    std::size_t written_ = 0;
    int descriptor_ = -1;
    std::uint32_t events_ = 0;
    bool connected_ = false;
    bool reading_ = true;
    bool closing_ = false;
    bool is_flush_scheduled_ = false; ///< Waits for the end of the turn.
    bool shutdown_after_output_ = false;
};

} // namespace ospreystage
