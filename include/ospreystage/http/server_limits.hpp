#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstddef>

namespace ospreystage {

/// Size and time limits on the requests of a caller.
struct server_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    /// From the first byte of a request until it is complete, body included.
    milliseconds header_timeout{3000};
    /// Between two requests of a connection, or before its first.
    milliseconds idle_timeout{15'000};
    friend bool operator==(const server_limits&,
                           const server_limits&) = default;
};

} // namespace ospreystage
