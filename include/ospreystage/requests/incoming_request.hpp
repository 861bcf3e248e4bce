#pragma once

#include <cstdint>
#include <string>

namespace ospreystage {

/// Identifies a request within one run of an entry.
using request_id = std::uint64_t;

/// Request of a caller as parsed from HTTP.
struct incoming_request {
    std::string organisation;
    std::string service;
    std::string request_class; ///< Class in the rollout document, or empty.
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    bool stream = false; ///< Parts are forwarded as they arrive.
    bool non_idempotent =
        false; ///< In addition to the routes that the document names.
    std::string idempotency_key; ///< Required if the request is non-idempotent.
    std::uint64_t prefix_hash = 0; ///< Hash of the prompt prefix; 0: none.
};

} // namespace ospreystage
