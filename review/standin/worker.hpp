#pragma once

#include "site.hpp"

namespace ospreystage::review {

/// A request that a worker began to run.
struct worker_run {
    instant at;
    std::string request;
    std::string path;
    std::string tenant;
};

/// Worker of a plain service: registers itself in the store, runs requests,
/// and says in its answers when it leaves.
class plain_worker {
  public:
    plain_worker(site& target, std::string id, std::string service, int index);
    ~plain_worker();
    plain_worker(const plain_worker&) = delete;
    plain_worker& operator=(const plain_worker&) = delete;

    /// Reports `draining`; all answers say `Server-Leaving` from then on.
    void leave();
    /// Ends the process and removes its entry.
    void stop();
    /// Starts again under the same id, with another `born`.
    void start();
    /// From now on, a request with this path ends the process as it begins to
    /// run. The process is back after `down`, under the same id, or under a
    /// new one if `renames` is set.
    void crash_on(const std::string& path, milliseconds down, bool renames);
    /// Writes the entry at once, as after a loss of the store's contents.
    void report();
    /// Returns the runs so far.
    [[nodiscard]] std::vector<worker_run> runs();

  private:
    void answer(const http_request& request, http_reply& reply);
    void send_heartbeats();
    void crash(std::unique_lock<std::mutex>& lock);

    site& site_;
    std::string id_;
    std::string service_;
    endpoint local_;
    std::mutex mutex_;
    std::condition_variable wake_;
    bool is_leaving_ = false;
    bool is_up_ = false;
    bool is_stopping_ = false;
    bool has_crashed_ = false;
    bool renames_ = false;
    int starts_ = 0;
    std::string crash_path_;
    milliseconds down_time_{};
    int sequence_ = 0;
    std::int64_t born_ = 0;
    std::vector<worker_run> runs_;
    std::unique_ptr<http_server> server_;
    std::thread heartbeats_;
};

} // namespace ospreystage::review
