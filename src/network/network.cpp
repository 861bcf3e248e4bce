#include <ospreystage/core/resource_limits.hpp>
#include <ospreystage/network/codec.hpp>
#include <ospreystage/network/network.hpp>
#include <ospreystage/network/socket_address.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

namespace ospreystage {

namespace {

constexpr std::size_t read_bytes = 256 * 1024;
constexpr int listen_backlog = 512;
constexpr int datagram_buffer_bytes = 1024 * 1024;

int open_socket(int type) {
    return socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

void set_option(int descriptor, int level, int name, int value) {
    setsockopt(descriptor, level, name, &value, sizeof(value));
}

std::string system_message() {
    return std::strerror(errno);
}

bool bind_to(int descriptor, const sockaddr_in& local) {
    return bind(descriptor, reinterpret_cast<const sockaddr*>(&local),
                sizeof(local)) == 0;
}

} // namespace

network::network(kernel& core) : core_(core), budget_(memory_budget_of(core)) {
    const auto* limits =
        core.find_if<resource_limits>(resource_limits::service_name);
    if (limits != nullptr)
        max_accepted_ = limits->max_internal_connections();
}

network::~network() {
    for (auto& [id, record] : connections_)
        ::close(record.descriptor);
    if (listener_socket_ >= 0)
        ::close(listener_socket_);
    if (datagram_socket_ >= 0)
        ::close(datagram_socket_);
}

void network::set_callbacks(callbacks handlers) {
    handlers_ = std::move(handlers);
}

void network::set_datagram_key(std::string key) {
    datagram_key_ = std::move(key);
}

leaf::result<void> network::listen(const address& local) {
    BOOST_LEAF_ASSIGN(listener_socket_,
                      open_listener(local, listen_backlog, "network.listen"));
    datagram_socket_ = open_socket(SOCK_DGRAM);
    set_option(datagram_socket_, SOL_SOCKET, SO_RCVBUF, datagram_buffer_bytes);
    if (!bind_to(datagram_socket_, *to_socket_address(local)))
        return fail(error_code::unavailable, "network.listen", to_string(local),
                    system_message());
    core_.watch(listener_socket_, EPOLLIN,
                [this](std::uint32_t) { accept_all(); });
    core_.watch(datagram_socket_, EPOLLIN,
                [this](std::uint32_t) { read_datagrams(); });
    return {};
}

std::size_t network::pending_bytes(connection_id connection) const {
    const auto found =
        connections_.find(static_cast<std::uint64_t>(connection));
    if (found == connections_.end())
        return 0;
    return found->second.output.size() - found->second.written;
}

std::uint64_t network::sent_bytes() const noexcept {
    return sent_bytes_;
}

std::uint64_t network::received_bytes() const noexcept {
    return received_bytes_;
}

std::vector<message_traffic> network::traffic() const {
    std::vector<message_traffic> result;
    for (std::size_t type = 0; type < message_names.size(); ++type)
        if (sent_by_type_[type] > 0 || received_by_type_[type] > 0)
            result.push_back({message_names[type], sent_by_type_[type],
                              received_by_type_[type]});
    return result;
}

nlohmann::json network::dump() const {
    nlohmann::json state;
    state["sent_bytes"] = sent_bytes_;
    state["received_bytes"] = received_bytes_;
    state["connections"] = connections_.size();
    state["strange_datagrams"] = rejected_datagrams_;
    return state;
}

connection_id network::connect(const address& remote) {
    const connection_id id{next_connection_++};
    const std::string label = to_string(remote);
    const auto raw = to_socket_address(remote);
    const int descriptor = open_socket(SOCK_STREAM);
    const bool started =
        raw && descriptor >= 0 &&
        (::connect(descriptor, reinterpret_cast<const sockaddr*>(&*raw),
                   sizeof(*raw)) == 0 ||
         errno == EINPROGRESS);
    if (!started) {
        const std::string reason = system_message();
        if (descriptor >= 0)
            ::close(descriptor);
        core_.post("network",
                   [this, id, reason] { handlers_.closed(id, reason); });
        return id;
    }
    add_connection(descriptor, id, true, label);
    return id;
}

bool network::send(connection_id connection, const message& value) {
    const auto found =
        connections_.find(static_cast<std::uint64_t>(connection));
    if (found == connections_.end())
        return false;
    connection_record& record = found->second;
    if (record.output.size() - record.written > max_pending_bytes) {
        drop(connection, "send queue is full");
        return false;
    }
    const std::string frame = encode_frame(value);
    sent_by_type_[value.index()] += frame.size();
    record.output += frame;
    // Frames queued in one event-loop turn are sent with one system call.
    if (!record.connecting && !record.write_blocked &&
        !std::exchange(record.flush_scheduled, true))
        core_.at_turn_end([this, connection] { flush(connection); });
    return true;
}

void network::close(connection_id connection) {
    const auto found =
        connections_.find(static_cast<std::uint64_t>(connection));
    if (found == connections_.end())
        return;
    const connection_record& record = found->second;
    // Frames queued for the end of the turn precede this call: send them now.
    if (record.flush_scheduled)
        static_cast<void>(
            ::send(record.descriptor, record.output.data() + record.written,
                   record.output.size() - record.written, MSG_NOSIGNAL));
    core_.close(record.descriptor);
    if (record.is_accepted)
        --accepted_;
    connections_.erase(found);
}

void network::send_datagram(const address& remote, const message& value) {
    send_datagrams({remote}, value);
}

void network::send_datagrams(const std::vector<address>& remotes,
                             const message& value) {
    const std::string payload = datagram_key_ + encode_payload(value);
    if (payload.size() > max_datagram_bytes)
        return;
    for (const address& remote : remotes) {
        const auto raw = to_socket_address(remote);
        if (!raw)
            continue;
        const auto sent =
            sendto(datagram_socket_, payload.data(), payload.size(), 0,
                   reinterpret_cast<const sockaddr*>(&*raw), sizeof(*raw));
        if (sent <= 0)
            continue;
        sent_bytes_ += static_cast<std::uint64_t>(sent);
        sent_by_type_[value.index()] += static_cast<std::uint64_t>(sent);
    }
}

void network::accept_all() {
    for (;;) {
        sockaddr_in raw{};
        socklen_t size = sizeof(raw);
        const int descriptor =
            accept4(listener_socket_, reinterpret_cast<sockaddr*>(&raw), &size,
                    SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        // Closed at once: peers connect again, and the backlog would only hold
        // connections that nobody serves.
        if (max_accepted_ > 0 && accepted_ >= max_accepted_) {
            ::close(descriptor);
            continue;
        }
        ++accepted_;
        const connection_id id{next_connection_++};
        add_connection(descriptor, id, false,
                       to_string(from_socket_address(raw)));
        connections_.at(static_cast<std::uint64_t>(id)).is_accepted = true;
        handlers_.opened(id, false);
    }
}

void network::add_connection(int descriptor, connection_id id, bool connecting,
                             std::string label) {
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    connection_record record;
    record.descriptor = descriptor;
    record.connecting = connecting;
    record.label = std::move(label);
    record.charge = memory_charge(budget_, memory_account::frames);
    connections_.emplace(static_cast<std::uint64_t>(id), std::move(record));
    core_.watch(descriptor, connecting ? EPOLLOUT : EPOLLIN,
                [this, id](std::uint32_t events) { on_events(id, events); });
}

void network::on_events(connection_id id, std::uint32_t events) {
    const auto found = connections_.find(static_cast<std::uint64_t>(id));
    if (found == connections_.end())
        return;
    if (found->second.connecting) {
        finish_connect(id);
        return;
    }
    if ((events & EPOLLOUT) != 0U)
        flush(id);
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0U)
        read_all(id);
}

void network::finish_connect(connection_id id) {
    connection_record& record = connections_.at(static_cast<std::uint64_t>(id));
    int status = 0;
    socklen_t size = sizeof(status);
    getsockopt(record.descriptor, SOL_SOCKET, SO_ERROR, &status, &size);
    if (status != 0) {
        drop(id, std::strerror(status));
        return;
    }
    record.connecting = false;
    core_.rewatch(record.descriptor, EPOLLIN);
    handlers_.opened(id, true);
    flush(id);
}

void network::read_all(connection_id id) {
    static thread_local std::vector<char> buffer(read_bytes);
    const auto found = connections_.find(static_cast<std::uint64_t>(id));
    if (found == connections_.end())
        return;
    const auto count =
        recv(found->second.descriptor, buffer.data(), buffer.size(), 0);
    if (count == 0) {
        drop(id, "closed by the peer");
        return;
    }
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR)
            drop(id, system_message());
        return;
    }
    received_bytes_ += static_cast<std::uint64_t>(count);
    found->second.input.append(buffer.data(), static_cast<std::size_t>(count));
    deliver_frames(id);
    const auto remaining = connections_.find(static_cast<std::uint64_t>(id));
    if (remaining != connections_.end() && !charge(remaining->second))
        drop(id, "memory limit reached");
}

/// Charges the input of a connection; returns false if the budget refuses it.
bool network::charge(connection_record& record) {
    if (budget_ == nullptr)
        return true;
    if (record.input.empty())
        std::string().swap(record.input);
    record.charge.set(record.input.capacity());
    return record.charge.admit();
}

void network::deliver_frames(connection_id id) {
    std::size_t offset = 0;
    for (;;) {
        const auto found = connections_.find(static_cast<std::uint64_t>(id));
        if (found == connections_.end())
            return;
        connection_record& record = found->second;
        const std::string_view remaining =
            std::string_view(record.input).substr(offset);
        if (remaining.size() < frame_header_bytes) {
            record.input.erase(0, offset);
            return;
        }
        error failure;
        const auto header = value_or_error(
            [&] { return decode_header(remaining, record.label); }, failure);
        if (!header) {
            drop(id, to_string(failure));
            return;
        }
        const std::size_t frame_bytes = frame_header_bytes + header->length;
        if (remaining.size() < frame_bytes) {
            record.input.erase(0, offset);
            return;
        }
        auto value = value_or_error(
            [&] {
                return decode_payload(
                    remaining.substr(frame_header_bytes, header->length),
                    record.label);
            },
            failure);
        if (!value) {
            drop(id, to_string(failure));
            return;
        }
        offset += frame_bytes;
        received_by_type_[value->index()] += frame_bytes;
        handlers_.received(id, std::move(*value));
    }
}

void network::flush(connection_id id) {
    const auto found = connections_.find(static_cast<std::uint64_t>(id));
    if (found == connections_.end())
        return;
    connection_record& record = found->second;
    record.flush_scheduled = false;
    while (record.written < record.output.size()) {
        const auto count =
            ::send(record.descriptor, record.output.data() + record.written,
                   record.output.size() - record.written, MSG_NOSIGNAL);
        if (count < 0) {
            if (errno == EAGAIN || errno == EINTR) {
                if (!std::exchange(record.write_blocked, true))
                    core_.rewatch(record.descriptor, EPOLLIN | EPOLLOUT);
                return;
            }
            drop(id, system_message());
            return;
        }
        record.written += static_cast<std::size_t>(count);
        sent_bytes_ += static_cast<std::uint64_t>(count);
    }
    record.output.clear();
    record.written = 0;
    if (std::exchange(record.write_blocked, false))
        core_.rewatch(record.descriptor, EPOLLIN);
}

void network::drop(connection_id id, const std::string& reason) {
    close(id);
    // Posted, because the callback must not run inside a call to `send`.
    core_.post("network", [this, id, reason] { handlers_.closed(id, reason); });
}

void network::read_datagrams() {
    static thread_local std::vector<char> buffer(max_datagram_bytes);
    for (;;) {
        sockaddr_in raw{};
        socklen_t size = sizeof(raw);
        const auto count =
            recvfrom(datagram_socket_, buffer.data(), buffer.size(), 0,
                     reinterpret_cast<sockaddr*>(&raw), &size);
        if (count < 0)
            return;
        received_bytes_ += static_cast<std::uint64_t>(count);
        const address from = from_socket_address(raw);
        std::string_view payload{buffer.data(),
                                 static_cast<std::size_t>(count)};
        if (!payload.starts_with(datagram_key_)) {
            ++rejected_datagrams_;
            continue;
        }
        payload.remove_prefix(datagram_key_.size());
        error ignored;
        auto value = value_or_error(
            [&] { return decode_payload(payload, to_string(from)); }, ignored);
        if (!value)
            continue;
        received_by_type_[value->index()] += static_cast<std::uint64_t>(count);
        handlers_.datagram(from, std::move(*value));
    }
}

} // namespace ospreystage
