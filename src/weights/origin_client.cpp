#include <ospreystage/http/blocking_client.hpp>
#include <ospreystage/weights/manifest.hpp>
#include <ospreystage/weights/origin_client.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr milliseconds connect_timeout{2000};
/// Connections that carry chunks delay the answer to a new one, but a probe
/// must not wait: a segment lost while the origin was unavailable is repeated
/// only after a second.
constexpr milliseconds probe_connect_timeout{70};
/// Maximum time without data within a response. All readers share the origin's
/// link, so that one may wait while the others are sent their chunks.
constexpr milliseconds read_timeout{2500};
constexpr milliseconds call_timeout{45'000};
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_gone = 410;

error_code code_of(call_end end) {
    if (end == call_end::too_large)
        return error_code::too_large;
    return end == call_end::timeout ? error_code::timeout
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
    return read(layout_.manifest(version), max_manifest_bytes, connect_timeout);
}

leaf::result<std::string> origin_client::chunk(const digest& version,
                                               std::uint32_t index,
                                               bool is_probe) {
    return read(layout_.chunk(version, index), max_chunk_bytes,
                is_probe ? probe_connect_timeout : connect_timeout);
}

void origin_client::close_idle(milliseconds max_idle) {
    const absl::MutexLock lock(&mutex_);
    const instant now = steady::now();
    std::erase_if(idle_, [&](const idle_client& entry) {
        return now - entry.since >= max_idle;
    });
}

void origin_client::stop() {
    const absl::MutexLock lock(&mutex_);
    stopped_ = true;
    for (const auto& client : busy_)
        client->stop();
}

std::size_t origin_client::connections() const {
    const absl::MutexLock lock(&mutex_);
    return busy_.size() + idle_.size();
}

leaf::result<std::string> origin_client::read(const std::string& path,
                                              std::size_t limit_bytes,
                                              milliseconds max_connect_time) {
    const auto [client, host] = acquire();
    if (client == nullptr)
        return fail(error_code::unavailable, "origin.read", host,
                    "the client was stopped or has no address");
    call_options options;
    options.connect_timeout = max_connect_time;
    options.idle_timeout = read_timeout;
    options.timeout = call_timeout;
    options.max_body_bytes = limit_bytes;
    http_request request;
    request.target = path;
    auto answer = client->fetch(request, options);
    // A connection that repeats failures would keep others from the origin.
    release(client, host,
            answer.end == call_end::complete &&
                answer.response.status == http_ok);
    if (answer.end != call_end::complete)
        return fail(code_of(answer.end), "origin.read", host,
                    path + ": " + to_string(answer.end));
    if (answer.response.status == http_gone)
        return fail(error_code::not_found, "origin.read", host, path);
    if (answer.response.status != http_ok)
        return fail(error_code::unavailable, "origin.read", host,
                    fmt::format("{}: status {}", path, answer.response.status));
    return std::move(answer.response.body);
}

std::pair<std::shared_ptr<blocking_client>, std::string>
origin_client::acquire() {
    const absl::MutexLock lock(&mutex_);
    if (stopped_ || host_.empty())
        return {nullptr, host_};
    std::shared_ptr<blocking_client> client;
    if (idle_.empty()) {
        client = std::make_shared<blocking_client>(host_);
    } else {
        client = std::move(idle_.back().client);
        idle_.pop_back();
    }
    busy_.push_back(client);
    return {client, host_};
}

void origin_client::release(const std::shared_ptr<blocking_client>& client,
                            const std::string& url, bool is_reusable) {
    const absl::MutexLock lock(&mutex_);
    std::erase(busy_, client);
    if (is_reusable && url == host_)
        idle_.push_back({client, steady::now()});
}

} // namespace ospreystage
