#include <ospreystage/core/address.hpp>

#include <charconv>

namespace ospreystage {

std::string to_string(const address& endpoint) {
    return endpoint.host + ":" + std::to_string(endpoint.port);
}

std::optional<address> parse_address(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    std::uint16_t port = 0;
    const char* first = text.data() + colon + 1;
    const char* last = text.data() + text.size();
    const auto [end, status] = std::from_chars(first, last, port);
    if (status != std::errc() || end != last || port == 0)
        return std::nullopt;
    return address{text.substr(0, colon), port};
}

} // namespace ospreystage
