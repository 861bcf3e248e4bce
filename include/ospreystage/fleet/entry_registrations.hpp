#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Registration of an entry in the store, or its removal.
struct registration_change {
    std::string name;
    std::int64_t revision = 0; ///< Of the registration.
    bool is_removed = false;
};

/// The registrations of entries in the store, and those of entries that have
/// left. An older copy of the store lists the latter again, at the same
/// revision, until their leases end there; an entry that registers again does
/// so at a later one.
class entry_registrations {
  public:
    /// Records a read of the store in `era`: all registrations, if it is a
    /// snapshot, or the changes since the last read.
    void on_read(const std::vector<registration_change>& changes,
                 std::int64_t era, bool is_snapshot);
    /// Records that the store has returned from an older copy, in which the
    /// leases of entries that had left end at `lapse`.
    void on_era_changed(instant lapse) { lapse_ = lapse; }

    /// Returns true if a registration is that of an entry which had left.
    [[nodiscard]] bool is_undone_departure(const std::string& name,
                                           std::int64_t revision,
                                           instant now) const;

  private:
    void depart(const std::string& name, std::int64_t revision);

    std::int64_t era_ = 0;
    std::optional<instant> lapse_;
    std::map<std::string, std::int64_t> registered_; ///< Revision by name.
    std::map<std::string, std::int64_t> departed_;   ///< The last revision.
};

} // namespace ospreystage
