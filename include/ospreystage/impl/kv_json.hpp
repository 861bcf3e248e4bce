#pragma once

#include <ospreystage/store/kv_client.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace ospreystage::impl {

/// Encodes bytes as base64, as the JSON gateway wants them.
[[nodiscard]] std::string to_base64(const std::string& bytes);

/// Decodes base64; throws `std::runtime_error` if the text is not base64.
[[nodiscard]] std::string from_base64(const std::string& text);

/// Reads a 64-bit integer that the gateway writes as a string; 0 if absent.
[[nodiscard]] std::int64_t read_int64(const nlohmann::json& object,
                                      const char* name);

/// Reads one `kv` object.
[[nodiscard]] kv_entry parse_kv_entry(const nlohmann::json& kv);

} // namespace ospreystage::impl
