#include <ospreystage/core/memory_budget.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Part of the budget from which large holdings are refused. The rest admits
/// 160 small requests at the smallest limit in use, 64 MB.
constexpr std::size_t large_percent = 75;
constexpr std::size_t all_percent = 100;

/// Parts of the budget for the large holdings of each account, in the order of
/// `memory_account`. Their sum exceeds the budget, since a load usually fills
/// one or two accounts.
constexpr std::array<std::size_t, memory_accounts> share_percent{50, 60, 60,
                                                                 50, 50, 40};

constexpr std::array<const char*, memory_accounts> account_names{
    "heads", "bodies", "requests", "answers", "forwarded", "frames"};

} // namespace

const char* to_string(memory_account account) noexcept {
    return account_names[static_cast<std::size_t>(account)];
}

const memory_budget::account_record&
memory_budget::record(memory_account account) const noexcept {
    return accounts_[static_cast<std::size_t>(account)];
}

memory_budget::account_record&
memory_budget::record(memory_account account) noexcept {
    return accounts_[static_cast<std::size_t>(account)];
}

std::size_t memory_budget::used(memory_account account) const noexcept {
    return record(account).used;
}

std::size_t memory_budget::peak(memory_account account) const noexcept {
    return record(account).peak;
}

std::uint64_t memory_budget::refusals(memory_account account) const noexcept {
    return record(account).refusals;
}

std::size_t memory_budget::share(memory_account account) const noexcept {
    return max_bytes_ / all_percent *
           share_percent[static_cast<std::size_t>(account)];
}

bool memory_budget::is_short() const noexcept {
    return is_limited() && used_ > max_bytes_ / all_percent * large_percent;
}

bool memory_budget::is_exhausted() const noexcept {
    return is_limited() && used_ > max_bytes_;
}

bool memory_budget::admit(memory_account account, std::size_t bytes) noexcept {
    if (!is_limited() || bytes <= small_bytes)
        return true;
    if (!is_short() && used(account) <= share(account))
        return true;
    ++record(account).refusals;
    return false;
}

void memory_budget::add(memory_account account, std::size_t bytes) noexcept {
    account_record& changed = record(account);
    changed.used += bytes;
    changed.peak = std::max(changed.peak, changed.used);
    used_ += bytes;
}

void memory_budget::remove(memory_account account, std::size_t bytes) noexcept {
    record(account).used -= bytes;
    used_ -= bytes;
}

// ---- Charges ---------------------------------------------------------------

memory_charge::memory_charge(memory_budget* budget, memory_account account,
                             std::size_t bytes) noexcept
    : budget_(budget), account_(account) {
    set(bytes);
}

memory_charge::~memory_charge() {
    set(0);
}

memory_charge::memory_charge(memory_charge&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)), account_(other.account_),
      bytes_(std::exchange(other.bytes_, 0)) {}

memory_charge& memory_charge::operator=(memory_charge&& other) noexcept {
    if (this == &other)
        return *this;
    set(0);
    budget_ = std::exchange(other.budget_, nullptr);
    account_ = other.account_;
    bytes_ = std::exchange(other.bytes_, 0);
    return *this;
}

void memory_charge::set(std::size_t bytes) noexcept {
    set(account_, bytes);
}

void memory_charge::set(memory_account account, std::size_t bytes) noexcept {
    if (budget_ == nullptr || (account == account_ && bytes == bytes_))
        return;
    budget_->remove(account_, bytes_);
    account_ = account;
    bytes_ = bytes;
    budget_->add(account_, bytes_);
}

bool memory_charge::admit() const noexcept {
    return budget_ == nullptr || budget_->admit(account_, bytes_);
}

} // namespace ospreystage
