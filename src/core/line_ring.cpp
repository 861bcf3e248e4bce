#include <ospreystage/core/line_ring.hpp>

#include <absl/time/time.h>

#include <utility>

namespace ospreystage {

bool line_ring::push(std::string line, bool is_failure) {
    const absl::MutexLock lock(&mutex_);
    const std::size_t allowed_bytes =
        is_failure ? capacity_bytes_ : capacity_bytes_ / 2;
    if (bytes_ + line.size() > allowed_bytes)
        return false;
    bytes_ += line.size();
    lines_.push_back(std::move(line));
    return true;
}

std::string line_ring::take() {
    const auto is_ready = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
        return !lines_.empty();
    };
    const absl::MutexLock lock(&mutex_, absl::Condition(&is_ready));
    std::string text;
    text.reserve(bytes_);
    for (const std::string& line : std::exchange(lines_, {}))
        text += line;
    bytes_ = 0;
    is_writing_ = true;
    return text;
}

void line_ring::on_written() {
    const absl::MutexLock lock(&mutex_);
    is_writing_ = false;
}

bool line_ring::wait_until_written(milliseconds limit) {
    const auto is_done = [this]() ABSL_SHARED_LOCKS_REQUIRED(mutex_) {
        return is_idle();
    };
    const absl::MutexLock lock(&mutex_);
    return mutex_.AwaitWithTimeout(absl::Condition(&is_done),
                                   absl::FromChrono(limit));
}

std::size_t line_ring::pending_bytes() const {
    const absl::MutexLock lock(&mutex_);
    return bytes_;
}

bool line_quota::take(const std::string& kind, instant now) {
    window& current = windows_[kind];
    if (now - current.started >= seconds(1))
        current = {now, 0};
    if (current.lines >= lines_per_second_)
        return false;
    ++current.lines;
    return true;
}

} // namespace ospreystage
