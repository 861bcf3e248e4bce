#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <tests/support/free_ports.hpp>
#include <unistd.h>

#include <atomic>
#include <random>

namespace ospreystage::support {

namespace {

constexpr std::uint32_t first_port = 12000;
constexpr std::uint32_t port_count = 20000;

bool can_bind(int type, std::uint16_t port) {
    const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return false;
    const int enabled = 1;
    if (type == SOCK_STREAM)
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled,
                   sizeof(enabled));
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    local.sin_port = htons(port);
    const bool bound =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&local),
             sizeof(local)) == 0;
    close(descriptor);
    return bound;
}

std::uint16_t next_candidate() {
    static std::atomic<std::uint32_t> next{std::random_device{}()};
    const std::uint32_t offset = next.fetch_add(1) % port_count;
    return static_cast<std::uint16_t>(first_port + offset);
}

} // namespace

std::vector<std::uint16_t> free_ports(std::size_t count) {
    std::vector<std::uint16_t> ports;
    for (std::uint32_t tried = 0; tried < port_count && ports.size() < count;
         ++tried) {
        const std::uint16_t port = next_candidate();
        if (can_bind(SOCK_STREAM, port) && can_bind(SOCK_DGRAM, port))
            ports.push_back(port);
    }
    return ports;
}

} // namespace ospreystage::support
