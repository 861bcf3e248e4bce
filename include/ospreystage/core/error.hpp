#pragma once

#include <boost/leaf.hpp>

#include <optional>
#include <string>
#include <type_traits>
#include <utility>

namespace ospreystage {

namespace leaf = boost::leaf;

/// Category of a failure; determines whether the caller may retry.
enum class error_code {
    invalid_argument, ///< The input is invalid; a retry fails as well.
    unauthorized,     ///< The token is missing or wrong.
    not_found,        ///< The named object does not exist.
    conflict,         ///< Another writer won the compare-and-swap.
    too_large,        ///< A length limit was exceeded.
    malformed,        ///< A frame or document could not be decoded.
    unavailable,      ///< The peer is unreachable; the call had no effect.
    unknown_effect,   ///< The call may or may not have taken effect.
    timeout,          ///< The deadline expired before an answer.
    overloaded,       ///< A queue is full or a budget is used up.
};

/// Returns the code's name as it appears in logs and JSON.
[[nodiscard]] const char* to_string(error_code code) noexcept;

/// Error value carried by every `leaf::result` of the project.
struct error {
    error_code code = error_code::invalid_argument;
    std::string step;   ///< Operation that failed, e.g. `kv.txn`.
    std::string peer;   ///< Process or URL that was called, or empty.
    std::string detail; ///< Description of the failure, in one line.

    friend bool operator==(const error&, const error&) = default;
};

/// Formats the error as one line: `step (peer): code: detail`.
[[nodiscard]] std::string to_string(const error& failure);

/// Creates a failed result that carries an `error` with the given fields.
[[nodiscard]] leaf::error_id fail(error_code code, std::string step,
                                  std::string peer, std::string detail);

/// Runs `body`; returns its value, or nothing and sets `failure`.
///
/// Converts results for callers that do not return `leaf::result`, such as
/// callbacks. A failure that carries no `error` is reported with the step
/// `unspecified`.
///
///     error failure;
///     auto document = value_or_error([&] { return parse(text); }, failure);
///     if (!document) log(failure);
template <typename Body>
[[nodiscard]] auto value_or_error(Body&& body, error& failure) {
    using result_type = decltype(body());
    using value_type =
        std::remove_reference_t<decltype(std::declval<result_type>().value())>;
    using optional_type = std::optional<value_type>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<optional_type> {
            auto result = body();
            if (!result)
                return result.error();
            return optional_type(std::move(result.value()));
        },
        [&](const error& seen) -> optional_type {
            failure = seen;
            return std::nullopt;
        },
        [&]() -> optional_type {
            failure = {error_code::invalid_argument, "unspecified", "", ""};
            return std::nullopt;
        });
}

} // namespace ospreystage
