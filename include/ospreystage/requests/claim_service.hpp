#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/network/links.hpp>
#include <ospreystage/requests/claim_table.hpp>

namespace ospreystage {

/// Shell of the claim table on an entry that is a witness.
class claim_service {
  public:
    claim_service(kernel& core, const settings& configuration);

    /// Subscribes to links and starts the tick; before `links::start`.
    void start();

    [[nodiscard]] nlohmann::json dump() const;

    /// Votes on a claim of this entry's own.
    [[nodiscard]] claim_reply vote(const claim_request& request);

    /// Withdraws a claim of this entry's own.
    void release(const claim_release& claim);

    /// The platform's service said after this start that nothing was ever
    /// accepted.
    void skip_recovery();

  private:
    kernel& core_;
    links& links_;
    claim_table table_;
};

} // namespace ospreystage
