#pragma once

#include <cstdint>

namespace ospreystage {

/// Limits retries to a percentage of recent requests.
///
/// Each request adds a fraction of a retry to the balance. The balance is
/// limited, so that a failure of the whole fleet does not multiply its load.
class retry_budget {
  public:
    /// `percent` is the number of retries that 100 requests add.
    explicit retry_budget(std::uint32_t percent) noexcept;

    /// Returns the number of retries that may be made now.
    [[nodiscard]] std::uint32_t available() const noexcept;

    /// Adds the share of one new request.
    void deposit() noexcept;

    /// Takes one retry from the balance; returns false if there is none.
    [[nodiscard]] bool try_withdraw() noexcept;

  private:
    std::uint32_t percent_ = 0;
    std::uint32_t balance_hundredths_ =
        0; ///< Earned, in hundredths of a retry.
};

} // namespace ospreystage
