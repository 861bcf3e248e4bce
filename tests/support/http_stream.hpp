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

/// POST request whose response is read line by line on a separate thread.
class http_stream {
  public:
    http_stream(const std::string& url, const std::string& path,
                const nlohmann::json& body);

    /// Closes the connection and joins the thread.
    ~http_stream();
    http_stream(const http_stream&) = delete;
    http_stream& operator=(const http_stream&) = delete;

    /// Waits for `count` non-empty lines; returns all lines received, which are
    /// fewer if the response ends or `timeout` passes first.
    [[nodiscard]] std::vector<std::string> await_lines(std::size_t count,
                                                       milliseconds timeout);

    /// Waits for the end of the response; returns false if `timeout` passes
    /// first.
    [[nodiscard]] bool await_end(milliseconds timeout);

    /// Returns true if the response is complete; valid after `await_end`.
    [[nodiscard]] bool complete();

    /// Closes the connection from the client side.
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
