#include "proxy.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace ospreystage::review {

namespace {

constexpr milliseconds connect_timeout{1000};
constexpr int poll_ms = 2;
constexpr std::size_t buffer_bytes = 64 * 1024;

} // namespace

silent_proxy::silent_proxy(const std::string& ip, const endpoint& server)
    : listener_({ip, 0}), server_(server), worker_([this] { run(); }) {}

silent_proxy::~silent_proxy() {
    is_stopping_ = true;
    worker_.join();
    for (const pair& each : pairs_) {
        close(each.caller);
        close(each.server);
    }
}

int silent_proxy::silence() {
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (pair& each : pairs_) {
        if (!each.is_closed && !each.is_silent)
            ++count;
        each.is_silent = true;
    }
    return count;
}

/// Passes on what has arrived; returns false at the end of a side.
bool silent_proxy::pass(int from, int to) {
    std::array<char, buffer_bytes> buffer{};
    const ssize_t count =
        recv(from, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count <= 0)
        return false;
    return send(to, buffer.data(), static_cast<std::size_t>(count),
                MSG_NOSIGNAL) == count;
}

void silent_proxy::accept_all() {
    while (!is_stopping_) {
        const int caller = listener_.accept_one();
        if (caller < 0)
            continue;
        const int upstream = connect_to(server_, connect_timeout);
        const std::lock_guard lock(mutex_);
        pairs_.push_back({caller, upstream, false, upstream < 0});
    }
}

void silent_proxy::run() {
    std::thread acceptor([this] { accept_all(); });
    while (!is_stopping_) {
        std::vector<pollfd> items;
        std::vector<pair*> owners;
        {
            const std::lock_guard lock(mutex_);
            for (pair& each : pairs_) {
                if (each.is_silent || each.is_closed)
                    continue;
                items.push_back({each.caller, POLLIN, 0});
                items.push_back({each.server, POLLIN, 0});
                owners.push_back(&each);
            }
        }
        if (poll(items.data(), items.size(), poll_ms) <= 0)
            continue;
        const std::lock_guard lock(mutex_);
        for (std::size_t index = 0; index < owners.size(); ++index) {
            pair& each = *owners[index];
            if (each.is_silent)
                continue;
            bool is_open = true;
            if (items[2 * index].revents != 0)
                is_open = pass(each.caller, each.server);
            if (items[2 * index + 1].revents != 0)
                is_open = pass(each.server, each.caller) && is_open;
            if (is_open)
                continue;
            each.is_closed = true;
            shutdown(each.caller, SHUT_RDWR);
            shutdown(each.server, SHUT_RDWR);
        }
    }
    acceptor.join();
}

} // namespace ospreystage::review
