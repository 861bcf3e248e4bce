#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Effect of a received record on the table.
enum class merge_outcome {
    ignored,    ///< Not newer than the known record.
    changed,    ///< A record was added or replaced.
    refuted,    ///< It declared this process failed; this process refutes it.
    superseded, ///< It describes a newer incarnation of this process.
};

/// Members of the fleet and the records still to be disseminated.
///
/// Records of one name are ordered by incarnation, then by counter, then by
/// state (alive, suspect, leaving, dead). Only the process itself raises its
/// counter. Among records of equal counter, `listed_leaving` stays set until
/// the process itself publishes a higher counter with it cleared.
class member_table {
  public:
    /// A member with the local state of its dissemination and probing.
    struct record {
        member value;
        std::uint32_t remaining_sends = 0; ///< Datagrams still to carry it.
        bool urgent = false;               ///< Not only `in_force` changed.
        instant changed_at{};              ///< Time of the last urgent change.
        std::optional<instant> unanswered_since; ///< First unanswered probe.
    };

    // ---- Construction ------------------------------------------------------

    explicit member_table(member self);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const member& self() const noexcept;

    /// Returns another member, or null if its name is not known.
    [[nodiscard]] const record* find(const std::string& name) const;

    /// Returns every member that is not dead, this process first.
    [[nodiscard]] std::vector<member> live() const;

    /// Returns every member, this process first.
    [[nodiscard]] std::vector<member> all() const;

    /// Returns the names of the other members that are dead, or that are not.
    [[nodiscard]] std::vector<std::string> names(bool dead) const;

    /// Returns the bit width of the number of members that are not dead.
    [[nodiscard]] std::uint32_t log_size() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Merges a record received from a peer.
    merge_outcome merge(const member& received, instant now);

    /// Suspects a member that did not answer a probe; returns true on a change.
    bool suspect(const std::string& name, instant now);

    /// Records that a member answered a probe.
    void on_probe_answered(const std::string& name);

    /// Declares members dead that did not answer for `limit`; returns them.
    std::vector<member> expire(instant now, std::chrono::nanoseconds limit);

    /// Removes members that have been dead for `retention`.
    void prune_dead(instant now, std::chrono::nanoseconds retention);

    /// Restarts all suspicion time-outs, as after a pause of this process.
    void restart_suspicion_timers(instant now);

    /// Sets whether the platform lists a member as leaving; true on a change.
    bool set_listed_leaving(const std::string& name, bool leaving, instant now);

    /// Publishes that this process is leaving; returns false if already so.
    bool set_leaving();

    /// Publishes the revision in force here.
    void set_in_force(std::uint64_t number);

    /// Selects the records for a datagram: this process, `first` if known,
    /// changed members, then the next members in a round-robin over all.
    [[nodiscard]] std::vector<member> select_records(std::size_t max_bytes,
                                                     const std::string& first);

  private:
    merge_outcome merge_self(const member& received);
    void schedule_sends(record& changed, bool urgent, instant now);

    member self_;
    std::map<std::string, record> others_;
    std::string rotation_cursor_; ///< Last member of the round-robin.
};

/// Returns an estimate of the encoded size of a member in bytes.
[[nodiscard]] std::size_t wire_bytes(const member& value) noexcept;

} // namespace ospreystage
