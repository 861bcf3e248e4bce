#include <ospreystage/weights/manifest.hpp>
#include <ospreystage/weights/origin_client.hpp>

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr milliseconds connect_timeout{2000};
/// Maximum time without data within a response.
constexpr milliseconds read_timeout{5000};
constexpr milliseconds call_timeout{45'000};
constexpr int http_ok = 200;
constexpr int http_not_found = 404;

error_code code_of(httplib::Error problem) {
    return problem == httplib::Error::Read ||
                   problem == httplib::Error::ConnectionTimeout
               ? error_code::timeout
               : error_code::unavailable;
}

origin_layout default_layout(const std::string& prefix) {
    return {[prefix](const digest& version) {
                return fmt::format("{}/versions/{}/manifest", prefix, version);
            },
            [prefix](const digest& version, std::uint32_t index) {
                return fmt::format("{}/versions/{}/chunks/{}", prefix, version,
                                   index);
            }};
}

} // namespace

origin_client::origin_client(const std::string& url) {
    const std::size_t scheme = url.find("://");
    const std::size_t host = scheme == std::string::npos ? 0 : scheme + 3;
    const std::size_t path = std::min(url.find('/', host), url.size());
    std::string prefix = url.substr(path);
    while (prefix.ends_with('/'))
        prefix.pop_back();
    layout_ = default_layout(prefix);
    set_url(url.substr(0, path));
}

origin_client::origin_client(origin_layout layout)
    : layout_(std::move(layout)) {}

origin_client::~origin_client() = default;

void origin_client::set_url(const std::string& url) {
    const absl::MutexLock lock(&mutex_);
    if (host_ == url)
        return;
    host_ = url;
    idle_.clear();
}

leaf::result<std::string> origin_client::manifest(const digest& version) {
    return read(layout_.manifest(version), max_manifest_bytes);
}

leaf::result<std::string> origin_client::chunk(const digest& version,
                                               std::uint32_t index) {
    return read(layout_.chunk(version, index), max_chunk_bytes);
}

void origin_client::stop() {
    const absl::MutexLock lock(&mutex_);
    stopped_ = true;
    for (const auto& client : busy_)
        client->stop();
}

leaf::result<std::string> origin_client::read(const std::string& path,
                                              std::size_t limit_bytes) {
    const auto [client, host] = acquire();
    if (client == nullptr)
        return fail(error_code::unavailable, "origin.read", host,
                    "the client was stopped or has no address");
    const instant deadline = steady::now() + call_timeout;
    std::string body;
    bool is_too_large = false;
    const httplib::Result result =
        client->Get(path, [&](const char* data, std::size_t size) {
            is_too_large = body.size() + size > limit_bytes;
            if (is_too_large || steady::now() > deadline)
                return false;
            body.append(data, size);
            return true;
        });
    release(client, host, static_cast<bool>(result));
    if (is_too_large)
        return fail(error_code::too_large, "origin.read", host, path);
    if (!result)
        return fail(code_of(result.error()), "origin.read", host,
                    path + ": " + httplib::to_string(result.error()));
    if (result->status == http_not_found)
        return fail(error_code::not_found, "origin.read", host, path);
    if (result->status != http_ok)
        return fail(error_code::unavailable, "origin.read", host,
                    fmt::format("{}: status {}", path, result->status));
    return body;
}

std::pair<std::shared_ptr<httplib::Client>, std::string>
origin_client::acquire() {
    const absl::MutexLock lock(&mutex_);
    if (stopped_ || host_.empty())
        return {nullptr, host_};
    std::shared_ptr<httplib::Client> client;
    if (idle_.empty()) {
        client = std::make_shared<httplib::Client>(host_);
        client->set_connection_timeout(connect_timeout);
        client->set_read_timeout(read_timeout);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
    } else {
        client = std::move(idle_.back());
        idle_.pop_back();
    }
    busy_.push_back(client);
    return {client, host_};
}

void origin_client::release(const std::shared_ptr<httplib::Client>& client,
                            const std::string& url, bool is_reusable) {
    const absl::MutexLock lock(&mutex_);
    std::erase(busy_, client);
    if (is_reusable && url == host_)
        idle_.push_back(client);
}

} // namespace ospreystage
