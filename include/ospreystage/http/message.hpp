#pragma once

#include <ospreystage/core/memory_budget.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// Header field of an HTTP message; keeps the spelling of the sender.
struct http_field {
    std::string name;
    std::string value;
    friend bool operator==(const http_field&, const http_field&) = default;
};

/// Header fields in the order received.
using http_fields = std::vector<http_field>;

/// HTTP request with its complete body, transfer coding removed.
struct http_request {
    std::string method = "GET";
    std::string target = "/";
    http_fields fields;
    std::string body;
    bool keep_alive = true;     ///< The peer permits reuse of the connection.
    bool accepts_chunks = true; ///< The peer reads chunked bodies (HTTP/1.1).
    /// Body that is sent in place of `body`, without a copy. Optional.
    std::shared_ptr<const std::string> shared_body = nullptr;
    /// Memory that the request takes, for as long as it is kept. Optional.
    std::shared_ptr<memory_charge> charge = nullptr;
};

/// Returns the body that is sent.
[[nodiscard]] const std::string& body_of(const http_request& request) noexcept;

/// Returns the request with its body moved to `shared_body`, so that it can be
/// sent several times without a copy.
[[nodiscard]] http_request with_shared_body(http_request request);

/// How the end of a message's body is marked.
enum class http_framing : std::uint8_t {
    length,     ///< By its size, or the message has no body.
    chunked,    ///< By the last chunk.
    connection, ///< By the end of the connection.
};

/// Returns the name of an `http_framing` for logs and metrics.
[[nodiscard]] const char* to_string(http_framing framing) noexcept;

/// HTTP response; `body` is empty if the body is streamed.
struct http_response {
    std::uint16_t status = 200;
    std::string reason;
    http_fields fields;
    std::string body;
    bool keep_alive = true; ///< The peer permits reuse of the connection.
    http_framing framing = http_framing::length; ///< Of a received response.
    /// `Content-Length` of a received response, also of one to HEAD.
    std::optional<std::uint64_t> content_length;
};

/// Returns true if two field names are equal, ignoring ASCII case.
[[nodiscard]] bool is_same_field(std::string_view left,
                                 std::string_view right) noexcept;

/// Returns a pointer to the value of the first field `name`, or null if it is
/// absent.
[[nodiscard]] const std::string* find_field(const http_fields& fields,
                                            std::string_view name) noexcept;

/// Returns the value of the first field `name`, or an empty string if it is
/// absent.
[[nodiscard]] std::string field_value(const http_fields& fields,
                                      std::string_view name);

/// Returns true if `content_type` is `text/event-stream` (server-sent events),
/// with or without parameters.
[[nodiscard]] bool is_event_stream(std::string_view content_type) noexcept;

/// Returns a response with the given content type and body.
[[nodiscard]] http_response text_response(std::string content_type,
                                          std::string body);

/// Removes every field `name`.
void erase_field(http_fields& fields, std::string_view name);

/// Removes the hop-by-hop fields (RFC 9110, section 7.6.1): `Connection`, the
/// fields that it lists, and the framing fields.
void erase_hop_fields(http_fields& fields);

/// Returns the standard reason phrase of a status code.
[[nodiscard]] std::string_view reason_phrase(std::uint16_t status) noexcept;

/// Encodes the head of a request with `Content-Length` framing; adds
/// `Host: host` if the request has no `Host` field.
[[nodiscard]] std::string encode_request_head(const http_request& request,
                                              const std::string& host);

/// Encodes a request with `Content-Length` framing; adds `Host: host` if the
/// request has no `Host` field.
[[nodiscard]] std::string encode_request(const http_request& request,
                                         const std::string& host);

/// Encodes a response with its whole body, framed by `Content-Length`; without
/// both if its status rules out a body. Adds `Connection: close` unless
/// `keep_alive`.
[[nodiscard]] std::string encode_response(const http_response& response,
                                          bool keep_alive);

/// Returns true if a response with this status never has a body (RFC 9112,
/// section 6.3).
[[nodiscard]] bool is_bodiless(std::uint16_t status) noexcept;

/// Encodes a response to HEAD, which has no body: the head that GET would get.
/// `Content-Length` is that of the body or else `content_length`, if there is
/// any.
[[nodiscard]] std::string encode_head_response(const http_response& response,
                                               bool keep_alive);

/// Encodes the head of a response whose body follows: of `body_bytes` bytes
/// with `http_framing::length`, see `encode_chunk` for `http_framing::chunked`.
[[nodiscard]] std::string encode_head(const http_response& response,
                                      http_framing framing, bool keep_alive,
                                      std::uint64_t body_bytes = 0);

/// Encodes one chunk of a chunked body. `data` must not be empty: an empty
/// chunk would end the body.
[[nodiscard]] std::string encode_chunk(std::string_view data);

/// Last chunk, which ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace ospreystage
