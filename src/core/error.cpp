#include <ospreystage/core/error.hpp>

#include <fmt/format.h>

namespace ospreystage {

const char* to_string(error_code code) noexcept {
    switch (code) {
    case error_code::invalid_argument:
        return "invalid_argument";
    case error_code::unauthorized:
        return "unauthorized";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::too_large:
        return "too_large";
    case error_code::malformed:
        return "malformed";
    case error_code::unavailable:
        return "unavailable";
    case error_code::unknown_effect:
        return "unknown_effect";
    case error_code::timeout:
        return "timeout";
    case error_code::overloaded:
        return "overloaded";
    }
    return "unnamed";
}

std::string to_string(const error& failure) {
    return fmt::format("{} ({}): {}: {}", failure.step, failure.peer,
                       to_string(failure.code), failure.detail);
}

leaf::error_id fail(error_code code, std::string step, std::string peer,
                    std::string detail) {
    return leaf::new_error(
        error{code, std::move(step), std::move(peer), std::move(detail)});
}

} // namespace ospreystage
