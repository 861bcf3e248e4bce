#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/http/message.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace ospreystage {

/// What a caller's request says, whatever the header fields are called.
struct caller_request {
    std::string id; ///< One try of the caller; empty if it sent none.
    std::string host;
    std::string key; ///< Of an organisation; empty if it sent none.
    std::optional<milliseconds> time_left; ///< That the caller will wait.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_answer_tokens = 0;
};

/// What an entry adds to a request that it sends to a backend server.
struct attempt_metadata {
    milliseconds time_left{};
    std::string organisation;              ///< Empty: none.
    std::string server;                    ///< The only server that may run it.
    std::uint64_t weight_version = 0;      ///< 0: any.
    std::optional<std::uint32_t> priority; ///< 0 first, 9 last.
    std::optional<std::uint64_t> last_event_id; ///< Resumes a stream.
};

/// Translates between callers, the product and backend servers.
struct caller_protocol {
    std::function<caller_request(const http_request&)> read_request;
    /// Returns the header fields of the request to the backend server.
    std::function<http_fields(const http_request&, const attempt_metadata&)>
        attempt_fields;
    /// Returns true if the server says that it did not run the request.
    std::function<bool(const http_response&)> is_not_run;
    /// Field with the request's id, which servers repeat in their answers.
    std::string id_field;
};

} // namespace ospreystage
