#pragma once

#include <cstdint>

namespace ospreystage {

/// Limits retries to a percentage of recent requests.
///
/// Each request earns a part of a retry; earned retries are kept up to a
/// bound, so that a failure of the whole fleet does not multiply its load.
class retry_budget {
  public:
    /// `percent` is the number of retries that 100 requests earn.
    explicit retry_budget(std::uint32_t percent) noexcept;

    /// Retries that may be made now.
    [[nodiscard]] std::uint32_t available() const noexcept;

    /// Earns for one new request.
    void deposit() noexcept;

    /// Takes one retry; returns false if there is none.
    [[nodiscard]] bool try_withdraw() noexcept;

  private:
    std::uint32_t percent_ = 0;
    std::uint32_t balance_hundredths_ =
        0; ///< Earned, in hundredths of a retry.
};

} // namespace ospreystage
