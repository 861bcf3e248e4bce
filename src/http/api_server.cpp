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

/// Carries out a blocking route; one that fails must not end the process.
http_response answer(const api_server::plain_handler& body,
                     const api_request& request) {
    try {
        return body(request);
    } catch (const std::exception& problem) {
        log_event(log_level::error, "route_failed",
                  {{"path", request.path}, {"error", problem.what()}});
        return json_response(internal_error, {{"error", "internal error"}});
    }
}

} // namespace

std::string query_value(const api_request& request, std::string_view name) {
    for (const std::string& item :
         std::vector<std::string>(absl::StrSplit(request.query, '&'))) {
        const std::size_t equals = item.find('=');
        if (equals != std::string::npos && item.substr(0, equals) == name)
            return item.substr(equals + 1);
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
    const std::string given = bearer_token(request);
    return !token.empty() && given.size() == token.size() &&
           CRYPTO_memcmp(given.data(), token.data(), token.size()) == 0;
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
                       handler body) {
    routes_[route_key(method, path)] = std::move(body);
}

void api_server::route_pattern(const std::string& method,
                               const std::string& pattern, handler body) {
    patterns_.push_back({method, std::regex(pattern), std::move(body)});
}

void api_server::route_plain(const std::string& method, const std::string& path,
                             plain_handler body) {
    route(method, path,
          [this, body = std::move(body)](exchange_id exchange,
                                         const api_request& request) {
              web_.respond(exchange, body(request));
          });
}

void api_server::route_blocking(const std::string& method,
                                const std::string& pattern,
                                plain_handler body) {
    route_pattern(method, pattern, on_pool(std::move(body)));
}

void api_server::on_caller(std::function<void(exchange_id)> abandoned,
                           std::function<void(exchange_id)> drained) {
    abandoned_ = std::move(abandoned);
    drained_ = std::move(drained);
}

void api_server::on_refused(web_server::refusal_text describe) {
    describe_refusal_ = std::move(describe);
}

api_server::handler api_server::on_pool(plain_handler body) {
    return [this, body = std::move(body)](exchange_id exchange,
                                          api_request request) {
        pool_.run([this, body, exchange, request = std::move(request)] {
            core_.post(service_name,
                       [this, exchange, response = answer(body, request)] {
                           web_.respond(exchange, response);
                       });
        });
    };
}

void api_server::dispatch(exchange_id exchange, http_request message) {
    api_request request;
    const std::size_t mark = message.target.find('?');
    request.path = message.target.substr(0, mark);
    if (mark != std::string::npos)
        request.query = message.target.substr(mark + 1);
    request.message = std::move(message);
    const auto found =
        routes_.find(route_key(request.message.method, request.path));
    if (found != routes_.end()) {
        found->second(exchange, std::move(request));
        return;
    }
    for (const pattern_route& each : patterns_) {
        std::smatch match;
        if (each.method != request.message.method ||
            !std::regex_match(request.path, match, each.pattern))
            continue;
        for (std::size_t group = 1; group < match.size(); ++group)
            request.captures.push_back(match[group].str());
        each.body(exchange, std::move(request));
        return;
    }
    web_.respond(exchange,
                 json_response(not_found, {{"error", "no such route"}}));
}

} // namespace ospreystage
