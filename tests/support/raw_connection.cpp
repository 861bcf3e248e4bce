#include "raw_connection.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace ospreystage::testing {

raw_connection::raw_connection(const address& server, int receive_buffer_bytes)
    : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    if (receive_buffer_bytes > 0)
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                   sizeof(receive_buffer_bytes));
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(server.port);
    inet_pton(AF_INET, server.host.c_str(), &raw.sin_addr);
    connected_ = connect(descriptor_, reinterpret_cast<const sockaddr*>(&raw),
                         sizeof(raw)) == 0;
}

raw_connection::~raw_connection() {
    close(descriptor_);
}

bool raw_connection::send(std::string_view bytes) {
    while (!bytes.empty()) {
        const ssize_t count =
            ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
    return true;
}

std::string raw_connection::read_until(std::string_view delimiter,
                                       milliseconds timeout) {
    const instant deadline = steady::now() + timeout;
    std::size_t found = input_.find(delimiter);
    while (found == std::string::npos && read_some(deadline))
        found = input_.find(delimiter);
    if (found == std::string::npos)
        return std::exchange(input_, "");
    std::string out = input_.substr(0, found + delimiter.size());
    input_.erase(0, out.size());
    return out;
}

std::string raw_connection::read_all(milliseconds timeout) {
    const instant deadline = steady::now() + timeout;
    while (read_some(deadline))
        continue;
    return std::exchange(input_, "");
}

bool raw_connection::await_end(milliseconds timeout) {
    read_all(timeout);
    return connected_ && ended_;
}

bool raw_connection::read_some(instant deadline) {
    const auto left_ms =
        std::chrono::ceil<milliseconds>(deadline - steady::now()).count();
    pollfd waiting{descriptor_, POLLIN, 0};
    if (ended_ || left_ms <= 0 ||
        poll(&waiting, 1, static_cast<int>(left_ms)) <= 0)
        return false;
    std::array<char, 16 * 1024> buffer{};
    const ssize_t count = recv(descriptor_, buffer.data(), buffer.size(), 0);
    ended_ = count <= 0;
    reset_ = count < 0;
    if (!ended_)
        input_.append(buffer.data(), static_cast<std::size_t>(count));
    return !ended_;
}

} // namespace ospreystage::testing
