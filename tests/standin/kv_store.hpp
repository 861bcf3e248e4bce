#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace ospreystage::standin {

/// Keys with revisions and leases, as etcd keeps them. Not thread-safe.
class kv_store {
  public:
    struct record {
        std::string key;
        std::shared_ptr<const std::string> value;
        std::int64_t mod_revision = 0;
        std::int64_t lease = 0;
    };
    struct event {
        bool removed = false;
        record item;
    };
    using time_point = std::chrono::steady_clock::time_point;

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] std::int64_t revision() const noexcept { return revision_; }
    [[nodiscard]] std::size_t lease_count() const { return leases_.size(); }

    /// Returns the revision of `key`, or 0 if it does not exist.
    [[nodiscard]] std::int64_t mod_revision(const std::string& key) const;

    /// Returns the records in the range; see `in_range`.
    [[nodiscard]] std::vector<record> range(const std::string& key,
                                            const std::string& end) const;

    /// Returns the events in the range from revision `start` on.
    [[nodiscard]] std::vector<event> events(const std::string& key,
                                            const std::string& end,
                                            std::int64_t start) const;

    /// Returns the oldest revision that `events` can start from.
    [[nodiscard]] std::int64_t oldest_revision() const noexcept;

    /// Returns true if `candidate` is `key`, or lies in [`key`, `end`).
    ///
    /// An `end` of one zero byte means that the range has no end.
    [[nodiscard]] static bool in_range(const std::string& candidate,
                                       const std::string& key,
                                       const std::string& end);

    // ---- Modifiers ---------------------------------------------------------

    /// Begins a change: every `put` until the next call has one revision.
    void begin_write() { ++revision_; }
    void put(const std::string& key, std::string value, std::int64_t lease);

    [[nodiscard]] std::int64_t grant(std::chrono::milliseconds ttl,
                                     time_point now);

    /// Returns the lease's time to live, or zero if there is no such lease.
    [[nodiscard]] std::chrono::milliseconds keep_alive(std::int64_t lease,
                                                       time_point now);
    [[nodiscard]] bool has_lease(std::int64_t lease) const;

    /// Removes the lease and its keys.
    void revoke(std::int64_t lease);

    /// Revokes the leases that have lapsed; returns true if there were any.
    bool expire(time_point now);

  private:
    struct lease_record {
        std::chrono::milliseconds ttl{0};
        time_point expiry;
    };

    void append(event change);

    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 1000;
    std::int64_t compacted_ = 0;
    std::map<std::string, record> records_;
    std::map<std::int64_t, lease_record> leases_;
    std::deque<event> log_;
};

} // namespace ospreystage::standin
