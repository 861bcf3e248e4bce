#include <ospreystage/http/blocking_client.hpp>
#include <ospreystage/network/resolve.hpp>

#include <memory>
#include <utility>

namespace ospreystage {

blocking_client::blocking_client(const std::string& url)
    : client_(core_), server_(resolve_url(url)) {}

blocking_client::answer blocking_client::fetch(const http_request& request,
                                               const call_options& options) {
    // Shared, since the call outlives this one if `stop` ends the wait.
    const auto result = std::make_shared<answer>();
    const auto is_pending = std::make_shared<bool>(true);
    client_.fetch(server_, request, options,
                  [result, is_pending](call_end end, http_response response) {
                      *result = {end, std::move(response)};
                      *is_pending = false;
                  });
    core_.run_while([&] { return *is_pending; });
    return std::move(*result);
}

blocking_client::answer blocking_client::follow(const http_request& request,
                                                const call_options& options,
                                                body_handler on_body) {
    const auto result = std::make_shared<answer>();
    const auto is_pending = std::make_shared<bool>(true);
    call_handlers handlers;
    handlers.head = [result](const http_response& head) {
        result->response = head;
    };
    handlers.body = [is_pending,
                     on_body = std::move(on_body)](std::string_view data) {
        *is_pending = *is_pending && on_body(data);
    };
    handlers.ended = [result, is_pending](call_end end) {
        result->end = end;
        *is_pending = false;
    };
    const call_id call =
        client_.start(server_, request, options, std::move(handlers));
    core_.run_while([&] { return *is_pending; });
    client_.cancel(call);
    return std::move(*result);
}

http_request make_json_post(std::string target, std::string body) {
    http_request request;
    request.method = "POST";
    request.target = std::move(target);
    request.fields.push_back({"Content-Type", "application/json"});
    request.body = std::move(body);
    return request;
}

} // namespace ospreystage
