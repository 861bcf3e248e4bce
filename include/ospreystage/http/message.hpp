#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// Header field of an HTTP message, spelled as it was received.
struct http_field {
    std::string name;
    std::string value;
    friend bool operator==(const http_field&, const http_field&) = default;
};

/// Header fields in the order in which they were received.
using http_fields = std::vector<http_field>;

/// HTTP request with its whole body, without transfer coding.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    http_fields fields;
    std::string body;
    bool keep_alive = true; ///< The peer keeps the connection open.
};

/// HTTP response; `body` is empty where the body is delivered in parts.
struct http_response {
    std::uint16_t status = 200;
    std::string reason;
    http_fields fields;
    std::string body;
    bool keep_alive = true; ///< The peer keeps the connection open.
};

/// Compares field names without regard to case.
[[nodiscard]] bool is_same_field(std::string_view left,
                                 std::string_view right) noexcept;

/// Returns the value of the first field `name`, or null.
[[nodiscard]] const std::string* find_field(const http_fields& fields,
                                            std::string_view name) noexcept;

/// Returns the value of the first field `name`, or nothing.
[[nodiscard]] std::string field_value(const http_fields& fields,
                                      std::string_view name);

/// Returns true if a content type is that of server-sent events.
[[nodiscard]] bool is_event_stream(std::string_view content_type) noexcept;

/// Makes an answer with a body of any type.
[[nodiscard]] http_response text_response(std::string content_type,
                                          std::string body);

/// Removes every field `name`.
void erase_field(http_fields& fields, std::string_view name);

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1):
/// `Connection`, those that it lists, and the framing fields.
void erase_hop_fields(http_fields& fields);

/// Returns the usual reason phrase of a status.
[[nodiscard]] std::string_view reason_phrase(std::uint16_t status) noexcept;

/// Encodes a request with `Content-Length` framing, and with `host` for the
/// field `Host` if it has none.
[[nodiscard]] std::string encode_request(const http_request& request,
                                         const std::string& host);

/// How the body of an encoded response is framed.
enum class http_framing {
    length,  ///< `Content-Length` of `body`.
    chunked, ///< Parts follow, see `encode_chunk`.
};

/// Encodes the head of a response, and its body with `http_framing::length`.
[[nodiscard]] std::string encode_response(const http_response& response,
                                          http_framing framing,
                                          bool keep_alive);

/// Encodes one part of a chunked body; `data` is not empty.
[[nodiscard]] std::string encode_chunk(std::string_view data);

/// End of a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace ospreystage
