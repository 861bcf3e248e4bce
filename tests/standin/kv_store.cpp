#include "kv_store.hpp"

#include <utility>

namespace ospreystage::standin {

namespace {

constexpr std::size_t max_log_events = 1000;

} // namespace

std::int64_t kv_store::mod_revision(const std::string& key) const {
    const auto found = records_.find(key);
    return found == records_.end() ? 0 : found->second.mod_revision;
}

bool kv_store::in_range(const std::string& candidate, const std::string& key,
                        const std::string& end) {
    if (end.empty())
        return candidate == key;
    const bool endless = end == std::string(1, '\0');
    return candidate >= key && (endless || candidate < end);
}

std::vector<kv_store::record> kv_store::range(const std::string& key,
                                              const std::string& end) const {
    std::vector<record> found;
    for (auto next = records_.lower_bound(key);
         next != records_.end() && in_range(next->first, key, end); ++next)
        found.push_back(next->second);
    return found;
}

std::vector<kv_store::event> kv_store::events(const std::string& key,
                                              const std::string& end,
                                              std::int64_t start) const {
    std::vector<event> found;
    for (const event& change : log_) {
        if (change.item.mod_revision >= start &&
            in_range(change.item.key, key, end))
            found.push_back(change);
    }
    return found;
}

std::int64_t kv_store::oldest_revision() const noexcept {
    return compacted_ + 1;
}

void kv_store::put(const std::string& key, std::string value,
                   std::int64_t lease) {
    record& item = records_[key];
    item.key = key;
    item.value = std::make_shared<const std::string>(std::move(value));
    item.mod_revision = revision_;
    item.lease = lease;
    append({false, item});
}

std::int64_t kv_store::grant(std::chrono::milliseconds ttl, time_point now) {
    const std::int64_t lease = next_lease_++;
    leases_[lease] = {ttl, now + ttl};
    return lease;
}

std::chrono::milliseconds kv_store::keep_alive(std::int64_t lease,
                                               time_point now) {
    const auto found = leases_.find(lease);
    if (found == leases_.end())
        return std::chrono::milliseconds(0);
    found->second.expiry = now + found->second.ttl;
    return found->second.ttl;
}

bool kv_store::has_lease(std::int64_t lease) const {
    return leases_.contains(lease);
}

void kv_store::revoke(std::int64_t lease) {
    leases_.erase(lease);
    ++revision_;
    for (auto next = records_.begin(); next != records_.end();) {
        if (next->second.lease != lease) {
            ++next;
            continue;
        }
        record removed = std::move(next->second);
        removed.mod_revision = revision_;
        removed.value = std::make_shared<const std::string>();
        removed.lease = 0;
        next = records_.erase(next);
        append({true, std::move(removed)});
    }
}

bool kv_store::expire(time_point now) {
    std::vector<std::int64_t> lapsed;
    for (const auto& [lease, record] : leases_) {
        if (record.expiry <= now)
            lapsed.push_back(lease);
    }
    for (const std::int64_t lease : lapsed)
        revoke(lease);
    return !lapsed.empty();
}

void kv_store::append(event change) {
    log_.push_back(std::move(change));
    if (log_.size() <= max_log_events)
        return;
    compacted_ = log_.front().item.mod_revision;
    log_.pop_front();
}

} // namespace ospreystage::standin
