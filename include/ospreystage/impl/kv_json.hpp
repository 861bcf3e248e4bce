#pragma once

#include <ospreystage/store/kv_client.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace ospreystage::impl {

/// Encodes bytes as base64, the JSON gateway's encoding of keys and values.
[[nodiscard]] std::string to_base64(const std::string& bytes);

/// Decodes base64; throws `std::runtime_error` if `text` is not valid base64.
[[nodiscard]] std::string from_base64(const std::string& text);

/// Returns the 64-bit integer field `name`, which the gateway writes as a
/// string; 0 if it is absent.
[[nodiscard]] std::int64_t read_int64(const nlohmann::json& object,
                                      const char* name);

/// Parses a `kv` object of the gateway; throws a `std::exception` if it is
/// malformed.
[[nodiscard]] kv_entry parse_kv_entry(const nlohmann::json& kv);

} // namespace ospreystage::impl
