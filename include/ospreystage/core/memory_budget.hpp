#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace ospreystage {

/// What memory is held for, on behalf of a peer.
enum class memory_account : std::uint8_t {
    heads,     ///< Requests whose head is incomplete, and buffered input.
    bodies,    ///< Requests whose body is incomplete.
    requests,  ///< Complete requests, kept until they are answered.
    answers,   ///< Output that callers have not read.
    forwarded, ///< Output that servers have not read.
    frames,    ///< Input and output of connections between processes.
};

inline constexpr std::size_t memory_accounts = 6;

/// Returns the name of an account for logs and metrics.
[[nodiscard]] const char* to_string(memory_account account) noexcept;

/// Memory of a process that may be held for peers, by account, for clients that
/// nobody controls.
///
/// Near the limit, peers that hold much are refused first. The rest of the
/// budget is a reserve for small requests, which are always admitted; if it is
/// used up, the owner closes connections until `is_exhausted` returns false.
class memory_budget {
  public:
    /// Largest holding of a small request: a head at its limit, and the input
    /// behind it.
    static constexpr std::size_t small_bytes = 32 * 1024;

    /// `max_bytes` of 0: not limited.
    explicit memory_budget(std::size_t max_bytes = 0) noexcept
        : max_bytes_(max_bytes) {}

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool is_limited() const noexcept { return max_bytes_ > 0; }
    [[nodiscard]] std::size_t max_bytes() const noexcept { return max_bytes_; }
    [[nodiscard]] std::size_t used() const noexcept { return used_; }
    [[nodiscard]] std::size_t used(memory_account account) const noexcept;
    [[nodiscard]] std::size_t peak(memory_account account) const noexcept;
    [[nodiscard]] std::uint64_t refusals(memory_account account) const noexcept;

    /// Returns the bytes that large holdings of an account may reach in total.
    [[nodiscard]] std::size_t share(memory_account account) const noexcept;

    /// Returns true if no further large holdings are admitted.
    [[nodiscard]] bool is_short() const noexcept;

    /// Returns true if the reserve for small requests is used up as well.
    [[nodiscard]] bool is_exhausted() const noexcept;

    // ---- Modifiers ---------------------------------------------------------

    /// Sets the limit; holdings that exceed it remain until they are released.
    void set_max_bytes(std::size_t max_bytes) noexcept {
        max_bytes_ = max_bytes;
    }

    /// Returns true if a peer may hold `bytes`, which are charged already.
    /// Counts a refusal otherwise.
    [[nodiscard]] bool admit(memory_account account,
                             std::size_t bytes) noexcept;

    /// Changes the use of an account; use `memory_charge`.
    void add(memory_account account, std::size_t bytes) noexcept;
    void remove(memory_account account, std::size_t bytes) noexcept;

  private:
    struct account_record {
        std::size_t used = 0;
        std::size_t peak = 0;
        std::uint64_t refusals = 0;
    };

    [[nodiscard]] const account_record&
    record(memory_account account) const noexcept;
    [[nodiscard]] account_record& record(memory_account account) noexcept;

    std::size_t max_bytes_;
    std::size_t used_ = 0;
    std::array<account_record, memory_accounts> accounts_;
};

/// Bytes that one owner holds of an account; released with this object. The
/// budget must outlive it.
class memory_charge {
  public:
    memory_charge() = default;
    memory_charge(memory_budget* budget, memory_account account,
                  std::size_t bytes = 0) noexcept;
    ~memory_charge();
    memory_charge(memory_charge&& other) noexcept;
    memory_charge& operator=(memory_charge&& other) noexcept;

    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

    /// Replaces the charge. Has no effect without a budget.
    void set(std::size_t bytes) noexcept;
    void set(memory_account account, std::size_t bytes) noexcept;

    /// Returns true if the budget admits the present charge.
    [[nodiscard]] bool admit() const noexcept;

  private:
    memory_budget* budget_ = nullptr;
    memory_account account_ = memory_account::heads;
    std::size_t bytes_ = 0;
};

} // namespace ospreystage
