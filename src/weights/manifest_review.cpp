#include <ospreystage/weights/manifest_review.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

/// Bounds the shift; `max_interval` applies long before.
constexpr std::uint32_t max_interval_shift = 16;

} // namespace

void manifest_review::on_accepted(std::uint64_t version, source from,
                                  std::uint64_t corrupt_chunks, instant now) {
    record& known = records_[version];
    known.corrupt_chunks = corrupt_chunks;
    known.has_conflict = false;
    known.is_doubted = false;
    if (from == source::peer)
        return;
    const auto shift = std::min(known.origin_reads, max_interval_shift);
    known.next_read = now + std::min(limits_.first_interval * (1 << shift),
                                     limits_.max_interval);
    ++known.origin_reads;
}

void manifest_review::on_conflict(std::uint64_t version) {
    const auto found = records_.find(version);
    if (found != records_.end())
        found->second.has_conflict = true;
}

void manifest_review::forget_if(
    const std::function<bool(std::uint64_t)>& is_settled) {
    std::erase_if(records_,
                  [&](const auto& entry) { return is_settled(entry.first); });
}

std::vector<manifest_review::doubt>
manifest_review::due(std::uint64_t corrupt_chunks, instant now) {
    std::vector<doubt> result;
    for (auto& [version, known] : records_) {
        const bool has_corrupt_chunks =
            corrupt_chunks - known.corrupt_chunks >= limits_.max_corrupt_chunks;
        if (known.is_doubted || now < known.next_read ||
            !(known.has_conflict || has_corrupt_chunks))
            continue;
        known.is_doubted = true;
        result.push_back(
            {version, has_corrupt_chunks ? "chunks differ" : "peers differ"});
    }
    return result;
}

bool manifest_review::is_doubted(std::uint64_t version) const {
    const auto found = records_.find(version);
    return found != records_.end() && found->second.is_doubted;
}

} // namespace ospreystage
