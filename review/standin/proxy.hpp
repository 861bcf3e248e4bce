#pragma once

#include "site.hpp"

namespace ospreystage::review {

/// Passes connections on to a server. On demand, all that are open fall silent
/// for good, without a reset, while new ones work.
class silent_proxy {
  public:
    silent_proxy(const std::string& ip, const endpoint& server);
    ~silent_proxy();
    silent_proxy(const silent_proxy&) = delete;
    silent_proxy& operator=(const silent_proxy&) = delete;

    [[nodiscard]] endpoint local() const { return listener_.local(); }
    /// Silences the open connections; returns their number.
    int silence();

  private:
    struct pair {
        int caller = -1;
        int server = -1;
        bool is_silent = false;
        bool is_closed = false;
    };

    void run();
    void accept_all();
    static bool pass(int from, int to);

    listener listener_;
    endpoint server_;
    std::atomic<bool> is_stopping_{false};
    std::mutex mutex_;
    std::list<pair> pairs_;
    std::thread worker_;
};

} // namespace ospreystage::review
