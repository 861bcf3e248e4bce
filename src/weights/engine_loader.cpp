#include <ospreystage/weights/engine_loader.hpp>

#include <algorithm>

namespace ospreystage {

void engine_loader::request_version(std::uint64_t version, std::uint32_t chunks,
                                    instant switch_at) {
    if (version != requested_ || chunks != chunks_)
        staged_.reset();
    requested_ = version;
    chunks_ = chunks;
    switch_at_ = switch_at;
}

void engine_loader::on_held(std::uint64_t version) {
    held_ = version;
}

void engine_loader::on_report(const engine_state_report& report, instant) {
    // Only a start of the engine resets its count of orders.
    const bool is_restarted =
        report_ && (report_->started_unix_ms != report.started_unix_ms ||
                    report_->orders > report.orders);
    if (is_restarted) {
        staged_.reset();
        is_leaving_ = false;
        paused_until_ = {};
    }
    if (report.is_leaving)
        on_leaving();
    if (report.is_loading || report.version >= requested_)
        announced_at_.reset();
    report_ = report;
}

void engine_loader::on_leaving() {
    is_leaving_ = true;
    announced_at_.reset();
}

void engine_loader::on_pause(instant end) {
    paused_until_ = std::max(paused_until_, end);
}

void engine_loader::on_checked(const chunk_bitmap& good, instant began,
                               instant ended) {
    staged_ = good;
    valid_until_ =
        std::min(ended + limits_.max_check_age, began + limits_.max_read_age);
    const auto excess = (ended - began) / limits_.max_check_time;
    parallel_reads_ = static_cast<std::uint32_t>(std::min<std::int64_t>(
        parallel_reads_ * (1 + excess), limits_.max_parallel_reads));
}

void engine_loader::on_done(bool succeeded, instant now) {
    is_busy_ = false;
    if (!succeeded)
        backoff_until_ = now + limits_.retry_backoff;
}

loader_action engine_loader::next(instant now) {
    if (is_busy_ || now < backoff_until_ || !report_ || requested_ == 0)
        return std::monostate{};
    if (is_leaving_ || now < paused_until_)
        return std::monostate{};
    if (report_->version >= requested_ || report_->is_loading ||
        held_ != requested_)
        return std::monostate{};
    const auto act = [this](loader_action action) {
        is_busy_ = true;
        return action;
    };
    if (!staged_ || staged_->size() != chunks_)
        return act(check_staged{parallel_reads_});
    if (!staged_->is_full()) {
        stage_chunks missing;
        for (std::uint32_t index = 0; index < chunks_; ++index)
            if (!staged_->test(index))
                missing.indexes.push_back(index);
        staged_.reset(); // Compared again before any order.
        return act(missing);
    }
    const bool is_serving = report_->version != 0;
    if (is_serving && now < switch_at_)
        return std::monostate{};
    if (is_serving && !announced_at_) {
        announced_at_ = now;
        return act(announce_switch{});
    }
    if (is_serving && now - *announced_at_ < limits_.announce_lead)
        return std::monostate{};
    staged_.reset();
    if (now > valid_until_)
        return act(check_staged{parallel_reads_});
    return act(order_switch{requested_, report_->orders, valid_until_});
}

milliseconds switch_delay(std::size_t rank, std::size_t count,
                          milliseconds first, milliseconds last) {
    if (count < 2 || last <= first)
        return first;
    const auto step = (last - first) / static_cast<std::int64_t>(count - 1);
    return first + step * static_cast<std::int64_t>(std::min(rank, count - 1));
}

} // namespace ospreystage
