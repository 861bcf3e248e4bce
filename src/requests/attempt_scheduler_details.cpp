#include <ospreystage/requests/attempt_scheduler.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

/// Time for which the record of a finished attempt is retained after its
/// deadline.
constexpr milliseconds history_retention{10'000};

/// Maximum number of attempt records; beyond it new attempts are refused.
constexpr std::size_t max_history = 50'000;

/// Maximum bytes of retained answers over all non-idempotent attempts.
constexpr std::size_t max_retained_bytes = 32 * 1024 * 1024;

/// Retry delay that is sent with a refusal because of a full queue.
constexpr milliseconds overload_retry_after{250};

std::size_t frame_bytes(const message& frame) {
    const auto* part = std::get_if<answer_part>(&frame);
    return part != nullptr ? part->data.size() : 0;
}

bool contains(const std::vector<digest>& versions, const digest& version) {
    return std::find(versions.begin(), versions.end(), version) !=
           versions.end();
}

} // namespace

// ---- Details ---------------------------------------------------------------

std::optional<refusal>
attempt_scheduler::find_refusal(const process_id& entry, std::uint64_t epoch,
                                const run_order& order) const {
    if (order.agent != self_)
        return refusal::wrong_incarnation;
    const auto found = entries_.find(entry.name);
    if (found != entries_.end()) {
        const entry_record& latest = found->second;
        if (std::pair(entry.incarnation, epoch) <
            std::pair(latest.entry.incarnation, latest.epoch))
            return refusal::stale_epoch;
        if (latest.entry == entry &&
            order.attempt.sequence <= latest.pruned_up_to)
            return refusal::sealed;
    }
    if (order.attempt.entry != entry)
        return refusal::sealed;
    if (leaving_)
        return refusal::leaving;
    if (order.deadline_ms == 0)
        return refusal::expired;
    const auto reason = find_service_refusal(order);
    if (reason)
        return reason;
    const bool full = running() >= capacity_ && queued() >= queue_limit_;
    if (full || attempts_.size() >= max_history)
        return refusal::overloaded;
    return std::nullopt;
}

std::optional<refusal>
attempt_scheduler::find_service_refusal(const run_order& order) const {
    if (!service_.in_force || order.service != service_.name)
        return refusal::not_in_force;
    if (service_.engine && !contains(service_.versions, order.version))
        return refusal::version_not_held;
    return std::nullopt;
}

attempt_scheduler::attempt_record*
attempt_scheduler::find_running(const attempt_id& attempt) {
    const auto found = attempts_.find(attempt);
    if (found == attempts_.end() || found->second.state != phase::running)
        return nullptr;
    return &found->second;
}

attempt_scheduler::entry_record&
attempt_scheduler::update_entry(const process_id& entry, std::uint64_t epoch) {
    entry_record& record = entries_[entry.name];
    if (entry.incarnation > record.entry.incarnation)
        record = entry_record{entry, epoch, 0};
    else if (entry == record.entry)
        record.epoch = std::max(record.epoch, epoch);
    return record;
}

void attempt_scheduler::refuse(const run_order& order, refusal reason,
                               instant now, actions& out) {
    ++refused_total_;
    const milliseconds retry_after =
        reason == refusal::overloaded ? overload_retry_after : milliseconds{0};
    out.push_back(send_to_entry{
        order.attempt.entry,
        run_refused{order.attempt, reason,
                    static_cast<std::uint32_t>(retry_after.count())}});
    if (attempts_.contains(order.attempt) || attempts_.size() >= max_history)
        return;
    attempt_record record;
    record.order.attempt = order.attempt;
    record.deadline = now + milliseconds{order.deadline_ms};
    const auto inserted =
        attempts_.emplace(order.attempt, std::move(record)).first;
    schedule_pruning(order.attempt, inserted->second, now);
}

void attempt_scheduler::seal_queued(const attempt_id& attempt, refusal reason,
                                    instant now, actions& out) {
    attempt_record& record = attempts_.at(attempt);
    remove_from_queue(attempt);
    record.state = phase::sealed;
    record.order.body.clear();
    ++refused_total_;
    schedule_pruning(attempt, record, now);
    out.push_back(
        send_to_entry{attempt.entry, run_refused{attempt, reason, 0}});
}

void attempt_scheduler::schedule_pruning(const attempt_id& attempt,
                                         attempt_record& record, instant now) {
    record.prune_at = std::max(now, record.deadline) + history_retention;
    pruning_schedule_.emplace(record.prune_at, attempt);
}

void attempt_scheduler::remove_from_queue(const attempt_id& attempt) {
    const auto found =
        std::find_if(queue_.begin(), queue_.end(),
                     [&](const auto& item) { return item.second == attempt; });
    if (found != queue_.end())
        queue_.erase(found);
}

void attempt_scheduler::finish(const attempt_id& attempt,
                               attempt_record& record, instant now) {
    running_.erase(attempt);
    record.state = phase::ended;
    schedule_pruning(attempt, record, now);
}

void attempt_scheduler::fail_running(const attempt_id& attempt,
                                     attempt_record& record,
                                     const std::string& detail, instant now,
                                     actions& out) {
    send_frame(record, run_failed{attempt, detail}, out);
    finish(attempt, record, now);
    start_queued(now, out);
}

void attempt_scheduler::send_frame(attempt_record& record, message frame,
                                   actions& out) {
    retain_frame(record, frame);
    out.push_back(send_to_entry{record.order.attempt.entry, std::move(frame)});
}

void attempt_scheduler::retain_frame(attempt_record& record,
                                     const message& frame) {
    if (!record.is_answer_retained)
        return;
    const std::size_t bytes = frame_bytes(frame);
    if (retained_bytes_ + bytes > max_retained_bytes) {
        drop_answer(record);
        return;
    }
    record.answer.push_back(frame);
    record.answer_bytes += bytes;
    retained_bytes_ += bytes;
}

void attempt_scheduler::drop_answer(attempt_record& record) {
    retained_bytes_ -= record.answer_bytes;
    record.answer_bytes = 0;
    record.answer.clear();
    record.is_answer_retained = false;
}

void attempt_scheduler::start_queued(instant now, actions& out) {
    while (running_.size() < capacity_ && !queue_.empty()) {
        const attempt_id attempt = queue_.begin()->second;
        attempt_record& record = attempts_.at(attempt);
        if (record.deadline <= now) {
            seal_queued(attempt, refusal::expired, now, out);
            continue;
        }
        queue_.erase(queue_.begin());
        record.state = phase::running;
        running_.insert(attempt);
        ++started_total_;
        const auto time_left =
            std::chrono::duration_cast<milliseconds>(record.deadline - now);
        out.push_back(start_attempt{record.order, time_left});
        record.order.body.clear();
    }
}

void attempt_scheduler::expire_queued(instant now, actions& out) {
    std::vector<attempt_id> expired;
    for (const auto& [position, attempt] : queue_) {
        if (attempts_.at(attempt).deadline <= now)
            expired.push_back(attempt);
    }
    for (const attempt_id& attempt : expired)
        seal_queued(attempt, refusal::expired, now, out);
}

void attempt_scheduler::cancel_overdue(instant now, actions& out) {
    std::vector<attempt_id> overdue;
    for (const attempt_id& attempt : running_) {
        const attempt_record& record = attempts_.at(attempt);
        if (record.deadline <= now && !record.order.non_idempotent)
            overdue.push_back(attempt);
    }
    for (const attempt_id& attempt : overdue) {
        out.push_back(cancel_attempt{attempt});
        fail_running(attempt, attempts_.at(attempt), "deadline passed", now,
                     out);
    }
}

void attempt_scheduler::prune_history(instant now) {
    while (!pruning_schedule_.empty() &&
           pruning_schedule_.begin()->first <= now) {
        const attempt_id attempt = pruning_schedule_.begin()->second;
        pruning_schedule_.erase(pruning_schedule_.begin());
        const auto found = attempts_.find(attempt);
        if (found == attempts_.end())
            continue;
        const auto entry = entries_.find(attempt.entry.name);
        if (entry != entries_.end() && entry->second.entry == attempt.entry)
            entry->second.pruned_up_to =
                std::max(entry->second.pruned_up_to, attempt.sequence);
        drop_answer(found->second);
        attempts_.erase(found);
    }
}

void attempt_scheduler::resend_answer(const attempt_id& attempt,
                                      const attempt_record& record,
                                      actions& out) const {
    if (record.state != phase::running && record.state != phase::ended)
        return;
    if (!record.is_answer_retained) {
        out.push_back(send_to_entry{
            attempt.entry,
            run_failed{attempt, "answer not retained: memory limit for "
                                "retained answers reached"}});
        return;
    }
    for (const message& frame : record.answer)
        out.push_back(send_to_entry{attempt.entry, frame});
}

} // namespace ospreystage
