#include <ospreystage/serving/event_splitter.hpp>

#include <absl/strings/numbers.h>
#include <absl/strings/string_view.h>

#include <algorithm>
#include <array>
#include <utility>

namespace ospreystage {

namespace {

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

/// Returns true for a line `name` or `name: value` with the name of a field
/// that the format of event streams defines.
bool is_event_field(std::string_view line) {
    constexpr std::array<std::string_view, 4> names{"data", "event", "id",
                                                    "retry"};
    const std::string_view name = line.substr(0, line.find(':'));
    return std::ranges::find(names, name) != names.end();
}

} // namespace

bool is_foreign(const stream_event& event) {
    constexpr std::string_view status_line = "HTTP/1.";
    bool has_field = false;
    bool has_status_line = false;
    std::string_view rest = event.text;
    while (!rest.empty()) {
        const std::size_t newline = std::min(rest.find('\n'), rest.size() - 1);
        std::string_view line = rest.substr(0, newline);
        rest.remove_prefix(newline + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (line.empty() || line.front() == ':')
            continue;
        const bool is_field = is_event_field(line);
        // A head may begin within the last line of an unfinished event. An
        // event may also quote one, but no header fields follow then.
        if (line.starts_with(status_line) || (has_status_line && !is_field))
            return true;
        has_field = has_field || is_field;
        has_status_line =
            has_status_line || line.find(status_line) != std::string_view::npos;
    }
    return !has_field && !is_comment(event);
}

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
    while (!is_too_large_) {
        const std::size_t newline = remainder_.find('\n', searched_);
        if (newline == std::string::npos) {
            searched_ = remainder_.size();
            break;
        }
        const bool is_blank = newline == line_ || (newline == line_ + 1 &&
                                                   remainder_[line_] == '\r');
        const bool ends_event = is_blank && line_ > start;
        line_ = searched_ = newline + 1;
        if (!ends_event)
            continue;
        is_too_large_ = line_ - start > max_event_bytes;
        if (is_too_large_)
            break;
        stream_event event{remainder_.substr(start, line_ - start),
                           std::nullopt};
        event.id = id_of(event.text);
        events.push_back(std::move(event));
        start = line_;
    }
    remainder_.erase(0, start);
    line_ -= start;
    searched_ -= start;
    is_too_large_ = is_too_large_ || remainder_.size() > max_event_bytes;
    return events;
}

void event_splitter::reset() noexcept {
    remainder_.clear();
    line_ = searched_ = 0;
    is_too_large_ = false;
}

} // namespace ospreystage
