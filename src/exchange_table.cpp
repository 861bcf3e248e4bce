#include <ospreystage/exchange_table.hpp>

#include <absl/time/time.h>

namespace ospreystage {

request_id exchange_table::open() {
    const absl::MutexLock lock(&mutex_);
    const request_id id = next_id_++;
    const auto entry = std::make_shared<queue>();
    if (ended_)
        entry->events.emplace_back(
            refuse_action{id, outcome::not_run, "leaving", {}});
    queues_.emplace(id, entry);
    return id;
}

bool exchange_table::push(request_id id, exchange_event event) {
    const absl::MutexLock lock(&mutex_);
    const auto found = queues_.find(id);
    if (found == queues_.end())
        return false;
    found->second->events.push_back(std::move(event));
    found->second->ready.Signal();
    return true;
}

std::optional<exchange_event> exchange_table::next(request_id id,
                                                   milliseconds wait) {
    const absl::Time until = absl::Now() + absl::FromChrono(wait);
    const absl::MutexLock lock(&mutex_);
    const auto found = queues_.find(id);
    if (found == queues_.end())
        return std::nullopt;
    const std::shared_ptr<queue> entry = found->second;
    while (entry->events.empty()) {
        if (entry->ready.WaitWithDeadline(&mutex_, until) &&
            entry->events.empty())
            return std::nullopt;
    }
    exchange_event event = std::move(entry->events.front());
    entry->events.pop_front();
    return event;
}

void exchange_table::abandon_all() {
    const absl::MutexLock lock(&mutex_);
    ended_ = true;
    for (auto& [id, entry] : queues_) {
        entry->events.emplace_back(
            refuse_action{id, outcome::unknown, "entry_stopped", {}});
        entry->ready.Signal();
    }
}

void exchange_table::close(request_id id) {
    const absl::MutexLock lock(&mutex_);
    queues_.erase(id);
}

std::size_t exchange_table::size() const {
    const absl::MutexLock lock(&mutex_);
    return queues_.size();
}

} // namespace ospreystage
