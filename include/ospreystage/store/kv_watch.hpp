#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/store/kv_client.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace httplib {
class Client;
}

namespace ospreystage {

/// Follows one key of the platform's service on a thread of its own.
///
/// Reads the key, then waits for events after that read. A watch connection
/// on which nothing arrives for `silence_limit` is given up and replaced,
/// beginning with a read again, so a connection that went silent delays a
/// change by that time at most.
class kv_watch {
  public:
    /// Receives each value read or reported; called on the watch's thread.
    using entry_handler = std::function<void(const kv_reading&)>;
    /// Receives each failure; called on the watch's thread.
    using failure_handler = std::function<void(const error&)>;

    /// Starts the thread.
    kv_watch(kv_client client, std::string key, milliseconds silence_timeout,
             entry_handler on_entry, failure_handler on_failure);

    /// Ends the connection and waits for the thread.
    ~kv_watch();
    kv_watch(const kv_watch&) = delete;
    kv_watch& operator=(const kv_watch&) = delete;

  private:
    void run();
    [[nodiscard]] bool read_key(std::int64_t& start_revision);
    void follow(std::int64_t start_revision);
    [[nodiscard]] bool process_lines(std::string& buffer);
    [[nodiscard]] bool process_line(const std::string& line);
    [[nodiscard]] bool is_stopped() const;
    void wait_before_retry();

    kv_client client_;
    std::string key_;
    milliseconds silence_timeout_;
    entry_handler on_entry_;
    failure_handler on_failure_;
    mutable absl::Mutex mutex_;
    bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
    std::shared_ptr<httplib::Client> connection_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace ospreystage
