#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace ospreystage::review {

using milliseconds = std::chrono::milliseconds;
using steady = std::chrono::steady_clock;
using instant = steady::time_point;

struct endpoint {
    std::string ip;
    std::uint16_t port = 0;
};

[[nodiscard]] std::string to_string(const endpoint& address);

using field_list = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this name, in any case.
[[nodiscard]] std::optional<std::string> find_field(const field_list& fields,
                                                    const std::string& name);

struct http_request {
    std::string method = "GET";
    std::string target = "/";
    field_list fields;
    std::string body;

    [[nodiscard]] std::string path() const;
    /// Returns a value of the query without percent-decoding.
    [[nodiscard]] std::string query(const std::string& name) const;
    [[nodiscard]] std::string field(const std::string& name) const;
};

struct http_response {
    int status = 0; ///< 0: no whole answer was received.
    field_list fields;
    std::string body;
};

/// The answer to one request, sent whole or as chunks.
class http_reply {
  public:
    explicit http_reply(int descriptor) : descriptor_(descriptor) {}

    void send(int status, const field_list& fields, const std::string& body);
    void send_json(int status, const field_list& fields,
                   const std::string& body);
    void begin_chunks(int status, const field_list& fields);
    /// Returns false once the caller has left.
    bool write_chunk(const std::string& text);
    void finish_chunks();
    /// Ends the connection without an answer.
    void cut() { is_cut_ = true; }
    [[nodiscard]] bool is_cut() const { return is_cut_; }
    /// Returns true if the caller has closed the connection.
    [[nodiscard]] bool has_left() const;

  private:
    int descriptor_;
    bool is_cut_ = false;
};

/// Socket that listens on a loopback address; port 0 picks a free one.
class listener {
  public:
    explicit listener(const endpoint& local);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    [[nodiscard]] endpoint local() const { return local_; }
    /// Returns a connection, or -1 if none came within 50 ms.
    [[nodiscard]] int accept_one() const;
    /// Refuses connections from now on.
    void stop() const;

  private:
    int descriptor_ = -1;
    endpoint local_;
};

/// HTTP/1.1 server with kept connections and a thread for each of them.
class http_server {
  public:
    using handler = std::function<void(const http_request&, http_reply&)>;

    http_server(const endpoint& local, handler handle);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    [[nodiscard]] endpoint local() const { return listener_.local(); }
    /// Refuses connections and ends the open ones, as the end of a process
    /// does. May be called by a handler.
    void end_all();

  private:
    struct connection {
        int descriptor = -1;
        std::atomic<bool> is_done{false};
        std::thread worker;
    };

    void accept_all();
    void serve(connection& target);
    void remove_done(bool includes_all);

    listener listener_;
    handler handle_;
    std::atomic<bool> is_stopping_{false};
    std::mutex mutex_;
    std::list<std::unique_ptr<connection>> connections_;
    std::thread acceptor_;
};

/// Opens a connection within `timeout`; returns -1 if that fails.
[[nodiscard]] int connect_to(const endpoint& server, milliseconds timeout);

/// Sends a request on a connection of its own. Bodies of chunks are joined.
[[nodiscard]] http_response
call(const endpoint& server, const http_request& request, milliseconds timeout);

} // namespace ospreystage::review
