#include <ospreystage/serving/retry_window.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

/// Part of the budget that is used. The margin allows for requests in flight,
/// by which an entry's view of a window differs from what the fleet sends in
/// it.
constexpr double usable_budget_share = 0.7;

} // namespace

retry_window::retry_window(const options& limits) : limits_(limits) {}

void retry_window::on_request(instant now) {
    drop_expired(now);
    requests_.push_back(now);
}

bool retry_window::has_budget(std::uint32_t entries, instant now) {
    drop_expired(now);
    const double share =
        limits_.allowance / static_cast<double>(std::max(entries, 1U));
    const double budget =
        usable_budget_share *
        (limits_.ratio * static_cast<double>(requests_.size()) + share);
    return static_cast<double>(retries_.size()) + 1 <= budget;
}

bool retry_window::spend(std::uint32_t entries, instant now) {
    if (!has_budget(entries, now))
        return false;
    retries_.push_back(now);
    return true;
}

void retry_window::drop_expired(instant now) {
    const instant first = now - limits_.window;
    while (!requests_.empty() && requests_.front() < first)
        requests_.pop_front();
    while (!retries_.empty() && retries_.front() < first)
        retries_.pop_front();
}

} // namespace ospreystage
