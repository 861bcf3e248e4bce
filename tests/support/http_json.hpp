#pragma once

#include <ospreystage/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace ospreystage::support {

/// Default connection and read timeout of the functions below.
inline constexpr milliseconds default_http_timeout{5000};

/// Response to an HTTP request.
struct http_answer {
    int status = 0;      ///< 0 if no response was received.
    std::string text;    ///< Body as received.
    nlohmann::json body; ///< Parsed body; `is_discarded()` if not JSON.
    std::map<std::string, std::string> headers;
};

using http_headers = std::map<std::string, std::string>;

/// Sends GET `path` to the server at `url` (`http://host:port`).
[[nodiscard]] http_answer get_json(const std::string& url,
                                   const std::string& path,
                                   milliseconds timeout = default_http_timeout);

/// Sends GET `path` with headers.
[[nodiscard]] http_answer get_json(const std::string& url,
                                   const std::string& path,
                                   const http_headers& headers,
                                   milliseconds timeout = default_http_timeout);

/// Sends POST `path` with a JSON body.
http_answer post_json(const std::string& url, const std::string& path,
                      const nlohmann::json& body,
                      const http_headers& headers = {},
                      milliseconds timeout = default_http_timeout);

} // namespace ospreystage::support
