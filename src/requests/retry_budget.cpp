#include <ospreystage/requests/retry_budget.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

constexpr std::uint32_t hundredths_per_retry = 100;

/// Retries kept at most; also what a new budget starts with.
constexpr std::uint32_t max_kept_retries = 10;

constexpr std::uint32_t max_hundredths =
    max_kept_retries * hundredths_per_retry;

} // namespace

retry_budget::retry_budget(std::uint32_t percent) noexcept
    : percent_(percent), hundredths_(percent == 0 ? 0 : max_hundredths) {}

std::uint32_t retry_budget::available() const noexcept {
    return hundredths_ / hundredths_per_retry;
}

void retry_budget::earn() noexcept {
    hundredths_ = std::min(hundredths_ + percent_, max_hundredths);
}

bool retry_budget::spend() noexcept {
    if (hundredths_ < hundredths_per_retry)
        return false;
    hundredths_ -= hundredths_per_retry;
    return true;
}

} // namespace ospreystage
