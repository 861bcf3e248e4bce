#pragma once

#include <ospreystage/exchange_table.hpp>
#include <ospreystage/incoming_request.hpp>
#include <ospreystage/metrics.hpp>
#include <ospreystage/settings.hpp>

#include <functional>
#include <string>
#include <vector>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace ospreystage {

/// HTTP interface for callers.
///
/// - `GET /v1/entries`: addresses to use and how long they may be kept.
/// - `POST /v1/chat/completions`: requests to model engines; `model` names
///   the service, `X-Organisation` and `X-Class` the caller's terms.
/// - `/v1/services/{service}/…`: requests to plain services.
///
/// A refusal carries `{"error":{"outcome","reason","retry_after_ms"}}` and
/// `Retry-After`; within a stream it is an event, and no `[DONE]` follows.
class caller_api {
  public:
    /// What the interface needs from the rest of the entry; all callable from
    /// any thread.
    struct dependencies {
        std::function<std::vector<std::string>()> entries; ///< HTTP URLs.
        std::function<void(request_id, incoming_request)> begin;
        std::function<void(request_id)> cancel;
    };

    caller_api(const settings& configuration, exchange_table& exchanges,
               metrics& measures, dependencies needs);

    /// Adds the routes to a server.
    void add_routes(httplib::Server& server);

  private:
    void handle_entries(httplib::Response& response) const;
    void handle_chat(const httplib::Request& request,
                     httplib::Response& response);
    void handle_plain(const httplib::Request& request,
                      httplib::Response& response);
    void serve(incoming_request incoming, httplib::Response& response);
    void stream_answer(request_id id, const answer_begin_action& begin,
                       httplib::Response& response);
    void collect_answer(request_id id, const answer_begin_action& begin,
                        httplib::Response& response);

    const settings& configuration_;
    exchange_table& exchanges_;
    metrics& measures_;
    dependencies needs_;
};

} // namespace ospreystage
