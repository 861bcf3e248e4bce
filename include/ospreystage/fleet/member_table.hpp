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

/// What a heard record did to the table.
enum class merge_outcome {
    ignored,    ///< Older than, or the same as, what is known.
    changed,    ///< A record was added or replaced.
    refuted,    ///< It wrongly suspected this process, which now contradicts.
    superseded, ///< It names a newer incarnation of this process.
};

/// Members of the fleet and the records that still have to be spread.
///
/// Records of one name are ordered by incarnation, then by counter, then by
/// state (alive, suspect, leaving, dead). Only the process itself raises its
/// counter. At equal counters a listing as leaving holds until the process
/// itself publishes a higher counter without it.
class member_table {
  public:
    /// A member and what this process does about it.
    struct record {
        member value;
        std::uint32_t remaining_sends = 0; ///< Datagrams that still carry it.
        bool urgent = false;               ///< More changed than `in_force`.
        instant changed_at{}; ///< Time of the last change of state.
        std::optional<instant> unanswered_since; ///< First unanswered probe.
    };

    // ---- Construction ------------------------------------------------------

    explicit member_table(member self);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const member& self() const noexcept;

    /// Finds another member; null if its name is not known.
    [[nodiscard]] const record* find(const std::string& name) const;

    /// Returns every member that is not dead, this process first.
    [[nodiscard]] std::vector<member> live() const;

    /// Returns every member, this process first.
    [[nodiscard]] std::vector<member> all() const;

    /// Names of the other members, dead or not dead.
    [[nodiscard]] std::vector<std::string> names(bool dead) const;

    /// Rounded-up binary logarithm of the number of members that are not dead.
    [[nodiscard]] std::uint32_t log_size() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Takes in a record heard from a peer.
    merge_outcome merge(const member& received, instant now);

    /// Notes that a member did not answer a probe; returns true on a change.
    bool suspect(const std::string& name, instant now);

    /// Notes that a member answered a probe.
    void on_probe_answered(const std::string& name);

    /// Declares members dead that stayed silent for `limit`; returns them.
    std::vector<member> expire(instant now, std::chrono::nanoseconds limit);

    /// Removes members that have been dead for `retention`.
    void prune_dead(instant now, std::chrono::nanoseconds retention);

    /// Restarts the silence of every member, as after a pause of this process.
    void restart_suspicion_timers(instant now);

    /// Sets whether the platform lists a member as leaving; true on a change.
    bool set_listed_leaving(const std::string& name, bool leaving, instant now);

    /// Publishes that this process leaves; returns false if it did before.
    bool set_leaving();

    /// Publishes the revision in force here.
    void set_in_force(std::uint64_t number);

    /// Picks records for a datagram: this process, `first` if it is known,
    /// changed members, then the next ones of a rotation over all.
    [[nodiscard]] std::vector<member> select_records(std::size_t max_bytes,
                                                     const std::string& first);

  private:
    merge_outcome merge_self(const member& received);
    void schedule_sends(record& changed, bool urgent, instant now);

    member self_;
    std::map<std::string, record> others_;
    std::string rotation_cursor_; ///< Last member that the rotation took.
};

/// Returns the encoded size of a member in bytes.
[[nodiscard]] std::size_t wire_bytes(const member& value) noexcept;

} // namespace ospreystage
