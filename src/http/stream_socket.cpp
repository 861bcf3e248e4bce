#include <ospreystage/http/stream_socket.hpp>
#include <ospreystage/network/socket_address.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <memory>
#include <utility>

namespace ospreystage {

namespace {

constexpr std::size_t read_bytes = 16 * 1024;
/// Reads per readiness event, so that a fast peer does not starve the others.
constexpr int max_reads_per_event = 8;
/// Output that may wait for the end of a turn; more is sent at once. Equals the
/// size of one read.
constexpr std::size_t max_deferred_bytes = 16 * 1024;

/// Largest capacity of an empty buffer that is kept for later. Equals the size
/// of one read.
constexpr std::size_t max_empty_capacity = 16 * 1024;

/// Returns the memory of a large empty buffer to the system.
void release_if_empty(std::string& buffer) {
    if (buffer.empty() && buffer.capacity() > max_empty_capacity)
        std::string().swap(buffer);
}

bool would_block() noexcept {
    return errno == EAGAIN || errno == EWOULDBLOCK;
}

} // namespace

stream_socket::stream_socket(kernel& core) : core_(core) {}

stream_socket::~stream_socket() {
    close();
}

void stream_socket::set_handlers(handlers callbacks) {
    handlers_ = std::move(callbacks);
}

void stream_socket::adopt(int descriptor) {
    descriptor_ = descriptor;
    connected_ = true;
    watch();
}

void stream_socket::connect(const address& remote) {
    const auto raw = to_socket_address(remote);
    if (raw)
        descriptor_ =
            socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    bool is_started = descriptor_ >= 0 && raw;
    if (is_started) {
        setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        is_started =
            ::connect(descriptor_, reinterpret_cast<const sockaddr*>(&*raw),
                      sizeof(*raw)) == 0 ||
            errno == EINPROGRESS;
    }
    if (is_started) {
        watch();
        return;
    }
    core_.after("http", std::chrono::nanoseconds(0),
                [this, alive = std::weak_ptr<int>(alive_)] {
                    if (!alive.expired())
                        end(end_kind::reset);
                });
}

void stream_socket::write(std::string_view bytes) {
    if (!is_open() || closing_)
        return;
    if (shared_output_) {
        output_.append(*shared_output_, shared_written_);
        shared_output_.reset();
    }
    output_.append(bytes);
    queue_flush();
}

void stream_socket::write(std::shared_ptr<const std::string> bytes) {
    if (bytes->size() <= max_deferred_bytes || shared_output_) {
        write(std::string_view(*bytes));
        return;
    }
    if (!is_open() || closing_)
        return;
    shared_output_ = std::move(bytes);
    shared_written_ = 0;
    queue_flush();
}

void stream_socket::charge_output(memory_charge charge) {
    output_charge_ = std::move(charge);
    update_output_charge();
}

/// A small buffer is part of what a connection takes anyway.
void stream_socket::update_output_charge() {
    const std::size_t capacity = output_.capacity();
    output_charge_.set(capacity > sizeof(std::string) ? capacity : 0);
}

void stream_socket::discard_output() {
    std::string().swap(output_);
    written_ = 0;
    shared_output_.reset();
    update_output_charge();
}

void stream_socket::queue_flush() {
    update_output_charge();
    if (!connected_)
        return;
    if (pending_bytes() > max_deferred_bytes)
        flush();
    else
        flush_at_turn_end();
}

void stream_socket::flush_at_turn_end() {
    if (std::exchange(is_flush_scheduled_, true))
        return;
    core_.at_turn_end([this, alive = std::weak_ptr<int>(alive_)] {
        if (alive.expired())
            return;
        is_flush_scheduled_ = false;
        if (is_open())
            flush();
    });
}

void stream_socket::read_available() {
    if (connected_ && !closing_)
        read_all();
}

void stream_socket::set_reading(bool enabled) {
    reading_ = enabled;
    update_events();
}

void stream_socket::close() {
    if (descriptor_ < 0)
        return;
    if (connected_)
        send_pending();
    core_.close(descriptor_);
    descriptor_ = -1;
    connected_ = false;
    discard_output();
}

void stream_socket::abort() {
    if (descriptor_ < 0)
        return;
    discard_output();
    const linger reset_on_close{1, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close,
               sizeof(reset_on_close));
    close();
}

void stream_socket::close_after_output() {
    if (!is_open())
        return;
    closing_ = true;
    if (pending_bytes() == 0)
        end(end_kind::closed);
    else if (!is_flush_scheduled_)
        update_events();
}

void stream_socket::shutdown_output() {
    if (!is_open())
        return;
    shutdown_after_output_ = true;
    if (pending_bytes() == 0)
        shutdown(descriptor_, SHUT_WR);
}

std::uint32_t stream_socket::requested_events() const noexcept {
    std::uint32_t mask = 0;
    if (!connected_ || pending_bytes() > 0)
        mask |= EPOLLOUT;
    if (connected_ && reading_ && !closing_)
        mask |= EPOLLIN | EPOLLRDHUP;
    return mask;
}

void stream_socket::watch() {
    events_ = requested_events();
    core_.watch(descriptor_, events_,
                [this](std::uint32_t events) { on_events(events); });
}

void stream_socket::update_events() {
    if (!is_open())
        return;
    const std::uint32_t requested = requested_events();
    if (requested == events_)
        return;
    events_ = requested;
    core_.rewatch(descriptor_, requested);
}

void stream_socket::on_events(std::uint32_t events) {
    const std::weak_ptr<int> alive = alive_;
    if (!connected_) {
        int problem = 0;
        socklen_t size = sizeof(problem);
        getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &problem, &size);
        if (problem != 0) {
            end(end_kind::reset);
            return;
        }
        if ((events & EPOLLOUT) == 0U)
            return;
        connected_ = true;
        if (handlers_.connected)
            handlers_.connected();
        if (alive.expired() || !is_open())
            return;
        flush();
        return;
    }
    if (closing_ || (events & EPOLLOUT) != 0U) {
        flush();
        if (alive.expired() || !is_open())
            return;
    }
    if (!closing_ &&
        (events & (EPOLLIN | EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0U)
        read_all();
}

void stream_socket::read_all() {
    std::array<char, read_bytes> buffer{};
    const std::weak_ptr<int> alive = alive_;
    bool has_input = false;
    bool is_ended = false;
    end_kind kind = end_kind::closed;
    for (int round = 0; round < max_reads_per_event; ++round) {
        const ssize_t count = ::read(descriptor_, buffer.data(), buffer.size());
        if (count > 0) {
            input.append(buffer.data(), static_cast<std::size_t>(count));
            has_input = true;
            if (static_cast<std::size_t>(count) < buffer.size())
                break;
            continue;
        }
        if (count < 0 && (would_block() || errno == EINTR))
            break;
        is_ended = true;
        kind =
            count == 0 && !is_send_failed_ ? end_kind::closed : end_kind::reset;
        break;
    }
    if (has_input && handlers_.readable)
        handlers_.readable();
    if (!alive.expired())
        release_if_empty(input);
    if (is_ended && !alive.expired() && is_open())
        end(kind);
}

bool stream_socket::send_pending() {
    if (!send_part(output_, written_))
        return false;
    return written_ < output_.size() || !shared_output_ ||
           send_part(*shared_output_, shared_written_);
}

/// Sends as much of a buffer as the system accepts; returns false if the
/// connection is broken.
bool stream_socket::send_part(std::string_view bytes, std::size_t& written) {
    while (written < bytes.size()) {
        const ssize_t count = ::send(descriptor_, bytes.data() + written,
                                     bytes.size() - written, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return would_block();
        written += static_cast<std::size_t>(count);
        sent_bytes_ += static_cast<std::uint64_t>(count);
    }
    return true;
}

void stream_socket::flush() {
    const std::weak_ptr<int> alive = alive_;
    const bool had_output = pending_bytes() > 0;
    if (!send_pending()) {
        // Input that the peer sent before is still read. The failed send has
        // consumed the socket's error, so reading then reports an orderly end.
        is_send_failed_ = true;
        discard_output();
        if (closing_)
            end(end_kind::reset);
        else
            update_events();
        return;
    }
    if (pending_bytes() == 0) {
        output_.clear();
        written_ = 0;
        shared_output_.reset();
        release_if_empty(output_);
        update_output_charge();
        if (closing_) {
            end(end_kind::closed);
            return;
        }
        if (shutdown_after_output_)
            shutdown(descriptor_, SHUT_WR);
        if (had_output && handlers_.drained) {
            handlers_.drained();
            if (alive.expired())
                return;
        }
    }
    update_events();
}

void stream_socket::end(end_kind kind) {
    close();
    if (handlers_.ended)
        handlers_.ended(kind);
}

} // namespace ospreystage
