#include <ospreystage/requests/retry_budget.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

constexpr std::uint32_t hundredths_per_retry = 100;

/// Maximum balance in retries; also the initial balance unless the percentage
/// is 0.
constexpr std::uint32_t max_stored_retries = 10;

constexpr std::uint32_t max_hundredths =
    max_stored_retries * hundredths_per_retry;

} // namespace

retry_budget::retry_budget(std::uint32_t percent) noexcept
    : percent_(percent),
      balance_hundredths_(percent == 0 ? 0 : max_hundredths) {}

std::uint32_t retry_budget::available() const noexcept {
    return balance_hundredths_ / hundredths_per_retry;
}

void retry_budget::deposit() noexcept {
    balance_hundredths_ =
        std::min(balance_hundredths_ + percent_, max_hundredths);
}

bool retry_budget::try_withdraw() noexcept {
    if (balance_hundredths_ < hundredths_per_retry)
        return false;
    balance_hundredths_ -= hundredths_per_retry;
    return true;
}

} // namespace ospreystage
