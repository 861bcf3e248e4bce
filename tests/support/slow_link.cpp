#include "slow_link.hpp"

#include "free_ports.hpp"

#include <ospreystage/network/socket_address.hpp>

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace ospreystage::testing {

namespace {

constexpr int listen_backlog = 128;
constexpr milliseconds transfer_interval{5};

void reset(int descriptor) {
    const linger at_once{1, 0};
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
    close(descriptor);
}

} // namespace

slow_link::slow_link(address server, std::uint64_t bytes_per_second,
                     std::size_t max_connections)
    : server_(std::move(server)), local_{"127.0.0.1",
                                         support::free_ports(1).front()},
      bytes_per_second_(bytes_per_second), max_connections_(max_connections),
      running_(core_) {
    error failure;
    const auto opened = value_or_error(
        [&] { return open_listener(local_, listen_backlog, "slow_link"); },
        failure);
    if (!opened)
        throw std::runtime_error(to_string(failure));
    listener_ = *opened;
    running_.ask([this] {
        core_.watch(listener_, EPOLLIN,
                    [this](std::uint32_t) { accept_all(); });
        core_.every("slow_link", transfer_interval, [this] { transfer(); });
        return true;
    });
}

slow_link::~slow_link() {
    running_.ask([this] {
        core_.close(listener_);
        connections_.clear();
        return true;
    });
    running_.stop();
}

std::uint64_t slow_link::transferred() {
    return running_.ask([this] { return transferred_; });
}

void slow_link::silence() {
    running_.ask([this] {
        for (auto& [id, record] : connections_)
            record->is_silent = true;
        return true;
    });
}

void slow_link::accept_all() {
    for (;;) {
        const int descriptor =
            accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0)
            return;
        if (max_connections_ != 0 && connections_.size() >= max_connections_) {
            reset(descriptor);
            continue;
        }
        const std::uint64_t id = next_connection_++;
        auto& record =
            *connections_
                 .emplace(id, std::make_unique<relayed_connection>(core_))
                 .first->second;
        record.client.set_handlers(
            {nullptr,
             [&record] {
                 const std::string bytes =
                     std::exchange(record.client.input, "");
                 if (!record.is_silent)
                     record.server.write(bytes);
             },
             [this, id](stream_socket::end_kind) { close(id); }, nullptr});
        record.server.set_handlers(
            {nullptr,
             [this, &record, id] {
                 std::string bytes = std::exchange(record.server.input, "");
                 if (record.is_silent)
                     return;
                 record.queued += bytes.size();
                 queue_.push_back({id, std::move(bytes)});
             },
             [this, &record, id](stream_socket::end_kind) {
                 record.is_server_closed = true;
                 if (record.queued == 0)
                     close(id);
             },
             nullptr});
        record.server.connect(server_);
        record.client.adopt(descriptor);
    }
}

void slow_link::transfer() {
    const instant now = steady::now();
    const std::chrono::duration<double> elapsed = now - last_transfer_;
    last_transfer_ = now;
    budget_ += elapsed.count() * static_cast<double>(bytes_per_second_);
    while (!queue_.empty() && budget_ > 0) {
        queued_bytes& next = queue_.front();
        const auto found = connections_.find(next.connection);
        if (found == connections_.end() || found->second->is_closed) {
            queue_.pop_front();
            continue;
        }
        relayed_connection& record = *found->second;
        const std::size_t count =
            std::min(next.bytes.size(), static_cast<std::size_t>(budget_) + 1);
        record.client.write(std::string_view(next.bytes).substr(0, count));
        budget_ -= static_cast<double>(count);
        transferred_ += count;
        record.queued -= count;
        next.bytes.erase(0, count);
        if (!next.bytes.empty())
            continue;
        queue_.pop_front();
        if (record.is_server_closed && record.queued == 0)
            record.client.close_after_output();
    }
    if (queue_.empty())
        budget_ = std::min(budget_, 0.0);
    std::erase_if(connections_,
                  [](const auto& entry) { return entry.second->is_closed; });
}

/// Closes both sides; the record is removed later, since its handlers may be on
/// the stack.
void slow_link::close(std::uint64_t id) {
    const auto found = connections_.find(id);
    if (found == connections_.end() || found->second->is_closed)
        return;
    found->second->is_closed = true;
    found->second->client.close();
    found->second->server.close();
}

} // namespace ospreystage::testing
