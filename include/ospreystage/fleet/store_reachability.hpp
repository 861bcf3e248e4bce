#pragma once

#include <ospreystage/core/clock.hpp>

#include <optional>

namespace ospreystage {

/// Whether the platform's store answers this entry, as the ends of all its
/// calls show.
///
/// A call that fails after a later one was answered says something about its
/// connection only.
class store_reachability {
  public:
    /// Shortest time without an answer whose end starts what waits. Refusals
    /// that alternate with answers, as at a limit of calls, end no pauses.
    static constexpr milliseconds min_loss{250};

    [[nodiscard]] bool is_lost() const noexcept {
        return lost_since_.has_value();
    }

    /// Records that a call that began at `began` has failed.
    void on_failure(instant began);

    /// Records the answer to a call. Returns true if it ends a loss, so that
    /// what waits should start at once.
    bool on_answer(instant now);

  private:
    std::optional<instant> answered_at_;
    /// Begin of the first call that has failed since.
    std::optional<instant> lost_since_;
};

} // namespace ospreystage
