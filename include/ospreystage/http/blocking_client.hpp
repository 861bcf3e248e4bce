#pragma once

#include <ospreystage/http/web_client.hpp>

#include <functional>
#include <string>
#include <string_view>

namespace ospreystage {

/// Blocking HTTP client of one server, with the bounds and the judgement of a
/// `web_client`.
///
/// One call at a time; `stop` may be called from any thread.
class blocking_client {
  public:
    /// How a call ended, and the response as far as it was received.
    struct answer {
        call_end end = call_end::no_answer;
        http_response response;
    };
    /// Receives a part of a body; returns false to cancel the call.
    using body_handler = std::function<bool(std::string_view)>;

    /// `url` has the form `http://host[:port]`; the host name is looked up.
    explicit blocking_client(const std::string& url);

    /// Sends a request and collects its response.
    answer fetch(const http_request& request, const call_options& options);

    /// Sends a request and passes the body of its response on as it arrives.
    answer follow(const http_request& request, const call_options& options,
                  body_handler on_body);

    /// Ends the call in progress and all later ones as `no_answer`.
    void stop() noexcept { core_.stop(); }

  private:
    kernel core_;
    web_client client_;
    address server_;
};

/// Returns a request with a JSON body.
[[nodiscard]] http_request make_json_post(std::string target, std::string body);

} // namespace ospreystage
