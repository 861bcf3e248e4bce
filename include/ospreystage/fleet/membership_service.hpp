#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/fleet/membership.hpp>
#include <ospreystage/network/links.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ospreystage {

/// Service `membership`: runs the failure detector on the kernel thread.
///
/// Receives the detector's datagrams and resolves addresses for `links`.
/// Construct it before `links::start`.
class membership_service {
  public:
    using change_handler = std::function<void(const member&)>;
    using superseded_handler = std::function<void(const process_id& by)>;
    using revisions_handler = std::function<void(const revision_report&)>;

    // ---- Construction ------------------------------------------------------

    membership_service(kernel& core, const settings& configuration,
                       links& connections);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const member& self() const noexcept;

    /// Returns every member that is not dead, this process first.
    [[nodiscard]] std::vector<member> members() const;

    /// Returns the members of `role` that may receive new work.
    [[nodiscard]] std::vector<member> alive(process_role role) const;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Events ------------------------------------------------------------

    /// Calls `handler` when the record of a member (or this process) changes.
    void on_change(change_handler handler);

    /// Calls `handler` once, when a newer incarnation of this process is seen.
    void on_superseded(superseded_handler handler);

    /// Calls `handler` with the configuration revisions reported in datagrams.
    void on_revisions(revisions_handler handler);

    // ---- Modifiers ---------------------------------------------------------

    /// Publishes that this process is leaving.
    void set_leaving();

    void set_in_force(revision number);
    void set_revisions(revision document, std::vector<held_revision> held);
    void merge(const std::vector<member>& received);
    void on_vm_list(const std::vector<listed_vm>& vms);

    /// Queries the configuration revisions of a process; the answer arrives as
    /// a `revision_report`. Returns the query's sequence, or 0 if the address
    /// is not known.
    std::uint64_t query(const std::string& name);

  private:
    void apply(const membership::actions& actions);
    void apply(const send_ping& action);
    void apply(const send_ack& action);
    void apply(const member_changed& action);
    void apply(const superseded& action);
    void apply(const revision_report& action);

    links& connections_;
    membership detector_;
    std::vector<change_handler> change_handlers_;
    std::vector<superseded_handler> superseded_handlers_;
    std::vector<revisions_handler> revisions_handlers_;
};

} // namespace ospreystage
