#include "common.hpp"

#include <ospreystage/core/address.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <openssl/evp.h>
#include <sys/socket.h>

#include <cstdio>
#include <stdexcept>
#include <thread>

namespace ospreystage::standin {

namespace {

constexpr std::size_t keep_alive_requests = 1'000'000;
constexpr time_t keep_alive_seconds = 30;
constexpr time_t read_timeout_seconds = 60;
constexpr std::size_t max_body_bytes = 16 * 1024 * 1024;

/// Runs every connection on a thread of its own, so that calls that hang
/// never keep the control paths from being served.
class thread_per_connection : public httplib::TaskQueue {
  public:
    void enqueue(std::function<void()> work) override {
        std::thread(std::move(work)).detach();
    }
    void shutdown() override {}
};

constexpr int listen_backlog = 1024;

/// Listening socket of this process.
int listener = -1;

void set_socket_options(socket_t descriptor) {
    listener = descriptor;
    const int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

} // namespace

void add_listen_option(CLI::App& command, std::string& listen) {
    command.add_option("--listen", listen, "HOST:PORT to serve on")->required();
}

void prepare(httplib::Server& server) {
    server.new_task_queue = [] { return new thread_per_connection; };
    server.set_socket_options(set_socket_options);
    server.set_tcp_nodelay(true);
    server.set_keep_alive_max_count(keep_alive_requests);
    server.set_keep_alive_timeout(keep_alive_seconds);
    server.set_read_timeout(read_timeout_seconds);
    server.set_payload_max_length(max_body_bytes);
}

int serve(httplib::Server& server, const std::string& listen) {
    const auto endpoint = parse_address(listen);
    if (!endpoint || !server.bind_to_port(endpoint->host, endpoint->port)) {
        std::fprintf(stderr, "cannot listen on %s\n", listen.c_str());
        return 1;
    }
    // The library's backlog of 5 drops connections in a burst.
    if (::listen(listener, listen_backlog) != 0)
        return 1;
    std::puts("ready");
    std::fflush(stdout);
    return server.listen_after_bind() ? 0 : 1;
}

void reply(httplib::Response& answer, const json& body, int status) {
    answer.status = status;
    answer.set_content(body.dump(), "application/json");
}

void on_post(httplib::Server& server, const std::string& path,
             json_handler handler) {
    server.Post(path,
                [handler = std::move(handler)](const httplib::Request& request,
                                               httplib::Response& answer) {
                    try {
                        handler(json::parse(request.body), answer);
                    } catch (const json::exception& problem) {
                        reply(answer, {{"error", problem.what()}}, 400);
                    } catch (const std::invalid_argument& problem) {
                        reply(answer, {{"error", problem.what()}}, 400);
                    }
                });
}

void on_get(httplib::Server& server, const std::string& path,
            std::function<json()> handler) {
    server.Get(path, [handler = std::move(handler)](const httplib::Request&,
                                                    httplib::Response& answer) {
        reply(answer, handler());
    });
}

std::int64_t integer_or(const json& object, const char* key,
                        std::int64_t fallback) {
    const auto found = object.find(key);
    if (found == object.end())
        return fallback;
    if (!found->is_string())
        return found->get<std::int64_t>();
    const auto text = found->get<std::string>();
    return text.empty() ? fallback : std::stoll(text);
}

std::string to_base64(const std::string& bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string from_base64(const std::string& text) {
    if (text.empty())
        return {};
    std::string bytes(text.size(), '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                        reinterpret_cast<const unsigned char*>(text.data()),
                        static_cast<int>(text.size()));
    if (length < 0)
        throw std::invalid_argument("malformed base64");
    auto size = static_cast<std::size_t>(length);
    for (std::size_t back = 1; back <= 2 && text[text.size() - back] == '=';
         ++back)
        --size;
    bytes.resize(size);
    return bytes;
}

} // namespace ospreystage::standin
