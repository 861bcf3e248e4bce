#include <ospreystage/serving/event_splitter.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Returns the position after the event that starts at `from`, or `npos`
/// if no blank line ends it.
std::size_t end_of_event(const std::string& text, std::size_t from) {
    std::size_t line = from;
    while (true) {
        const std::size_t newline = text.find('\n', line);
        if (newline == std::string::npos)
            return std::string::npos;
        const bool is_blank =
            newline == line || (newline == line + 1 && text[line] == '\r');
        if (is_blank && line > from)
            return newline + 1;
        line = newline + 1;
    }
}

std::optional<std::uint64_t> id_of(std::string_view event) {
    std::size_t line = 0;
    while (line < event.size()) {
        std::size_t newline = event.find('\n', line);
        newline = std::min(newline, event.size());
        std::string_view text = event.substr(line, newline - line);
        line = newline + 1;
        if (!text.starts_with("id:"))
            continue;
        text.remove_prefix(std::string_view("id:").size());
        std::uint64_t id = 0;
        if (absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &id))
            return id;
    }
    return std::nullopt;
}

} // namespace

bool is_comment(const stream_event& event) {
    std::size_t line = 0;
    while (line < event.text.size()) {
        const char first = event.text[line];
        if (first != ':' && first != '\r' && first != '\n')
            return false;
        const std::size_t newline = event.text.find('\n', line);
        if (newline == std::string::npos)
            break;
        line = newline + 1;
    }
    return true;
}

bool event_splitter::is_inside_event() const noexcept {
    std::string_view rest = remainder_;
    while (!rest.empty()) {
        const std::size_t newline = rest.find('\n');
        const bool is_whole_line = newline != std::string_view::npos;
        std::string_view line = rest.substr(0, newline);
        rest.remove_prefix(is_whole_line ? newline + 1 : rest.size());
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const bool is_ignored = line.empty() || line.front() == ':';
        if (!is_ignored || (!is_whole_line && !line.empty()))
            return true;
    }
    return false;
}

std::vector<stream_event> event_splitter::feed(std::string_view data) {
    remainder_.append(data);
    std::vector<stream_event> events;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = end_of_event(remainder_, start);
        if (end == std::string::npos)
            break;
        stream_event event{remainder_.substr(start, end - start), std::nullopt};
        event.id = id_of(event.text);
        events.push_back(std::move(event));
        start = end;
    }
    remainder_.erase(0, start);
    return events;
}

} // namespace ospreystage
