#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/core/ids.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace ospreystage {

class blocking_client;

/// URL paths of manifests and chunks on an origin.
struct origin_layout {
    std::function<std::string(const digest& version)> manifest;
    std::function<std::string(const digest& version, std::uint32_t index)>
        chunk;
};

/// Reads manifests and chunks from the origin over HTTP without verifying them.
///
/// Calls block and may be made from several threads. A connection is reused by
/// later calls until `close_idle` closes it.
class origin_client {
  public:
    // ---- Construction ------------------------------------------------------

    /// Uses the default paths below `url` (`http://host:port`, optionally with
    /// a path).
    explicit origin_client(const std::string& url);
    /// Uses the paths of `layout`; `set_url` sets the address.
    explicit origin_client(origin_layout layout);
    ~origin_client();
    origin_client(const origin_client&) = delete;
    origin_client& operator=(const origin_client&) = delete;

    /// Sets the address for later calls; may be called from any thread.
    void set_url(const std::string& url);

    // ---- Calls -------------------------------------------------------------

    /// Reads the manifest text of a version.
    ///
    /// Errors: `unavailable`, `timeout`, `too_large`, and `not_found` for a
    /// version that the origin no longer offers.
    [[nodiscard]] leaf::result<std::string> manifest(const digest& version);

    /// Reads the bytes of a chunk; errors as for `manifest`. A probe gives up
    /// quickly if the origin accepts no connection.
    [[nodiscard]] leaf::result<std::string>
    chunk(const digest& version, std::uint32_t index, bool is_probe = false);

    /// Closes the connections that have carried no call for `max_idle`. The
    /// origin takes a limited number of them from all agents together.
    void close_idle(milliseconds max_idle);

    /// Cancels the calls in progress; later calls fail.
    void stop();

    // ---- Observers ---------------------------------------------------------

    /// Returns the number of connections that carry a call or are kept open.
    [[nodiscard]] std::size_t connections() const;

  private:
    struct idle_client {
        std::shared_ptr<blocking_client> client;
        instant since{};
    };

    [[nodiscard]] leaf::result<std::string> read(const std::string& path,
                                                 std::size_t limit_bytes,
                                                 milliseconds max_connect_time);
    [[nodiscard]] std::pair<std::shared_ptr<blocking_client>, std::string>
    acquire();
    void release(const std::shared_ptr<blocking_client>& client,
                 const std::string& url, bool is_reusable);

    origin_layout layout_;
    mutable absl::Mutex mutex_;
    std::string host_ ABSL_GUARDED_BY(mutex_); ///< Scheme, host and port.
    bool stopped_ ABSL_GUARDED_BY(mutex_) = false;
    /// In the order in which they became idle.
    std::vector<idle_client> idle_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::shared_ptr<blocking_client>> busy_ ABSL_GUARDED_BY(mutex_);
};

} // namespace ospreystage
