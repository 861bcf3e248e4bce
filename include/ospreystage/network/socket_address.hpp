#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/error.hpp>

#include <netinet/in.h>

#include <optional>
#include <string>

namespace ospreystage {

/// Converts to a socket address; returns nothing if the host is not a numeric
/// IPv4 address.
[[nodiscard]] std::optional<sockaddr_in>
to_socket_address(const address& endpoint);

/// Converts from a socket address.
[[nodiscard]] address from_socket_address(const sockaddr_in& raw);

/// Parses `IP:PORT` with a numeric IPv4 address; returns nothing for any other
/// text.
[[nodiscard]] std::optional<address>
parse_numeric_address(const std::string& text);

/// Opens a non-blocking TCP socket that listens at `local`.
///
/// Fails with `invalid_argument` if the host is not numeric and `unavailable`
/// if the address is in use; `step` names the operation in the error.
[[nodiscard]] leaf::result<int> open_listener(const address& local, int backlog,
                                              const std::string& step);

} // namespace ospreystage
