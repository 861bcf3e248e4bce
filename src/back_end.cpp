#include <ospreystage/back_end.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <optional>
#include <utility>

namespace ospreystage {

namespace {

constexpr milliseconds connect_timeout{500};
/// A back end that sends nothing for this long is taken for silent.
constexpr milliseconds silence_timeout{4000};
constexpr const char* stream_type = "text/event-stream";
constexpr const char* stream_end = "data: [DONE]";
constexpr const char* event_separator = "\n\n";

/// Splits a byte stream into server-sent events.
class event_splitter {
  public:
    /// Appends bytes and returns the events that they complete.
    std::vector<std::string> feed(const char* data, std::size_t size) {
        buffer_.append(data, size);
        std::vector<std::string> events;
        for (;;) {
            const std::size_t end = buffer_.find(event_separator);
            if (end == std::string::npos)
                return events;
            events.push_back(buffer_.substr(0, end));
            buffer_.erase(0, end + 2);
        }
    }

  private:
    std::string buffer_;
};

/// Returns the request body with the fields that the agent adds.
std::string engine_body(const run_order& order) {
    nlohmann::json body = nlohmann::json::parse(order.body, nullptr, false);
    if (!body.is_object())
        return order.body;
    body["model"] = order.version;
    body["stream"] = order.stream;
    body["priority"] = order.priority;
    if (order.skip_tokens > 0)
        body["skip_tokens"] = order.skip_tokens;
    return body.dump();
}

httplib::Request make_request(const run_order& order) {
    httplib::Request request;
    request.method = order.method;
    request.path = order.path;
    request.body = order.version.empty() ? order.body : engine_body(order);
    request.set_header("Content-Type", order.content_type);
    request.set_header("X-Attempt-Id", to_string(order.attempt));
    request.set_header("X-Organisation", order.organisation);
    if (!order.idempotency_key.empty())
        request.set_header("Idempotency-Key", order.idempotency_key);
    return request;
}

/// Statuses with which a back end says that it did not run the request.
bool is_refusal(int status) {
    return status == 404 || status == 429 || status == 503;
}

bool never_sent(httplib::Error problem) {
    return problem == httplib::Error::Connection ||
           problem == httplib::Error::ConnectionTimeout ||
           problem == httplib::Error::BindIPAddress;
}

} // namespace

back_end::back_end(std::string url, std::uint32_t threads, callback receiver)
    : url_(std::move(url)), receiver_(std::move(receiver)) {
    threads_.reserve(threads);
    for (std::uint32_t index = 0; index < threads; ++index)
        threads_.emplace_back([this] { work(); });
}

back_end::~back_end() {
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
        waiting_.clear();
        for (auto& [attempt, client] : running_)
            client->stop();
    }
    for (std::thread& thread : threads_)
        thread.join();
}

void back_end::start(const run_order& order, milliseconds deadline) {
    const absl::MutexLock lock(&mutex_);
    waiting_.push_back({order, deadline});
}

void back_end::cancel(const attempt_id& attempt) {
    const absl::MutexLock lock(&mutex_);
    const auto found = running_.find(attempt);
    if (found != running_.end())
        found->second->stop();
}

void back_end::work() {
    const auto ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
        return stopping_ || !waiting_.empty();
    };
    for (;;) {
        call current;
        {
            const absl::MutexLock lock(&mutex_, absl::Condition(&ready));
            if (stopping_)
                return;
            current = std::move(waiting_.front());
            waiting_.pop_front();
        }
        perform(current);
    }
}

void back_end::perform(const call& current) {
    const attempt_id& attempt = current.order.attempt;
    const auto client = std::make_shared<httplib::Client>(url_);
    client->set_connection_timeout(connect_timeout);
    // An answer in one piece may take its whole deadline.
    client->set_read_timeout(current.order.stream
                                 ? std::min(current.deadline, silence_timeout)
                                 : current.deadline);
    client->set_tcp_nodelay(true);
    {
        const absl::MutexLock lock(&mutex_);
        running_[attempt] = client;
    }
    bool refused = false;
    bool stream = false;
    bool ended = false;
    event_splitter splitter;
    httplib::Request request = make_request(current.order);
    request.response_handler = [&](const httplib::Response& response) {
        refused = !current.order.version.empty() && is_refusal(response.status);
        if (refused)
            return true;
        const std::string type = response.get_header_value("Content-Type");
        stream = type.starts_with(stream_type);
        receiver_(attempt,
                  back_end_begin{static_cast<std::uint16_t>(response.status),
                                 type,
                                 response.get_header_value("X-Model-Version")});
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size,
                                   std::uint64_t, std::uint64_t) {
        if (refused)
            return true;
        if (!stream) {
            receiver_(attempt, back_end_part{std::string(data, size)});
            return true;
        }
        for (std::string& event : splitter.feed(data, size)) {
            if (event == stream_end)
                ended = true;
            else
                receiver_(attempt,
                          back_end_part{std::move(event) + event_separator});
        }
        return true;
    };
    const httplib::Result result = client->send(request);
    {
        const absl::MutexLock lock(&mutex_);
        running_.erase(attempt);
    }
    if (!result)
        receiver_(attempt, back_end_failed{!never_sent(result.error()),
                                           httplib::to_string(result.error())});
    else if (refused)
        receiver_(attempt,
                  back_end_failed{false, "refused with status " +
                                             std::to_string(result->status)});
    else if (stream && !ended)
        receiver_(attempt, back_end_failed{true, "stream ended early"});
    else
        receiver_(attempt, back_end_end{});
}

} // namespace ospreystage
