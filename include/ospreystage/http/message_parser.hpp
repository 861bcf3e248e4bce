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
    std::size_t consumed = 0; ///< Bytes to remove from the input.
    bool is_complete = false; ///< The message is complete.
    std::string failure;      ///< Parse error, or empty.
    /// Response status for the error: 400, 413 (body too large), 431 (header
    /// too large) or 501 (transfer coding not supported).
    std::uint16_t failure_status = 400;
};

/// Incremental parser for one HTTP request.
class request_parser {
  public:
    /// Exceeding a limit, in bytes, is a parse error.
    request_parser(std::size_t max_header_bytes, std::size_t max_body_bytes);
    ~request_parser();
    request_parser(request_parser&&) noexcept;
    request_parser& operator=(request_parser&&) noexcept;

    /// Parses as much of `input` as possible. Bytes not consumed have to be
    /// passed again with those that follow.
    [[nodiscard]] parse_progress feed(std::string_view input);

    [[nodiscard]] bool is_head_complete() const noexcept;
    [[nodiscard]] http_request& request() noexcept;
    /// Returns the memory that the parsed part of the request takes.
    [[nodiscard]] std::size_t memory() const noexcept;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Incremental parser for one HTTP response; passes on the body as it arrives.
class response_parser {
  public:
    using body_handler = std::function<void(std::string_view)>;

    /// `is_head_request`: the response has no body, whatever `Content-Length`
    /// or `Transfer-Encoding` it carries.
    response_parser(bool is_head_request, body_handler on_body);
    ~response_parser();
    response_parser(response_parser&&) noexcept;
    response_parser& operator=(response_parser&&) noexcept;

    /// Parses as much of `input` as possible, as `request_parser::feed` does.
    [[nodiscard]] parse_progress feed(std::string_view input);

    /// Signals the end of the input after an orderly close of the connection;
    /// returns true if the response is complete.
    [[nodiscard]] bool finish();

    [[nodiscard]] bool is_head_complete() const noexcept;
    [[nodiscard]] http_response& response() noexcept;

  private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace ospreystage
