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

/// Request to a route of an `api_server`.
struct api_request {
    http_request message;
    std::string path;                  ///< The target up to its `?`.
    std::string query;                 ///< The target after its `?`.
    std::vector<std::string> captures; ///< Groups of the route's pattern.
};

/// Returns the value of `name` in the query, as it was sent, or nothing.
[[nodiscard]] std::string query_value(const api_request& request,
                                      std::string_view name);

/// Returns the value of a field, or nothing.
[[nodiscard]] std::string field_value(const api_request& request,
                                      std::string_view name);

/// Makes an answer whose body is `body` as JSON.
[[nodiscard]] http_response json_response(std::uint16_t status,
                                          const nlohmann::json& body);

/// Returns the token of `Authorization: Bearer …`, or nothing.
[[nodiscard]] std::string bearer_token(const api_request& request);

/// Returns true if the request carries `Authorization: Bearer token`.
[[nodiscard]] bool has_token(const api_request& request,
                             const std::string& token);

/// HTTP interface of a process: routes over a `web_server`.
///
/// Routes run on the kernel's thread. A route whose work blocks, on a disk or
/// on another server, runs on one of a few threads of its own.
class api_server {
  public:
    using handler = std::function<void(exchange_id, api_request)>;
    using sync_handler = std::function<http_response(const api_request&)>;

    // ---- Construction ------------------------------------------------------

    /// `blocking_threads` carry out the blocking routes.
    api_server(kernel& core, std::uint32_t blocking_threads);

    /// Adds a route whose answer is sent through `web`, at any later time.
    void route(const std::string& method, const std::string& path,
               handler handle);

    /// Adds such a route for all paths that match a regular expression.
    void route_pattern(const std::string& method, const std::string& pattern,
                       handler handle);

    /// Adds a route that answers at once, on the kernel's thread.
    void route_sync(const std::string& method, const std::string& path,
                    sync_handler handle);

    /// Adds a route that blocks, for all paths that match a pattern.
    void route_blocking(const std::string& method, const std::string& pattern,
                        sync_handler handle);

    /// Calls `abandoned` when a caller goes away before its answer is whole,
    /// and `drained` when it has read what `web_server::write` held back.
    void set_stream_handlers(std::function<void(exchange_id)> abandoned,
                             std::function<void(exchange_id)> drained);

    /// Sets how requests that cannot be read are answered.
    void set_refusal_formatter(web_server::refusal_formatter describe);

    // ---- Service -----------------------------------------------------------

    /// Answers to requests; `begin`, `write` and `finish` for streams.
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
    absl::flat_hash_map<std::string, handler> routes_; ///< By method and path.
    std::vector<pattern_route> patterns_;
    std::function<void(exchange_id)> abandoned_;
    std::function<void(exchange_id)> drained_;
    web_server::refusal_formatter describe_refusal_;
    web_server web_;
    worker_pool pool_;
};

} // namespace ospreystage
