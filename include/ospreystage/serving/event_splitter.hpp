#pragma once

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

/// Returns true if the event consists of comments only, which servers send to
/// keep a connection open.
[[nodiscard]] bool is_comment(const stream_event& event);

/// Splits a byte stream into complete events.
class event_splitter {
  public:
    /// Appends bytes and returns the events that they complete.
    [[nodiscard]] std::vector<stream_event> feed(std::string_view data);

    /// Returns the bytes after the last complete event.
    [[nodiscard]] const std::string& remainder() const noexcept {
        return remainder_;
    }

    /// Returns true if those bytes are part of an event, or of a line: a stream
    /// that ends here was broken off. Blank lines and comments are not.
    [[nodiscard]] bool is_inside_event() const noexcept;

    /// Drops the bytes after the last complete event.
    void reset() noexcept { remainder_.clear(); }

  private:
    std::string remainder_;
};

} // namespace ospreystage
