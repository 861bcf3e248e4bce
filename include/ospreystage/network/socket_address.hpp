#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/error.hpp>

#include <netinet/in.h>

#include <optional>
#include <string>

namespace ospreystage {

/// Converts to the system's form; nothing if the host is no numeric IPv4
/// address.
[[nodiscard]] std::optional<sockaddr_in>
to_socket_address(const address& endpoint);

/// Converts from the system's form.
[[nodiscard]] address from_socket_address(const sockaddr_in& raw);

/// Makes a TCP socket that does not block and listens at `local`.
///
/// `step` names the operation in errors: `invalid_argument` if the host is not
/// numeric, `unavailable` if the address is in use.
[[nodiscard]] leaf::result<int> open_listener(const address& local, int backlog,
                                              const std::string& step);

} // namespace ospreystage
