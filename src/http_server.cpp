#include <ospreystage/http_server.hpp>

#include <httplib.h>
#include <openssl/crypto.h>

#include <cstring>
#include <ctime>

namespace ospreystage {

namespace {

constexpr std::time_t keep_alive_seconds = 5;
constexpr std::size_t keep_alive_requests = 1000;
constexpr int listen_backlog = 1024;
constexpr const char* bearer = "Bearer ";
constexpr const char* too_large = "the body is larger than allowed";
constexpr int payload_too_large = 413;

/// Gives the library's refusal of a large body, which is empty, the form of
/// the other errors of the path's interface.
void explain(const httplib::Request& request, httplib::Response& response) {
    const bool has_content =
        !response.body.empty() || response.content_provider_ != nullptr;
    if (response.status != payload_too_large || has_content)
        return;
    if (request.path.starts_with("/admin/")) {
        answer_json(response, payload_too_large, {{"error", too_large}});
        return;
    }
    const nlohmann::json refusal = {{"outcome", "not-run"},
                                    {"reason", "invalid_request"},
                                    {"detail", too_large}};
    response.set_header("X-Outcome", "not-run");
    answer_json(response, payload_too_large, {{"error", refusal}});
}

} // namespace

http_server::http_server(std::uint32_t threads)
    : server_(std::make_unique<httplib::Server>()) {
    server_->new_task_queue = [threads] {
        return new httplib::ThreadPool(threads);
    };
    server_->set_error_handler(explain);
    server_->set_tcp_nodelay(true);
    server_->set_keep_alive_timeout(keep_alive_seconds);
    server_->set_keep_alive_max_count(keep_alive_requests);
    // The library's default sets SO_REUSEPORT, which would let two processes
    // share an address in use.
    server_->set_socket_options([this](socket_t descriptor) {
        descriptor_ = descriptor;
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    });
}

http_server::~http_server() {
    stop();
}

httplib::Server& http_server::routes() noexcept {
    return *server_;
}

leaf::result<void> http_server::start(const address& local) {
    if (!server_->bind_to_port(local.host.c_str(), local.port))
        return fail(error_code::unavailable, "http.listen", to_string(local),
                    "address in use or not available");
    // The library's backlog of 5 drops connections in a burst.
    ::listen(descriptor_, listen_backlog);
    thread_ = std::thread([this] { server_->listen_after_bind(); });
    return {};
}

void http_server::stop() {
    if (!thread_.joinable())
        return;
    server_->stop();
    thread_.join();
}

void answer_json(httplib::Response& response, int status,
                 const nlohmann::json& body) {
    response.status = status;
    response.set_content(
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
        "application/json");
}

std::string bearer_token(const httplib::Request& request) {
    const std::string value = request.get_header_value("Authorization");
    if (!value.starts_with(bearer))
        return "";
    return value.substr(std::strlen(bearer));
}

bool has_token(const httplib::Request& request, const std::string& token) {
    const std::string given = bearer_token(request);
    return !token.empty() && given.size() == token.size() &&
           CRYPTO_memcmp(given.data(), token.data(), token.size()) == 0;
}

} // namespace ospreystage
