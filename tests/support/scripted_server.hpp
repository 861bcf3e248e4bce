#pragma once

#include <ospreystage/core/address.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace ospreystage::testing {

/// What a `scripted_server` does with one request.
struct scripted_answer {
    std::string bytes;           ///< Sent as they are.
    bool closes = false;         ///< In order, after the bytes.
    bool resets = false;         ///< Breaks off instead.
    std::string delayed_bytes{}; ///< Sent some time after the answer.
};

/// Server on the loopback interface that answers with given bytes.
///
/// Serves one connection at a time, each request with the next answer.
class scripted_server {
  public:
    using script = std::function<scripted_answer(const std::string& request)>;

    explicit scripted_server(script answers);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] address endpoint() const { return {"127.0.0.1", port_}; }
    /// Connections accepted so far.
    [[nodiscard]] int connections() const noexcept { return connections_; }

  private:
    void serve();
    void serve_connection(int descriptor);

    script answers_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<int> connections_{0};
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> workers_;
    std::thread thread_;
};

} // namespace ospreystage::testing
