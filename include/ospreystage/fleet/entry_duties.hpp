#pragma once

#include <ospreystage/fleet/site_copy.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace ospreystage {

/// Chooses the entries of each region that deal with a VM on behalf of the
/// others.
///
/// In each region a bounded number of entries, the relays, share the VMs, so
/// that what they pass on to the rest of the region travels in few, full
/// datagrams. VMs are spread over a fixed number of slots and each slot has an
/// entry, both by rendezvous hashing. So all entries agree on the choice
/// without messages, and an entry that joins or leaves changes it for few VMs.
class entry_duties {
  public:
    /// Entries per region and VM. With several, one that is gone and not yet
    /// off the list leaves no gap.
    static constexpr std::size_t entries_per_vm = 3;
    /// Most relays of a region. Each sends a digest to every entry of its
    /// region at a fixed interval, so the datagrams of a region grow with its
    /// entries, not with their square.
    static constexpr std::size_t relays_per_region = 9;

    void set_entries(const std::map<std::string, site_entry>& entries);

    /// Returns the entries of `region` that deal with the VM at `host`, best
    /// first; at most `entries_per_vm`, none if the region has no entries. The
    /// result is valid until the next call.
    [[nodiscard]] const std::vector<const site_entry*>&
    responsible(const std::string& region, const std::string& host) const;

    /// Returns the entries that send assignments to the VM at `host` of
    /// `region`: those that deal with it and, if the region has too few
    /// entries, others, so that the VM does not depend on a single one.
    [[nodiscard]] std::vector<const site_entry*>
    assigners(const std::string& region, const std::string& host) const;

    /// Returns all entries of a region.
    [[nodiscard]] std::vector<const site_entry*>
    entries_of(const std::string& region) const;

    /// Returns the entries of all regions.
    [[nodiscard]] std::vector<const site_entry*> all() const;

    [[nodiscard]] std::size_t size_of(const std::string& region) const;

    /// Returns the regions that have entries.
    [[nodiscard]] std::vector<std::string> regions() const;

  private:
    struct region_record {
        void set_entries(std::map<std::string, site_entry> listed);
        [[nodiscard]] std::vector<std::string>
        slots_of(const std::string& host) const;

        std::map<std::string, site_entry> entries;
        /// Names of the relays by the slots of the VMs.
        std::map<std::string, std::string> relays;
        /// Choices so far by host: they are needed for each report.
        mutable absl::flat_hash_map<std::string, std::vector<const site_entry*>>
            chosen;
    };

    std::map<std::string, region_record> by_region_;
};

/// Returns true if `entries` has one called `name`.
[[nodiscard]] bool has_entry(const std::vector<const site_entry*>& entries,
                             const std::string& name);

} // namespace ospreystage
