#pragma once

#include <ospreystage/core/error.hpp>
#include <ospreystage/network/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace ospreystage {

/// Maximum payload of a frame in bytes; checked before decoding.
inline constexpr std::size_t max_frame_bytes = 5 * 1024 * 1024;

/// Size of the header: payload length (4) and protocol version (2), big endian.
inline constexpr std::size_t frame_header_bytes = 6;

/// Maximum size of a datagram in bytes.
inline constexpr std::size_t max_datagram_bytes = 60 * 1024;

/// Encodes a message as a payload without a header.
[[nodiscard]] std::string encode_payload(const message& value);

/// Decodes a payload; checks encoded lengths against its size beforehand.
[[nodiscard]] leaf::result<message> decode_payload(std::string_view payload,
                                                   const std::string& peer);

/// Encodes a message as a frame: header and payload.
[[nodiscard]] std::string encode_frame(const message& value);

/// Header of a frame.
struct frame_header {
    std::uint32_t length = 0; ///< Payload size in bytes.
    std::uint16_t version = 0;
};

/// Decodes a header and validates its length and protocol version.
[[nodiscard]] leaf::result<frame_header> decode_header(std::string_view bytes,
                                                       const std::string& peer);

} // namespace ospreystage
