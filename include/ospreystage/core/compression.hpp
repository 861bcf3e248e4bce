#pragma once

#include <ospreystage/core/error.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace ospreystage {

/// Returns `text` compressed in the zlib format (RFC 1950).
[[nodiscard]] std::string compress(std::string_view text);

/// Returns the text that `compress` was given. Fails with `malformed`, `step`
/// and `peer` for other bytes or for a text of more than `max_bytes`.
[[nodiscard]] leaf::result<std::string> decompress(std::string_view bytes,
                                                   std::size_t max_bytes,
                                                   const char* step,
                                                   const std::string& peer);

} // namespace ospreystage
