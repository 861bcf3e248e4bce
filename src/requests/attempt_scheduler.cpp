#include <ospreystage/requests/attempt_scheduler.hpp>

#include <algorithm>

namespace ospreystage {

attempt_scheduler::attempt_scheduler(process_id self,
                                     const settings& configuration)
    : self_(std::move(self)), capacity_(configuration.backend_server.capacity),
      queue_limit_(configuration.backend_server.queue) {}

// ---- Observers -------------------------------------------------------------

std::uint32_t attempt_scheduler::running() const noexcept {
    return static_cast<std::uint32_t>(running_.size());
}

std::uint32_t attempt_scheduler::queued() const noexcept {
    return static_cast<std::uint32_t>(queue_.size());
}

bool attempt_scheduler::idle() const noexcept {
    return running_.empty() && queue_.empty();
}

bool attempt_scheduler::is_leaving() const noexcept {
    return leaving_;
}

bool attempt_scheduler::is_version_in_use(const digest& version) const {
    const auto needs = [&](const attempt_id& attempt) {
        return attempts_.at(attempt).order.version == version;
    };
    return std::any_of(running_.begin(), running_.end(), needs) ||
           std::any_of(queue_.begin(), queue_.end(),
                       [&](const auto& item) { return needs(item.second); });
}

nlohmann::json attempt_scheduler::dump() const {
    nlohmann::json state;
    state["running"] = nlohmann::json::array();
    for (const attempt_id& attempt : running_)
        state["running"].push_back(to_string(attempt));
    state["queued"] = nlohmann::json::array();
    for (const auto& [position, attempt] : queue_)
        state["queued"].push_back(to_string(attempt));
    state["entries"] = nlohmann::json::object();
    for (const auto& [name, record] : entries_)
        state["entries"][name] = {{"incarnation", record.entry.incarnation},
                                  {"epoch", record.epoch}};
    state["service"] = service_.name;
    state["versions"] = service_.versions;
    state["in_force"] = service_.in_force;
    state["leaving"] = leaving_;
    state["remembered"] = attempts_.size();
    state["kept_bytes"] = retained_bytes_;
    state["started_total"] = started_total_;
    state["refused_total"] = refused_total_;
    return state;
}

// ---- Service ---------------------------------------------------------------

attempt_scheduler::actions
attempt_scheduler::set_service(scheduled_service service, instant now) {
    service_ = std::move(service);
    actions out;
    std::vector<std::pair<attempt_id, refusal>> refused;
    for (const auto& [position, attempt] : queue_) {
        const auto reason = find_service_refusal(attempts_.at(attempt).order);
        if (reason)
            refused.emplace_back(attempt, *reason);
    }
    for (const auto& [attempt, reason] : refused)
        seal_queued(attempt, reason, now, out);
    return out;
}

void attempt_scheduler::set_leaving() {
    leaving_ = true;
}

// ---- Entries ---------------------------------------------------------------

attempt_scheduler::actions
attempt_scheduler::on_run_order(const process_id& entry, std::uint64_t epoch,
                                const run_order& order, instant now) {
    actions out;
    const auto known = attempts_.find(order.attempt);
    if (known != attempts_.end()) {
        if (known->second.state == phase::sealed)
            refuse(order, refusal::sealed, now, out);
        return out;
    }
    const auto reason = find_refusal(entry, epoch, order);
    if (reason) {
        refuse(order, *reason, now, out);
        return out;
    }
    update_entry(entry, epoch);
    attempt_record record;
    record.state = phase::queued;
    record.order = order;
    record.epoch = epoch;
    record.deadline = now + milliseconds{order.deadline_ms};
    record.is_answer_retained = order.non_idempotent;
    attempts_.emplace(order.attempt, std::move(record));
    queue_.emplace(queue_position{order.priority, ++arrival_count_},
                   order.attempt);
    start_queued(now, out);
    return out;
}

attempt_scheduler::actions
attempt_scheduler::on_seal_order(const process_id& entry,
                                 const seal_order& order, instant now) {
    actions out;
    update_entry(entry, 0);
    const auto known = attempts_.find(order.attempt);
    if (known == attempts_.end()) {
        run_order unknown;
        unknown.attempt = order.attempt;
        refuse(unknown, refusal::sealed, now, out);
        return out;
    }
    switch (known->second.state) {
    case phase::queued:
        seal_queued(order.attempt, refusal::sealed, now, out);
        break;
    case phase::sealed:
        out.push_back(send_to_entry{
            entry, run_refused{order.attempt, refusal::sealed, 0}});
        break;
    case phase::running:
    case phase::ended:
        out.push_back(send_to_entry{entry, seal_failed{order.attempt}});
        break;
    }
    start_queued(now, out);
    return out;
}

attempt_scheduler::actions
attempt_scheduler::on_cancel_order(const process_id& entry,
                                   const cancel_order& order, instant now) {
    actions out;
    const auto known = attempts_.find(order.attempt);
    if (known == attempts_.end() || known->second.state == phase::queued)
        return on_seal_order(entry, seal_order{order.attempt}, now);
    attempt_record& record = known->second;
    if (record.state != phase::running || record.order.non_idempotent)
        return out;
    out.push_back(cancel_attempt{order.attempt});
    finish(order.attempt, record, now);
    start_queued(now, out);
    return out;
}

attempt_scheduler::link_result
attempt_scheduler::on_link_up(const process_id& entry, std::uint64_t epoch,
                              instant now) {
    link_result result;
    const entry_record& latest = update_entry(entry, epoch);
    if (latest.entry != entry || latest.epoch != epoch)
        return result;
    std::vector<attempt_id> queued;
    std::vector<attempt_id> cancelled;
    for (auto& [attempt, record] : attempts_) {
        if (attempt.entry.name != entry.name)
            continue;
        const bool current = attempt.entry == entry;
        if (record.state == phase::queued)
            queued.push_back(attempt);
        if (record.state == phase::running && !record.order.non_idempotent)
            cancelled.push_back(attempt);
        if (!current)
            continue;
        if (record.state == phase::running || record.state == phase::ended)
            result.started.push_back(attempt);
        if (record.order.non_idempotent)
            resend_answer(attempt, record, result.actions_after_hello);
    }
    for (const attempt_id& attempt : queued)
        seal_queued(attempt, refusal::stale_epoch, now,
                    result.actions_after_hello);
    for (const attempt_id& attempt : cancelled) {
        result.actions_after_hello.push_back(cancel_attempt{attempt});
        finish(attempt, attempts_.at(attempt), now);
    }
    start_queued(now, result.actions_after_hello);
    return result;
}

attempt_scheduler::actions
attempt_scheduler::on_link_down(const process_id& entry, std::uint64_t epoch,
                                instant now) {
    // The entry may reconnect with a higher epoch. Running attempts continue,
    // so that their answers complete; deadlines bound those that remain.
    static_cast<void>(entry);
    static_cast<void>(epoch);
    static_cast<void>(now);
    return {};
}

// ---- Back end --------------------------------------------------------------

attempt_scheduler::actions
attempt_scheduler::on_begin(const attempt_id& attempt, std::uint16_t status,
                            const std::string& content_type,
                            const digest& version, instant now) {
    actions out;
    attempt_record* record = find_running(attempt);
    if (record == nullptr)
        return out;
    const bool wrong_version =
        service_.engine && version != record->order.version;
    if (wrong_version || record->has_begun) {
        out.push_back(cancel_attempt{attempt});
        fail_running(
            attempt, *record,
            wrong_version
                ? "back end answered with a version other than the ordered one"
                : "back end started its answer twice",
            now, out);
        return out;
    }
    record->has_begun = true;
    send_frame(*record, answer_begin{attempt, status, content_type, version},
               out);
    return out;
}

attempt_scheduler::actions attempt_scheduler::on_part(const attempt_id& attempt,
                                                      std::string data,
                                                      instant now) {
    actions out;
    attempt_record* record = find_running(attempt);
    if (record == nullptr)
        return out;
    if (!record->has_begun) {
        out.push_back(cancel_attempt{attempt});
        fail_running(attempt, *record,
                     "answer part received before the head of the answer", now,
                     out);
        return out;
    }
    send_frame(*record,
               answer_part{attempt, record->part_count++, std::move(data)},
               out);
    return out;
}

attempt_scheduler::actions attempt_scheduler::on_end(const attempt_id& attempt,
                                                     instant now) {
    actions out;
    attempt_record* record = find_running(attempt);
    if (record == nullptr)
        return out;
    if (!record->has_begun) {
        fail_running(attempt, *record,
                     "answer ended before its head was received", now, out);
        return out;
    }
    send_frame(*record, answer_end{attempt, record->part_count}, out);
    finish(attempt, *record, now);
    start_queued(now, out);
    return out;
}

attempt_scheduler::actions
attempt_scheduler::on_failed(const attempt_id& attempt, bool reached,
                             const std::string& detail, instant now) {
    actions out;
    attempt_record* record = find_running(attempt);
    if (record == nullptr)
        return out;
    if (reached) {
        fail_running(attempt, *record, detail, now, out);
        return out;
    }
    running_.erase(attempt);
    record->state = phase::sealed;
    drop_answer(*record);
    schedule_pruning(attempt, *record, now);
    ++refused_total_;
    out.push_back(send_to_entry{
        attempt.entry, run_refused{attempt, refusal::back_end_unreachable, 0}});
    start_queued(now, out);
    return out;
}

// ---- Time ------------------------------------------------------------------

attempt_scheduler::actions attempt_scheduler::tick(instant now) {
    actions out;
    expire_queued(now, out);
    cancel_overdue(now, out);
    start_queued(now, out);
    prune_history(now);
    return out;
}

} // namespace ospreystage
