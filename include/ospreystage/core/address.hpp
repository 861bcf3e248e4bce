#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace ospreystage {

/// Network endpoint of a process: an IPv4 address and a port.
struct address {
    std::string host; ///< Numeric IPv4 address.
    std::uint16_t port = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(host, port);
    }
    friend auto operator<=>(const address&, const address&) = default;

    template <typename State>
    friend State AbslHashValue(State state, const address& value) {
        return State::combine(std::move(state), value.host, value.port);
    }
};

/// Formats as `host:port`.
[[nodiscard]] std::string to_string(const address& endpoint);

/// Parses `host:port`; returns nothing if the host is empty or the port is not
/// a number from 1 to 65535. The host itself is not checked.
[[nodiscard]] std::optional<address> parse_address(const std::string& text);

} // namespace ospreystage
