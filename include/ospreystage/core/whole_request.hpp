#pragma once

#include <ospreystage/core/prompt_part.hpp>

namespace ospreystage {

// A whole request is treated as a part of its prompt that no other request has;
// its id, see `request_identity`, differs from those of parts in one bit.

inline constexpr prompt_part whole_request_bit = prompt_part{1} << 62U;

/// Returns true if the id is that of a whole request.
[[nodiscard]] constexpr bool is_whole_request(prompt_part part) noexcept {
    return (part & whole_request_bit) != 0;
}

/// Returns the id of a whole request with the given hash.
[[nodiscard]] constexpr prompt_part
make_whole_request(std::uint64_t hash) noexcept {
    return hash | whole_request_bit;
}

/// Returns the id of a part of prompts with the given hash.
[[nodiscard]] constexpr prompt_part
make_prompt_part(std::uint64_t hash) noexcept {
    return hash & ~whole_request_bit;
}

} // namespace ospreystage
