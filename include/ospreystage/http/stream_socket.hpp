#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/memory_budget.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ospreystage {

/// Non-blocking TCP socket with input and output buffers, on the kernel's
/// thread.
///
/// From within a handler, the owner may discard the socket only by `close`.
class stream_socket {
  public:
    /// How the connection ended.
    enum class end_kind {
        closed, ///< Orderly close: all bytes sent were received.
        reset,  ///< Connection reset, or not established.
    };
    struct handlers {
        std::function<void()> connected;
        std::function<void()> readable; ///< New bytes in `input`.
        std::function<void(end_kind)> ended;
        std::function<void()> drained; ///< All output was passed to the system.
    };

    explicit stream_socket(kernel& core);
    ~stream_socket();
    stream_socket(const stream_socket&) = delete;
    stream_socket& operator=(const stream_socket&) = delete;

    void set_handlers(handlers callbacks);

    /// Takes ownership of an accepted descriptor, which has inherited the
    /// options of its listener.
    void adopt(int descriptor);

    /// Starts to connect; calls `connected` or `ended` later, never from within
    /// this call.
    void connect(const address& remote);

    /// Queues bytes. They are sent at the end of the kernel's turn, so that
    /// consecutive writes take one system call, or at once if more than 16 KiB
    /// are pending.
    void write(std::string_view bytes);

    /// Queues bytes that others keep as well: if there are many, they are not
    /// copied.
    void write(std::shared_ptr<const std::string> bytes);

    /// Charges the memory of queued output to an account.
    void charge_output(memory_charge charge);

    /// Reads what has arrived already, without waiting for the kernel to report
    /// it; handlers are called as usual.
    void read_available();

    /// Pauses or resumes reading, to apply back-pressure to the peer.
    void set_reading(bool enabled);

    /// Closes the descriptor after sending the pending output that the system
    /// accepts without blocking; no handler is called afterwards.
    void close();

    /// Resets the connection: output that has not reached the peer is
    /// discarded. No handler is called afterwards.
    void abort();

    /// Stops reading, and closes once the queued output was passed to the
    /// system.
    void close_after_output();

    /// Shuts down the sending side once the queued output was passed to the
    /// system; still reads.
    void shutdown_output();

    [[nodiscard]] bool is_open() const noexcept { return descriptor_ >= 0; }
    [[nodiscard]] bool is_connected() const noexcept { return connected_; }
    /// Bytes queued and not yet passed to the system.
    [[nodiscard]] std::size_t pending_bytes() const noexcept {
        return output_.size() - written_ +
               (shared_output_ ? shared_output_->size() - shared_written_ : 0);
    }
    /// Memory that queued output takes, without what others keep.
    [[nodiscard]] std::size_t output_memory() const noexcept {
        return output_charge_.bytes();
    }
    /// Bytes passed to the system since the start.
    [[nodiscard]] std::uint64_t sent_bytes() const noexcept {
        return sent_bytes_;
    }

    std::string input; ///< Bytes received and not yet consumed.

  private:
    void watch();
    void update_events();
    void on_events(std::uint32_t events);
    void read_all();
    void flush();
    void queue_flush();
    void flush_at_turn_end();
    void discard_output();
    void update_output_charge();
    [[nodiscard]] bool send_part(std::string_view bytes, std::size_t& written);
    /// Sends as much pending output as the system accepts; returns false if
    /// the connection is broken.
    bool send_pending();
    void end(end_kind kind);
    [[nodiscard]] std::uint32_t requested_events() const noexcept;

    kernel& core_;
    /// Lifetime token: expires with this object, since handlers may destroy
    /// their own socket.
    std::shared_ptr<int> alive_ = std::make_shared<int>();
    handlers handlers_;
    std::string output_;
    std::size_t written_ = 0;
    /// Follows `output_`.
    std::shared_ptr<const std::string> shared_output_;
    std::size_t shared_written_ = 0;
    std::uint64_t sent_bytes_ = 0;
    memory_charge output_charge_;
    int descriptor_ = -1;
    std::uint32_t events_ = 0;
    bool connected_ = false;
    bool reading_ = true;
    bool closing_ = false;
    bool is_flush_scheduled_ = false; ///< At the end of the turn.
    bool is_send_failed_ = false;     ///< The connection was reset.
    bool shutdown_after_output_ = false;
};

} // namespace ospreystage
