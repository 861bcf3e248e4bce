#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ospreystage::support {

/// Returns `count` distinct loopback ports free for TCP and UDP.
///
/// They lie below the range of outgoing connections, and a process gets each
/// only once. Returns fewer if not enough are free.
[[nodiscard]] std::vector<std::uint16_t> free_ports(std::size_t count);

} // namespace ospreystage::support
