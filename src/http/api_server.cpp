#include <ospreystage/core/log.hpp>
#include <ospreystage/http/api_server.hpp>

#include <absl/strings/str_split.h>
#include <openssl/crypto.h>

#include <exception>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "http";
constexpr std::string_view bearer = "Bearer ";
constexpr std::uint16_t not_found = 404;
constexpr std::uint16_t internal_error = 500;

std::string route_key(const std::string& method, const std::string& path) {
    return method + " " + path;
}

/// Runs the handler of a blocking route. Responds with status 500 to an
/// exception, which would otherwise end the process.
http_response run_blocking_route(const api_server::sync_handler& handle,
                                 const api_request& request) {
    try {
        return handle(request);
    } catch (const std::exception& problem) {
        log_event(log_level::error, "route_failed",
                  {{"path", request.path}, {"error", problem.what()}});
        return json_response(internal_error, {{"error", "internal error"}});
    }
}

} // namespace

std::string query_value(const api_request& request, std::string_view name) {
    for (const std::string& parameter :
         std::vector<std::string>(absl::StrSplit(request.query, '&'))) {
        const std::size_t separator = parameter.find('=');
        if (separator != std::string::npos &&
            parameter.substr(0, separator) == name)
            return parameter.substr(separator + 1);
    }
    return "";
}

std::string field_value(const api_request& request, std::string_view name) {
    return field_value(request.message.fields, name);
}

http_response json_response(std::uint16_t status, const nlohmann::json& body) {
    http_response response = text_response(
        "application/json",
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    response.status = status;
    return response;
}

std::string bearer_token(const api_request& request) {
    const std::string value = field_value(request, "Authorization");
    if (!value.starts_with(bearer))
        return "";
    return value.substr(bearer.size());
}

bool has_token(const api_request& request, const std::string& token) {
    const std::string received = bearer_token(request);
    return !token.empty() && received.size() == token.size() &&
           CRYPTO_memcmp(received.data(), token.data(), token.size()) == 0;
}

// ---- Routes ----------------------------------------------------------------

api_server::api_server(kernel& core, std::uint32_t blocking_threads)
    : core_(core),
      web_(core, {[this](exchange_id exchange, http_request message) {
                      dispatch(exchange, std::move(message));
                  },
                  [this](exchange_id exchange) {
                      if (abandoned_)
                          abandoned_(exchange);
                  },
                  [this](exchange_id exchange) {
                      if (drained_)
                          drained_(exchange);
                  },
                  [this](std::uint16_t status, const std::string& reason,
                         const std::string& target) {
                      return describe_refusal_
                                 ? describe_refusal_(status, reason, target)
                                 : json_response(status, {{"error", reason}});
                  }}),
      pool_(blocking_threads) {}

void api_server::route(const std::string& method, const std::string& path,
                       handler handle) {
    routes_[route_key(method, path)] = std::move(handle);
}

void api_server::route_pattern(const std::string& method,
                               const std::string& pattern, handler handle) {
    patterns_.push_back({method, std::regex(pattern), std::move(handle)});
}

void api_server::route_sync(const std::string& method, const std::string& path,
                            sync_handler handle) {
    route(method, path,
          [this, handle = std::move(handle)](exchange_id exchange,
                                             const api_request& request) {
              web_.respond(exchange, handle(request));
          });
}

void api_server::route_blocking(const std::string& method,
                                const std::string& pattern,
                                sync_handler handle) {
    route_pattern(method, pattern, run_on_pool(std::move(handle)));
}

void api_server::set_stream_handlers(std::function<void(exchange_id)> abandoned,
                                     std::function<void(exchange_id)> drained) {
    abandoned_ = std::move(abandoned);
    drained_ = std::move(drained);
}

void api_server::set_refusal_formatter(web_server::refusal_formatter describe) {
    describe_refusal_ = std::move(describe);
}

api_server::handler api_server::run_on_pool(sync_handler handle) {
    return [this, handle = std::move(handle)](exchange_id exchange,
                                              api_request request) {
        pool_.run([this, handle, exchange, request = std::move(request)] {
            core_.post(service_name,
                       [this, exchange,
                        response = run_blocking_route(handle, request)] {
                           web_.respond(exchange, response);
                       });
        });
    };
}

void api_server::dispatch(exchange_id exchange, http_request message) {
    api_request request;
    const std::size_t query_start = message.target.find('?');
    request.path = message.target.substr(0, query_start);
    if (query_start != std::string::npos)
        request.query = message.target.substr(query_start + 1);
    request.message = std::move(message);
    const auto exact =
        routes_.find(route_key(request.message.method, request.path));
    if (exact != routes_.end()) {
        exact->second(exchange, std::move(request));
        return;
    }
    for (const pattern_route& candidate : patterns_) {
        std::smatch match;
        if (candidate.method != request.message.method ||
            !std::regex_match(request.path, match, candidate.pattern))
            continue;
        for (std::size_t group = 1; group < match.size(); ++group)
            request.captures.push_back(match[group].str());
        candidate.handle(exchange, std::move(request));
        return;
    }
    web_.respond(exchange,
                 json_response(not_found, {{"error", "no such route"}}));
}

} // namespace ospreystage
