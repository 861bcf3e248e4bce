#include "prefix_cache.hpp"

#include <ospreystage/core/ids.hpp>

namespace ospreystage::standin {

namespace {

constexpr std::size_t hash_characters = 16;
constexpr std::size_t max_events = 4096;
constexpr std::int64_t gap_period = 20; ///< One event in so many is lost.

} // namespace

std::vector<std::string> hash_blocks(const std::string& version,
                                     const std::string& prompt) {
    std::vector<std::string> hashes;
    std::string previous = version;
    for (std::size_t start = 0; start + block_characters <= prompt.size();
         start += block_characters) {
        previous.append(prompt, start, block_characters);
        previous = sha256(previous).substr(0, hash_characters);
        hashes.push_back(previous);
    }
    return hashes;
}

std::size_t prefix_cache::use(const std::vector<std::string>& blocks) {
    std::size_t cached = 0;
    while (cached < blocks.size() && blocks_.contains(blocks[cached]))
        ++cached;
    for (const std::string& block : blocks)
        touch(block);
    evict();
    return cached;
}

json prefix_cache::events_after(std::int64_t after,
                                steady::time_point now) const {
    json list = json::array();
    std::int64_t next = after;
    for (const event& item : events_) {
        if (item.sequence <= after)
            continue;
        if (item.visible_at > now)
            break;
        next = item.sequence;
        if (item.sequence % gap_period == 0)
            continue;
        list.push_back({{"seq", item.sequence},
                        {"type", item.removed ? "removed" : "stored"},
                        {"block", item.block}});
    }
    return {{"next", next}, {"events", std::move(list)}};
}

void prefix_cache::clear() {
    recent_.clear();
    blocks_.clear();
}

void prefix_cache::touch(const std::string& block) {
    const auto found = blocks_.find(block);
    if (found != blocks_.end()) {
        recent_.splice(recent_.begin(), recent_, found->second);
        return;
    }
    recent_.push_front(block);
    blocks_[block] = recent_.begin();
    publish(false, block);
}

void prefix_cache::evict() {
    while (recent_.size() > capacity_) {
        const std::string block = recent_.back();
        recent_.pop_back();
        blocks_.erase(block);
        publish(true, block);
    }
}

void prefix_cache::publish(bool removed, const std::string& block) {
    events_.push_back(
        {next_sequence_++, removed, block, steady::now() + event_lag_});
    if (events_.size() > max_events)
        events_.pop_front();
}

} // namespace ospreystage::standin
