#pragma once

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace ospreystage::impl {

/// Maximum nesting of a document from outside the process. Copying and writing
/// a value takes stack for each level.
inline constexpr std::size_t max_json_depth = 128;

/// Parses a document from outside the process; returns a discarded value if it
/// is not JSON, or if it is nested deeper than `max_json_depth`.
[[nodiscard]] nlohmann::json parse_json(std::string_view text);

} // namespace ospreystage::impl
