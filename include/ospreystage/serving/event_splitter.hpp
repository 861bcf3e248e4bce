#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// One event of a `text/event-stream`, with the blank line that ends it.
struct stream_event {
    std::string text;
    std::optional<std::uint64_t> id; ///< From its `id:` line.
    friend bool operator==(const stream_event&, const stream_event&) = default;
};

/// Cuts a stream of bytes into whole events.
class event_splitter {
  public:
    /// Takes bytes and returns the events that they complete.
    [[nodiscard]] std::vector<stream_event> feed(std::string_view data);

    /// Bytes after the last whole event.
    [[nodiscard]] const std::string& remainder() const noexcept {
        return remainder_;
    }

    /// Forgets the bytes after the last whole event.
    void reset() noexcept { remainder_.clear(); }

  private:
    std::string remainder_;
};

} // namespace ospreystage
