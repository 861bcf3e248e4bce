#pragma once

#include <cstdint>
#include <string_view>

namespace ospreystage {

/// Mixes two 64-bit values into one (splitmix64 finaliser).
[[nodiscard]] constexpr std::uint64_t mix_hash(std::uint64_t left,
                                               std::uint64_t right) noexcept {
    std::uint64_t value = left ^ (right * 0x9E3779B97F4A7C15ULL);
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

/// Computes a hash of `text` that is the same in every process (FNV-1a with a
/// splitmix64 finaliser).
[[nodiscard]] constexpr std::uint64_t
stable_hash(std::string_view text) noexcept {
    std::uint64_t value = 0xCBF29CE484222325ULL;
    for (const char character : text) {
        value ^= static_cast<unsigned char>(character);
        value *= 0x100000001B3ULL;
    }
    return mix_hash(value, text.size());
}

} // namespace ospreystage
