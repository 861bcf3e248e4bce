#include <ospreystage/impl/bounded_json.hpp>

namespace ospreystage::impl {

namespace {

/// Returns true if the nesting of `text` stays within `max_json_depth`, as far
/// as it is JSON.
bool is_depth_bounded(std::string_view text) {
    std::size_t depth = 0;
    bool is_in_string = false;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const char byte = text[at];
        if (byte == '"')
            is_in_string = !is_in_string;
        else if (is_in_string && byte == '\\')
            ++at; // The next byte does not end the string.
        else if (!is_in_string && (byte == '[' || byte == '{'))
            ++depth;
        else if (!is_in_string && (byte == ']' || byte == '}') && depth > 0)
            --depth;
        if (depth > max_json_depth)
            return false;
    }
    return true;
}

} // namespace

nlohmann::json parse_json(std::string_view text) {
    if (!is_depth_bounded(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace ospreystage::impl
