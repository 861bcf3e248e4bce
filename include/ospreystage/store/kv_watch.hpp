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

namespace ospreystage {

class blocking_client;

/// Watches one key of the platform's key-value service on a dedicated thread.
///
/// Reads the key, then watches for events after the revision of that read. If
/// nothing arrives on the connection for `silence_timeout`, it is closed and
/// the key is read and watched again, so that a dead connection delays a change
/// by at most that time.
class kv_watch {
  public:
    /// Receives each value from a read or an event; runs on the watch's
    /// thread.
    using entry_handler = std::function<void(const kv_reading&)>;
    /// Receives each failure; runs on the watch's thread.
    using failure_handler = std::function<void(const error&)>;

    kv_watch(kv_client client, std::string key, milliseconds silence_timeout,
             entry_handler on_entry, failure_handler on_failure);

    /// Closes the connection and waits for the thread.
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
    std::shared_ptr<blocking_client> connection_ ABSL_GUARDED_BY(mutex_);
    std::thread thread_;
};

} // namespace ospreystage
