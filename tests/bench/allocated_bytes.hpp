#pragma once

#include <cstdint>

namespace ospreystage::bench {

/// Bytes that this process has asked of the allocator since its start.
[[nodiscard]] std::uint64_t allocated_bytes() noexcept;

} // namespace ospreystage::bench
