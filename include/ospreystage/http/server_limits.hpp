#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstddef>

namespace ospreystage {

/// What a caller may send and how long it may take.
struct server_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15'000};
    friend bool operator==(const server_limits&,
                           const server_limits&) = default;
};

} // namespace ospreystage
