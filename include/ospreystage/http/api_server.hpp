#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/worker_pool.hpp>
#include <ospreystage/http/message.hpp>
#include <ospreystage/http/web_server.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <regex>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// Request that an `api_server` dispatches to a route.
struct api_request {
    http_request message;
    std::string path;                  ///< Request target up to `?`.
    std::string query;                 ///< Request target after `?`.
    std::vector<std::string> captures; ///< Groups of the route's pattern.
};

/// Returns the value of query parameter `name` without percent-decoding, or an
/// empty string if it is absent.
[[nodiscard]] std::string query_value(const api_request& request,
                                      std::string_view name);

/// Returns the value of the first header field `name`, or an empty string if
/// it is absent.
[[nodiscard]] std::string field_value(const api_request& request,
                                      std::string_view name);

/// Returns a response that carries `body` as `application/json`.
[[nodiscard]] http_response json_response(std::uint16_t status,
                                          const nlohmann::json& body);

/// Returns the token of `Authorization: Bearer <token>`, or an empty string if
/// the request has none.
[[nodiscard]] std::string bearer_token(const api_request& request);

/// Returns true if the bearer token of the request equals `token`. Compares in
/// constant time; an empty `token` matches no request.
[[nodiscard]] bool has_token(const api_request& request,
                             const std::string& token);

/// HTTP interface of a process: dispatches the requests of a `web_server` to
/// routes by method and path.
///
/// Handlers run on the kernel's thread. Handlers that block, on a disk or on
/// another server, run on a thread pool (`route_blocking`).
class api_server {
  public:
    /// Responds through `web`, at once or later.
    using handler = std::function<void(exchange_id, api_request)>;
    /// Returns the response.
    using sync_handler = std::function<http_response(const api_request&)>;

    // ---- Construction ------------------------------------------------------

    /// `blocking_threads` is the number of threads that run blocking routes.
    api_server(kernel& core, std::uint32_t blocking_threads);

    /// Adds a route whose handler responds through `web`, at once or later.
    void route(const std::string& method, const std::string& path,
               handler handle);

    /// Adds such a route for every path that matches a regular expression as a
    /// whole. Exact paths take precedence; then patterns in the order added.
    void route_pattern(const std::string& method, const std::string& pattern,
                       handler handle);

    /// Adds a route whose handler returns the response, on the kernel's thread.
    void route_sync(const std::string& method, const std::string& path,
                    sync_handler handle);

    /// Adds a route whose handler may block, for every path that matches a
    /// regular expression. The handler runs on the thread pool; an exception
    /// is logged and answered with status 500.
    void route_blocking(const std::string& method, const std::string& pattern,
                        sync_handler handle);

    /// Sets the handlers for responses in progress: `abandoned` is called when
    /// the caller disconnects before its response is complete, `drained` when
    /// the output has been sent after `web_server::write` returned false.
    void set_stream_handlers(std::function<void(exchange_id)> abandoned,
                             std::function<void(exchange_id)> drained);

    /// Sets the function that formats responses to requests that cannot be
    /// parsed or are not received in time. Default: JSON with `error`.
    void set_refusal_formatter(web_server::refusal_formatter describe);

    // ---- Service -----------------------------------------------------------

    /// Returns the server through which handlers respond; `begin`, `write` and
    /// `finish` send a streamed response.
    [[nodiscard]] web_server& web() noexcept { return web_; }

    [[nodiscard]] nlohmann::json dump() const { return web_.dump(); }

  private:
    struct pattern_route {
        std::string method;
        std::regex pattern;
        handler handle;
    };

    void dispatch(exchange_id exchange, http_request message);
    [[nodiscard]] handler run_on_pool(sync_handler handle);

    kernel& core_;
    /// Key: method and path.
    absl::flat_hash_map<std::string, handler> routes_;
    std::vector<pattern_route> patterns_;
    std::function<void(exchange_id)> abandoned_;
    std::function<void(exchange_id)> drained_;
    web_server::refusal_formatter describe_refusal_;
    web_server web_;
    worker_pool pool_;
};

} // namespace ospreystage
