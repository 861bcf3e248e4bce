#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/requests/incoming_request.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Outcome of a request without a complete answer.
enum class outcome : std::uint8_t {
    not_run, ///< The request did not run and never will.
    unknown, ///< The request may or may not have run.
};

/// Returns the name that callers receive: `not-run` or `unknown`.
[[nodiscard]] constexpr const char* to_string(outcome value) noexcept {
    return value == outcome::not_run ? "not-run" : "unknown";
}

/// Sends `body` on the outgoing link to `process`.
struct send_action {
    std::string process; ///< Name of an agent or a witness.
    message body;
};

/// Opens the link to `agent` if there is none.
///
/// `request_service` reports the result by `broker::on_link_up` or
/// `broker::on_link_down`.
struct connect_action {
    std::string agent;
};

/// Begins the answer to the caller.
struct answer_begin_action {
    request_id request = 0;
    std::uint16_t status = 0; ///< HTTP status of the back end.
    std::string content_type;
    digest version; ///< Answering version, empty for plain services.
};

/// Forwards the next bytes of the answer to the caller.
struct answer_part_action {
    request_id request = 0;
    std::string data;
};

/// Completes the answer: all of it has been forwarded to the caller.
struct answer_end_action {
    request_id request = 0;
};

/// Ends a request without a complete answer.
///
/// If the answer has begun, the stream to the caller is aborted so that the
/// caller cannot mistake it for a complete one.
struct refuse_action {
    request_id request = 0;
    outcome result = outcome::not_run;
    std::string reason; ///< Error code, e.g. `overloaded` or `key_reused`.
    milliseconds retry_after{};
};

/// Action that `request_service` performs for the broker.
using broker_action =
    std::variant<send_action, connect_action, answer_begin_action,
                 answer_part_action, answer_end_action, refuse_action>;

/// Actions in the order in which they must be performed.
using broker_actions = std::vector<broker_action>;

} // namespace ospreystage
