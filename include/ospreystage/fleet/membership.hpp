#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/fleet/member_table.hpp>
#include <ospreystage/fleet/vm_list.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/rollout/revision_report.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Action: send a ping as one datagram.
struct send_ping {
    address to;
    gossip_ping datagram;
};

/// Action: send an acknowledgement as one datagram.
struct send_ack {
    address to;
    gossip_ack datagram;
};

/// A member (or this process) was added, or its record changed.
struct member_changed {
    member value;
};

/// A newer incarnation of this process is running; this one must exit.
struct superseded {
    process_id by;
};

/// Actions and events that the failure detector returns to its caller.
using membership_action = std::variant<send_ping, send_ack, member_changed,
                                       superseded, revision_report>;

/// Failure detector and member table based on the SWIM protocol.
///
/// Probes one member per interval, indirectly if it does not answer, and
/// piggybacks changed records on the probes, so that the cost per process does
/// not grow with the fleet. Also probes dead members and absent witnesses
/// periodically, so that the sides of a healed partition rejoin. Does no I/O:
/// time is an argument and datagrams are returned as actions.
class membership {
  public:
    using actions = std::vector<membership_action>;

    // ---- Construction ------------------------------------------------------

    /// `interval` is the time between probes; `seed` randomises their order.
    membership(member self, std::vector<witness_settings> witnesses,
               milliseconds interval, std::uint64_t seed);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const member& self() const noexcept;

    /// Returns every member that is not dead, this process first.
    [[nodiscard]] std::vector<member> members() const;

    /// Returns the members of `role` that may receive new work: alive, neither
    /// suspected nor leaving, and not listed as leaving.
    [[nodiscard]] std::vector<member> alive(process_role role) const;

    /// Returns the peer address of a member or witness.
    [[nodiscard]] std::optional<address>
    address_of(const std::string& name) const;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs ------------------------------------------------------------

    /// Runs the periodic work; call it at least twice per interval.
    [[nodiscard]] actions tick(instant now);

    [[nodiscard]] actions receive(const address& from, const gossip_ping& ping,
                                  instant now);
    [[nodiscard]] actions receive(const address& from, const gossip_ack& ack,
                                  instant now);

    /// Pings a member or witness outside the probing rounds, without members.
    ///
    /// Returns one `send_ping`, which holds the sequence of the query, or no
    /// action if the address of `name` is not known.
    [[nodiscard]] actions query(const std::string& name);

    /// Merges the members of a `sync_reply`.
    [[nodiscard]] actions merge(const std::vector<member>& received,
                                instant now);

    /// Applies the platform's list; VMs that are not listed keep their state.
    [[nodiscard]] actions on_vm_list(const std::vector<listed_vm>& vms,
                                     instant now);

    /// Publishes that this process is leaving; final for its incarnation.
    [[nodiscard]] actions set_leaving();

    /// Publishes the revision in force here.
    void set_in_force(revision number);

    /// Sets the configuration revisions that datagrams report.
    void set_revisions(revision document, std::vector<held_revision> held);

  private:
    struct probe_state {
        std::string name;
        std::uint64_t sequence = 0;
        bool indirect = false; ///< Indirect probes were sent.
    };
    struct relay_state {
        address requester;
        std::uint64_t sequence = 0; ///< Sequence of the requester's ping.
        std::string target;
        instant since{};
    };

    void end_period(instant now, actions& out);
    void begin_period(instant now, actions& out);
    void probe_indirectly(actions& out);
    void probe_unreachable(actions& out);
    void recover_from_pause(instant now);
    [[nodiscard]] std::optional<std::string> next_target();
    [[nodiscard]] bool is_outdated(const process_id& sender) const;
    void merge_into(const std::vector<member>& received, instant now,
                    actions& out);
    void ping(const address& to, const std::string& name, gossip_ping datagram,
              actions& out);
    void acknowledge(const address& to, const process_id& requester,
                     gossip_ack datagram, actions& out);
    void answer_query(const address& to, gossip_ack datagram, actions& out);
    void relay(const address& from, const gossip_ping& ping, instant now,
               actions& out);
    [[nodiscard]] std::size_t member_bytes() const;

    member_table table_;
    std::vector<witness_settings> witnesses_;
    milliseconds interval_;
    std::mt19937_64 random_;
    std::uint64_t next_sequence_;
    std::uint64_t periods_ = 0;
    std::optional<instant> last_tick_;
    instant period_start_{};
    std::optional<probe_state> probe_;
    std::vector<std::string> probe_order_; ///< Remaining in this round.
    absl::flat_hash_map<std::uint64_t, relay_state> relays_;
    bool superseded_ = false;
    revision document_ = 0;
    std::vector<held_revision> held_;
};

/// Returns true if the member may receive new work.
[[nodiscard]] bool takes_new_work(const member& value) noexcept;

/// Returns the name of a state as it appears in dumps.
[[nodiscard]] const char* to_string(member_state state) noexcept;

} // namespace ospreystage
