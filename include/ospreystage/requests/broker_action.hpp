#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/requests/incoming_request.hpp>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// How a request ended that got no whole answer.
enum class outcome : std::uint8_t {
    not_run, ///< It did not run and never will.
    unknown, ///< It may or may not have run.
};

/// Returns the outcome's name as callers see it: `not-run` or `unknown`.
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
/// The shell answers with `broker::on_link_up` or `broker::on_link_down`.
struct connect_action {
    std::string agent;
};

/// Begins the answer to the caller.
struct answer_begin_action {
    request_id request = 0;
    std::uint16_t status = 0; ///< HTTP status of the back end.
    std::string content_type;
    digest version; ///< Version that answers, empty for plain services.
};

/// Passes the next bytes of the answer to the caller.
struct answer_part_action {
    request_id request = 0;
    std::string data;
};

/// Completes the answer: the caller has got all of it.
struct answer_end_action {
    request_id request = 0;
};

/// Ends a request without a whole answer.
///
/// If the answer had begun, the stream to the caller is cut off so that it
/// can't be taken for a complete one.
struct refuse_action {
    request_id request = 0;
    outcome result = outcome::not_run;
    std::string reason; ///< Short code, e.g. `overloaded` or `key_reused`.
    milliseconds retry_after{};
};

/// Effect that the broker asks its shell for.
using broker_action =
    std::variant<send_action, connect_action, answer_begin_action,
                 answer_part_action, answer_end_action, refuse_action>;

/// Effects in the order in which they must happen.
using broker_actions = std::vector<broker_action>;

} // namespace ospreystage
