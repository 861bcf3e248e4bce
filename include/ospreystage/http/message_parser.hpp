#pragma once

#include <ospreystage/http/message.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace ospreystage {

/// Result of feeding bytes to a parser.
struct parse_progress {
    std::size_t consumed = 0; ///< Bytes that the caller drops.
    bool is_complete = false; ///< The message has ended.
    std::string failure;      ///< What is wrong, or empty.
    /// Status that tells a caller what is wrong with its request.
    std::uint16_t failure_status = 400;
};

/// Incremental parser of one HTTP request.
class request_parser {
  public:
    /// Limits are in bytes.
    request_parser(std::size_t max_header_bytes, std::size_t max_body_bytes);
    ~request_parser();
    request_parser(request_parser&&) noexcept;
    request_parser& operator=(request_parser&&) noexcept;

    /// Parses as much of `input` as possible.
    [[nodiscard]] parse_progress feed(std::string_view input);

    [[nodiscard]] bool is_head_complete() const noexcept;
    [[nodiscard]] http_request& request() noexcept;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Incremental parser of one HTTP response; hands on the body as it arrives.
class response_parser {
  public:
    using body_handler = std::function<void(std::string_view)>;

    /// `is_head_request`: the response has no body whatever its fields say.
    response_parser(bool is_head_request, body_handler on_body);
    ~response_parser();
    response_parser(response_parser&&) noexcept;
    response_parser& operator=(response_parser&&) noexcept;

    [[nodiscard]] parse_progress feed(std::string_view input);

    /// Tells that the connection was closed in order; returns true if that
    /// completes the response.
    [[nodiscard]] bool finish();

    [[nodiscard]] bool is_head_complete() const noexcept;
    [[nodiscard]] http_response& response() noexcept;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ospreystage
