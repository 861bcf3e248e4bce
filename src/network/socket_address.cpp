#include <ospreystage/network/socket_address.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace ospreystage {

std::optional<sockaddr_in> to_socket_address(const address& endpoint) {
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.host.c_str(), &result.sin_addr) != 1)
        return std::nullopt;
    return result;
}

address from_socket_address(const sockaddr_in& raw) {
    std::array<char, INET_ADDRSTRLEN> host{};
    inet_ntop(AF_INET, &raw.sin_addr, host.data(), host.size());
    return {host.data(), ntohs(raw.sin_port)};
}

std::optional<address> parse_numeric_address(const std::string& text) {
    auto parsed = parse_address(text);
    if (!parsed)
        return std::nullopt;
    // The host may hold a zero byte, after which the conversion reads nothing.
    const auto raw = to_socket_address(*parsed);
    return raw && from_socket_address(*raw) == *parsed ? parsed : std::nullopt;
}

leaf::result<int> open_listener(const address& local, int backlog,
                                const std::string& step) {
    const auto raw = to_socket_address(local);
    if (!raw)
        return fail(error_code::invalid_argument, step, to_string(local),
                    "not a numeric IPv4 address");
    const int descriptor =
        socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&*raw),
             sizeof(*raw)) == 0 &&
        listen(descriptor, backlog) == 0)
        return descriptor;
    const std::string reason = std::strerror(errno);
    ::close(descriptor);
    return fail(error_code::unavailable, step, to_string(local), reason);
}

} // namespace ospreystage
