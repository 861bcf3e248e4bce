#include <ospreystage/serving/sound_parts.hpp>

#include <algorithm>

namespace ospreystage {

void sound_parts::record(prompt_part part, instant begun) {
    const auto [found, is_new] = records_.try_emplace(part);
    part_record& record = found->second;
    // One answer may be recorded more than once.
    const bool is_same_answer = !is_new && begun <= record.begun;
    record.begun = is_new ? begun : std::max(record.begun, begun);
    if (is_new) {
        record.position = used_once_.insert(used_once_.end(), part);
        evict(used_once_);
        return;
    }
    if (is_same_answer)
        return;
    std::list<prompt_part>& group = record.is_reused ? reused_ : used_once_;
    reused_.splice(reused_.end(), group, record.position);
    record.is_reused = true;
    evict(reused_);
}

std::optional<instant> sound_parts::last_begun(prompt_part part) const {
    const auto found = records_.find(part);
    if (found == records_.end())
        return std::nullopt;
    return found->second.begun;
}

void sound_parts::evict(std::list<prompt_part>& group) {
    if (group.size() <= capacity_)
        return;
    records_.erase(group.front());
    group.pop_front();
}

} // namespace ospreystage
