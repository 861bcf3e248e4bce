#pragma once

#include <ospreystage/core/clock.hpp>

#include <httplib.h>

#include <cstddef>

namespace ospreystage {

/// Bounds of a blocking call.
struct call_bounds {
    std::size_t max_body_bytes = 0; ///< Largest body of the response.
    milliseconds max_duration{};    ///< From the call to the end of the body.
};

/// Sends a request and collects the body of its response.
///
/// Fails with `httplib::Error::Canceled` if the body exceeds the bounds, which
/// the client's own timeouts, each for a single read, do not ensure.
[[nodiscard]] httplib::Result call_bounded(httplib::Client& client,
                                           httplib::Request request,
                                           const call_bounds& bounds);

/// Returns a request without a body.
[[nodiscard]] httplib::Request make_get(const std::string& path);

/// Returns a request with a JSON body.
[[nodiscard]] httplib::Request make_json_post(const std::string& path,
                                              std::string body);

} // namespace ospreystage
