#pragma once

#include <ospreystage/address.hpp>
#include <ospreystage/error.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Server;
struct Request;
struct Response;
} // namespace httplib

namespace ospreystage {

/// HTTP server of a process; each connection holds one of its threads.
class http_server {
  public:
    explicit http_server(std::uint32_t threads);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Returns the library's server, to add routes before `start`.
    [[nodiscard]] httplib::Server& routes() noexcept;

    /// Binds and serves on a thread of its own; an address in use is an error.
    [[nodiscard]] leaf::result<void> start(const address& local);

    /// Stops serving and waits for requests in progress.
    void stop();

  private:
    std::unique_ptr<httplib::Server> server_;
    std::thread thread_;
    int descriptor_ = -1; ///< Listening socket, owned by the library.
};

/// Answers with `body` as JSON.
void answer_json(httplib::Response& response, int status,
                 const nlohmann::json& body);

/// Returns true if the request carries `Authorization: Bearer token`.
[[nodiscard]] bool has_token(const httplib::Request& request,
                             const std::string& token);

/// Returns the token of `Authorization: Bearer …`, or nothing.
[[nodiscard]] std::string bearer_token(const httplib::Request& request);

} // namespace ospreystage
