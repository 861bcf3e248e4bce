#pragma once

#include "common.hpp"

#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace ospreystage::standin {

/// Characters of a prompt that share one cache block.
inline constexpr std::size_t block_characters = 32;

/// Hashes every full block of a prompt together with what precedes it.
///
/// A hash is 16 hexadecimal digits: the start of the SHA-256 of the previous
/// hash (the version for the first block) followed by the block's characters.
[[nodiscard]] std::vector<std::string> hash_blocks(const std::string& version,
                                                   const std::string& prompt);

/// Least-recently-used cache of prompt blocks, with late events and gaps.
/// Not thread-safe.
class prefix_cache {
  public:
    prefix_cache(std::size_t capacity, std::chrono::milliseconds event_lag)
        : capacity_(capacity), event_lag_(event_lag) {}

    /// Stores the blocks; returns how many leading ones were there before.
    std::size_t use(const std::vector<std::string>& blocks);

    /// Returns the visible events with numbers above `after`.
    [[nodiscard]] json events_after(std::int64_t after,
                                    steady::time_point now) const;

    void clear();

  private:
    struct event {
        std::int64_t sequence = 0;
        bool removed = false;
        std::string block;
        steady::time_point visible_at;
    };

    void touch(const std::string& block);
    void evict();
    void publish(bool removed, const std::string& block);

    std::size_t capacity_;
    std::chrono::milliseconds event_lag_;
    std::list<std::string> recent_; ///< Most recently used first.
    std::unordered_map<std::string, std::list<std::string>::iterator> blocks_;
    std::deque<event> events_;
    std::int64_t next_sequence_ = 1;
};

} // namespace ospreystage::standin
