#include "scripted_server.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <utility>

namespace ospreystage::testing {

namespace {

constexpr int poll_ms = 20;
constexpr std::chrono::milliseconds drip_interval{200};
constexpr std::chrono::milliseconds endless_interval{5};

/// Returns true if `text` holds a complete request: the head, and the body of
/// `Content-Length` bytes if that field is present.
bool is_complete_request(const std::string& text) {
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos)
        return false;
    const std::size_t length_field = text.find("Content-Length: ");
    if (length_field == std::string::npos || length_field > head)
        return true;
    const std::size_t length = std::stoul(text.substr(length_field + 16));
    return text.size() >= head + 4 + length;
}

} // namespace

scripted_server::scripted_server(script answers)
    : answers_(std::move(answers)) {
    listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    static_cast<void>(
        bind(listener_, reinterpret_cast<sockaddr*>(&raw), sizeof(raw)));
    listen(listener_, 16);
    socklen_t size = sizeof(raw);
    getsockname(listener_, reinterpret_cast<sockaddr*>(&raw), &size);
    port_ = ntohs(raw.sin_port);
    thread_ = std::thread([this] { serve(); });
}

scripted_server::~scripted_server() {
    stopping_ = true;
    thread_.join();
    for (std::thread& worker : workers_)
        worker.join();
    close(listener_);
}

void scripted_server::serve() {
    while (!stopping_) {
        pollfd waiting{listener_, POLLIN, 0};
        if (poll(&waiting, 1, poll_ms) <= 0)
            continue;
        const int descriptor =
            accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        ++connections_;
        ++open_;
        workers_.emplace_back([this, descriptor] {
            serve_connection(descriptor);
            --open_;
        });
    }
}

void scripted_server::serve_connection(int descriptor) {
    std::string input;
    std::array<char, 4096> buffer{};
    while (!stopping_) {
        pollfd waiting{descriptor, POLLIN, 0};
        if (poll(&waiting, 1, poll_ms) <= 0)
            continue;
        const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0)
            break;
        input.append(buffer.data(), static_cast<std::size_t>(count));
        if (!is_complete_request(input))
            continue;
        const scripted_answer answer = answers_(input);
        input.clear();
        send(descriptor, answer.bytes.data(), answer.bytes.size(),
             MSG_NOSIGNAL);
        if (answer.resets) {
            const linger now{1, 0};
            setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
            break;
        }
        if (answer.closes)
            break;
        if (answer.half_closes)
            shutdown(descriptor, SHUT_WR);
        while (!answer.dripped_bytes.empty() && !stopping_) {
            std::this_thread::sleep_for(drip_interval);
            if (send(descriptor, answer.dripped_bytes.data(),
                     answer.dripped_bytes.size(), MSG_NOSIGNAL) < 0)
                break;
        }
        if (!answer.endless_bytes.empty())
            send_endlessly(descriptor, answer.endless_bytes);
        if (!answer.delayed_bytes.empty()) {
            std::this_thread::sleep_for(answer.delay);
            send(descriptor, answer.delayed_bytes.data(),
                 answer.delayed_bytes.size(), MSG_NOSIGNAL);
        }
    }
    close(descriptor);
}

void scripted_server::send_endlessly(int descriptor, const std::string& bytes) {
    std::size_t sent = 0;
    while (!stopping_) {
        const ssize_t count =
            send(descriptor, bytes.data() + sent, bytes.size() - sent,
                 MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0 && errno != EAGAIN)
            return;
        if (count > 0)
            sent += static_cast<std::size_t>(count);
        if (sent == bytes.size())
            sent = 0;
        if (sent == 0 || count < 0)
            std::this_thread::sleep_for(endless_interval);
    }
}

std::vector<scripted_answer> answers_without_status(const std::string& fields,
                                                    const std::string& body) {
    const auto answer = [&](const std::string& status) {
        return fmt::format("HTTP/1.1 {}\r\n{}Content-Length: {}\r\n\r\n{}",
                           status, fields, body.size(), body);
    };
    std::vector<scripted_answer> answers{
        {"HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\n" + answer("200 OK")}};
    for (const char* status : {"000", "001", "099", "101", "600", "999", "ab!"})
        answers.push_back({answer(std::string(status) + " Odd")});
    return answers;
}

} // namespace ospreystage::testing
