#pragma once

#include <ospreystage/core/clock.hpp>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace httplib {
class Client;
} // namespace httplib

namespace ospreystage::support {

/// A POST request whose answer arrives line by line on a thread of its own.
class http_stream {
  public:
    http_stream(const std::string& url, const std::string& path,
                const nlohmann::json& body);

    /// Closes the connection and ends the thread.
    ~http_stream();
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;

    /// Returns the lines that are not empty once there are `count` of them,
    /// or what came before the end or `timeout`.
    [[nodiscard]] std::vector<std::string> await_lines(std::size_t count,
                                                       milliseconds timeout);

    /// Waits for the end; returns false if `timeout` passes first.
    [[nodiscard]] bool await_end(milliseconds timeout);

    /// Returns true if the answer ended in order (after `await_end`).
    [[nodiscard]] bool complete();

    /// Closes the connection from this side.
    void stop();

  private:
    void run(const std::string& path, const std::string& body);
    void receive(const char* data, std::size_t size);

    std::unique_ptr<httplib::Client> client_;
    absl::Mutex mutex_;
    absl::CondVar changed_;
    std::string partial_;
    std::vector<std::string> lines_;
    bool ended_ = false;
    bool complete_ = false;
    std::thread thread_;
};

} // namespace ospreystage::support
