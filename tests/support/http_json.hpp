#pragma once

#include <ospreystage/core/clock.hpp>

#include <nlohmann/json.hpp>

#include <map>
#include <string>

namespace ospreystage::support {

/// Longest time that a call of the helpers below takes by default.
inline constexpr milliseconds default_http_timeout{5000};

/// Answer to an HTTP call.
struct http_answer {
    int status = 0;      ///< 0 if no answer came.
    std::string text;    ///< Body as it came.
    nlohmann::json body; ///< Parsed body, or discarded if it is not JSON.
    std::map<std::string, std::string> headers;
};

using http_headers = std::map<std::string, std::string>;

/// Calls GET `path` of the server at `url` (`http://host:port`).
[[nodiscard]] http_answer get_json(const std::string& url,
                                   const std::string& path,
                                   milliseconds timeout = default_http_timeout);

/// Calls GET `path` with headers.
[[nodiscard]] http_answer get_json(const std::string& url,
                                   const std::string& path,
                                   const http_headers& headers,
                                   milliseconds timeout = default_http_timeout);

/// Calls POST `path` with a JSON body.
http_answer post_json(const std::string& url, const std::string& path,
                      const nlohmann::json& body,
                      const http_headers& headers = {},
                      milliseconds timeout = default_http_timeout);

} // namespace ospreystage::support
