#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace ospreystage::testing {

/// Response of a `scripted_server` to one request.
struct scripted_answer {
    std::string bytes;           ///< Sent unchanged.
    bool closes = false;         ///< Closes in order after `bytes`.
    bool resets = false;         ///< Resets the connection after `bytes`.
    std::string delayed_bytes{}; ///< Sent `delay` after `bytes`.
    /// Sent again and again after `bytes`, every 200 ms, while the connection
    /// lasts.
    std::string dripped_bytes{};
    /// Sent again and again after `bytes`, every 5 ms, while the connection
    /// lasts.
    std::string endless_bytes{};
    /// Ends the sending side after `bytes`; the other side stays open.
    bool half_closes = false;
    milliseconds delay{60}; ///< Before `delayed_bytes`.
};

/// Server on the loopback interface that responds with the bytes of a script.
///
/// Serves each connection on a thread of its own and calls the script for each
/// request.
class scripted_server {
  public:
    using script = std::function<scripted_answer(const std::string& request)>;

    explicit scripted_server(script answers);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    [[nodiscard]] address endpoint() const { return {"127.0.0.1", port_}; }
    /// Number of connections accepted so far.
    [[nodiscard]] int connections() const noexcept { return connections_; }
    /// Number of connections that are open.
    [[nodiscard]] int open_connections() const noexcept { return open_; }

  private:
    void serve();
    void serve_connection(int descriptor);
    void send_endlessly(int descriptor, const std::string& bytes);

    script answers_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<int> connections_{0};
    std::atomic<int> open_{0};
    std::atomic<bool> stopping_{false};
    std::vector<std::thread> workers_;
    std::thread thread_;
};

/// Returns whole answers whose status is none of HTTP, or that of a change of
/// protocol that nobody has asked for. One of them is followed by a 200 on the
/// same connection. `fields` are whole header lines.
[[nodiscard]] std::vector<scripted_answer>
answers_without_status(const std::string& fields, const std::string& body);

} // namespace ospreystage::testing
