#include <ospreystage/core/log.hpp>
#include <ospreystage/network/resolve.hpp>
#include <ospreystage/network/socket_address.hpp>

#include <netdb.h>
#include <sys/socket.h>

#include <string_view>

namespace ospreystage {

namespace {

constexpr std::string_view scheme = "http://";
constexpr const char* default_port = ":80";

address log_unresolved(const std::string& url, const char* problem) {
    log_event(log_level::error, "host_not_resolved",
              {{"url", url}, {"error", problem}});
    return {};
}

} // namespace

address resolve_url(const std::string& url) {
    if (!url.starts_with(scheme))
        return log_unresolved(url, "not an http:// URL");
    std::string authority = url.substr(scheme.size());
    authority = authority.substr(0, authority.find('/'));
    if (authority.find(':') == std::string::npos)
        authority += default_port;
    const auto parsed = parse_address(authority);
    if (!parsed)
        return log_unresolved(url, "host or port is not valid");
    if (to_socket_address(*parsed))
        return *parsed;
    addrinfo hints{};
    hints.ai_family = AF_INET;
    hints.ai_socktype = SOCK_STREAM;
    addrinfo* found = nullptr;
    const int status =
        getaddrinfo(parsed->host.c_str(), nullptr, &hints, &found);
    if (status != 0)
        return log_unresolved(url, gai_strerror(status));
    address result = from_socket_address(
        *reinterpret_cast<const sockaddr_in*>(found->ai_addr));
    freeaddrinfo(found);
    result.port = parsed->port;
    return result;
}

} // namespace ospreystage
