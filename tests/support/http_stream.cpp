#include <absl/time/clock.h>
#include <httplib.h>
#include <tests/support/http_stream.hpp>

namespace ospreystage::support {

namespace {

constexpr time_t read_timeout_seconds = 60;

} // namespace

http_stream::http_stream(const std::string& url, const std::string& path,
                         const nlohmann::json& body)
    : client_(std::make_unique<httplib::Client>(url)),
      thread_([this, path, text = body.dump()] { run(path, text); }) {}

http_stream::~http_stream() {
    stop();
    thread_.join();
}

std::vector<std::string> http_stream::await_lines(std::size_t count,
                                                  milliseconds timeout) {
    const absl::Time end = absl::Now() + absl::FromChrono(timeout);
    const absl::MutexLock lock(&mutex_);
    while (lines_.size() < count && !ended_ && absl::Now() < end)
        changed_.WaitWithDeadline(&mutex_, end);
    return lines_;
}

bool http_stream::await_end(milliseconds timeout) {
    const absl::Time end = absl::Now() + absl::FromChrono(timeout);
    const absl::MutexLock lock(&mutex_);
    while (!ended_ && absl::Now() < end)
        changed_.WaitWithDeadline(&mutex_, end);
    return ended_;
}

bool http_stream::complete() {
    const absl::MutexLock lock(&mutex_);
    return complete_;
}

void http_stream::stop() {
    client_->stop();
}

void http_stream::run(const std::string& path, const std::string& body) {
    client_->set_read_timeout(read_timeout_seconds);
    httplib::Request request;
    request.method = "POST";
    request.path = path;
    request.body = body;
    request.set_header("Content-Type", "application/json");
    request.content_receiver = [this](const char* data, std::size_t size,
                                      std::uint64_t, std::uint64_t) {
        receive(data, size);
        return true;
    };
    const httplib::Result result = client_->send(request);
    const absl::MutexLock lock(&mutex_);
    ended_ = true;
    complete_ = result.error() == httplib::Error::Success;
    changed_.SignalAll();
}

void http_stream::receive(const char* data, std::size_t size) {
    const absl::MutexLock lock(&mutex_);
    partial_.append(data, size);
    for (;;) {
        const std::size_t end = partial_.find('\n');
        if (end == std::string::npos)
            break;
        if (end > 0)
            lines_.push_back(partial_.substr(0, end));
        partial_.erase(0, end + 1);
    }
    changed_.SignalAll();
}

} // namespace ospreystage::support
