#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/network/links.hpp>
#include <ospreystage/requests/claim_table.hpp>

namespace ospreystage {

/// Runs the claim table of an entry that is a witness: connects it to links
/// and the timer.
class claim_service {
  public:
    claim_service(kernel& core, const settings& configuration);

    /// Subscribes to links and starts the timer; call before `links::start`.
    void start();

    [[nodiscard]] nlohmann::json dump() const;

    /// Votes on a claim made by this entry itself.
    [[nodiscard]] claim_reply vote(const claim_request& request);

    /// Removes a claim made by this entry itself.
    void release(const claim_release& claim);

    /// Skips the recovery, since the platform's service confirmed after
    /// this start that no rollout was ever accepted.
    void skip_recovery();

  private:
    kernel& core_;
    links& links_;
    claim_table table_;
};

} // namespace ospreystage
