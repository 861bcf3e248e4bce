#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/prompt_part.hpp>
#include <ospreystage/http/message.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Contents of a caller's request, independent of header field names.
struct caller_request {
    std::string id; ///< Of one attempt of the caller; empty if absent.
    std::string host;
    std::string key; ///< API key of an organisation; empty if absent.
    std::optional<milliseconds> time_left; ///< How long the caller will wait.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_answer_tokens = 0;
    /// Parts of the prompt that other requests may have too.
    std::vector<prompt_part> prompt_parts;
    /// All parts of the prompt, as the caller sent them.
    std::string prompt;
};

/// Metadata that an entry adds to a request to a backend server.
struct attempt_metadata {
    milliseconds time_left{};
    std::string organisation;              ///< Empty if none.
    std::string server;                    ///< The only server that may run it.
    std::uint64_t weight_version = 0;      ///< Expected version; 0 for any.
    std::optional<std::uint32_t> priority; ///< 0 is highest, 9 lowest.
    std::optional<std::uint64_t> last_event_id; ///< Resumes a stream after it.
};

/// The answer names no limit.
struct no_limit_named {};
/// The server accepts this many requests a second from all entries together.
struct limit_named {
    double per_second = 0;
};
/// The server's limit does not follow from the answer: the value is unreadable,
/// or another server may have answered.
struct limit_unknown {};

/// What an answer states about its server's limit.
using limit_statement =
    std::variant<no_limit_named, limit_named, limit_unknown>;

/// What an answer states about whether its server takes requests.
struct availability_statement {
    bool is_leaving = false;
    /// Time for which the server wants no request from this entry.
    std::optional<milliseconds> pause;
    /// Another server at the same address may have answered.
    bool is_misdirected = false;
};

/// Maps the header fields of callers and backend servers to the types above.
struct caller_protocol {
    std::function<caller_request(const http_request&)> read_request;
    /// Returns the header fields of the request to the backend server.
    std::function<http_fields(const http_request&, const attempt_metadata&)>
        attempt_fields;
    /// Returns true if the response states that the request was not run.
    std::function<bool(const http_response&)> is_not_run;
    /// Returns what the response states about the server's limit.
    std::function<limit_statement(const http_response&)> limit_of;
    /// Returns what the response states about its server's availability.
    std::function<availability_statement(const http_response&)> availability_of;
    /// Returns the time that the response states work to take at its server,
    /// 1 being usual; nothing if it states none.
    std::function<std::optional<double>(const http_response&)> pace_of;
    /// Returns true if the response's status promises callers that the request
    /// has not run.
    std::function<bool(const http_response&)> is_promise;
    /// Header field with the request's id, which servers echo in responses.
    std::string id_field;
};

} // namespace ospreystage
