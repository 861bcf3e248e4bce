#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// One event of a `text/event-stream`, including the blank line that ends it.
struct stream_event {
    std::string text;
    std::optional<std::uint64_t> id; ///< Value of its `id:` line.
    friend bool operator==(const stream_event&, const stream_event&) = default;
};

/// Largest event of a stream, its blank line included. It bounds the memory
/// that a server which never ends an event can make an entry use.
inline constexpr std::size_t max_event_bytes = 64 * 1024;

/// Returns true if the event consists of comments only, which servers send to
/// keep a connection open.
[[nodiscard]] bool is_comment(const stream_event& event);

/// Returns true if the text between two blank lines is not an event of its
/// stream: it has none of an event's fields, as an error's text has none, or it
/// contains the head of an HTTP response.
[[nodiscard]] bool is_foreign(const stream_event& event);

/// Splits a byte stream into complete events.
class event_splitter {
  public:
    /// Appends bytes and returns the events that they complete, up to the first
    /// one that is too large.
    [[nodiscard]] std::vector<stream_event> feed(std::string_view data);

    /// Returns the bytes after the last complete event.
    [[nodiscard]] const std::string& remainder() const noexcept {
        return remainder_;
    }

    /// Returns true if those bytes are part of an event, or of a line: a stream
    /// that ends here was broken off. Blank lines and comments are not.
    [[nodiscard]] bool is_inside_event() const noexcept;

    /// Returns true if an event exceeds `max_event_bytes`; no more events are
    /// returned then.
    [[nodiscard]] bool is_too_large() const noexcept { return is_too_large_; }

    /// Drops the bytes after the last complete event.
    void reset() noexcept;

  private:
    std::string remainder_;
    std::size_t line_ = 0;     ///< Start of its last, incomplete line.
    std::size_t searched_ = 0; ///< No line ends between `line_` and here.
    bool is_too_large_ = false;
};

} // namespace ospreystage
