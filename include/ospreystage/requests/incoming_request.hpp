#pragma once

#include <cstdint>
#include <string>

namespace ospreystage {

/// Number of a request, unique in one run of an entry.
using request_id = std::uint64_t;

/// A caller's request as the entry's HTTP side has read it.
struct incoming_request {
    std::string organisation;
    std::string service;
    std::string request_class; ///< Class of the document, or empty.
    std::string method;
    std::string path;
    std::string content_type;
    std::string body;
    bool stream = false; ///< Parts go to the caller as they arrive.
    bool non_idempotent =
        false; ///< Besides the routes that the document names.
    std::string idempotency_key; ///< Required if the request is non-idempotent.
    std::uint64_t prefix_hash = 0; ///< Hash of the prompt prefix; 0: none.
};

} // namespace ospreystage
