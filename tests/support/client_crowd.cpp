#include "client_crowd.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <thread>

namespace ospreystage::testing {

namespace {

/// Small, so that unread data stays with the process under test.
constexpr int receive_buffer_bytes = 4096;
constexpr int backlog = 256;
constexpr milliseconds idle_wait{2};
/// Writes of one client before the next one is served.
constexpr int writes_per_turn = 16;

sockaddr_in loopback(const std::string& host, std::uint16_t port) {
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &raw.sin_addr);
    return raw;
}

int open_socket() {
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
               sizeof(receive_buffer_bytes));
    return descriptor;
}

} // namespace

client_crowd::~client_crowd() {
    for (const client& each : clients_)
        close(each.descriptor);
}

void client_crowd::add(const address& server, std::size_t count,
                       const client_script& script) {
    scripts_.push_back(script);
    const sockaddr_in raw = loopback(server.host, server.port);
    for (std::size_t index = 0; index < count; ++index) {
        client added{open_socket(), scripts_.size() - 1};
        static_cast<void>(connect(added.descriptor,
                                  reinterpret_cast<const sockaddr*>(&raw),
                                  sizeof(raw)));
        clients_.push_back(added);
    }
}

void client_crowd::run(milliseconds sending, milliseconds holding) {
    const instant end = steady::now() + sending;
    const auto is_done = [this](const client& each) {
        const client_script& script = scripts_[each.script];
        return each.is_ended ||
               each.sent ==
                   script.head.size() + script.piece.size() * script.pieces;
    };
    while (steady::now() < end &&
           !std::all_of(clients_.begin(), clients_.end(), is_done)) {
        bool has_sent = false;
        for (client& each : clients_)
            for (int turn = 0;
                 turn < writes_per_turn && !is_done(each) && send_some(each);
                 ++turn)
                has_sent = true;
        if (!has_sent)
            std::this_thread::sleep_for(idle_wait);
    }
    std::this_thread::sleep_for(holding);
}

bool client_crowd::send_some(client& sender) {
    const client_script& script = scripts_[sender.script];
    std::string_view part = script.head;
    std::size_t offset = sender.sent;
    if (sender.sent >= script.head.size()) {
        part = script.piece;
        offset = (sender.sent - script.head.size()) % script.piece.size();
    }
    part.remove_prefix(offset);
    if (script.max_write_bytes > 0)
        part = part.substr(0, script.max_write_bytes);
    const ssize_t count =
        ::send(sender.descriptor, part.data(), part.size(), MSG_NOSIGNAL);
    if (count < 0) {
        // Not connected yet, or the buffer of the system is full.
        sender.is_ended = errno != EAGAIN && errno != ENOTCONN;
        return false;
    }
    sender.sent += static_cast<std::size_t>(count);
    return count > 0;
}

unread_listener::unread_listener() : descriptor_(open_socket()) {
    sockaddr_in raw = loopback("127.0.0.1", 0);
    static_cast<void>(
        bind(descriptor_, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)));
    listen(descriptor_, backlog);
    socklen_t size = sizeof(raw);
    getsockname(descriptor_, reinterpret_cast<sockaddr*>(&raw), &size);
    port_ = ntohs(raw.sin_port);
}

unread_listener::~unread_listener() {
    close(descriptor_);
}

} // namespace ospreystage::testing
