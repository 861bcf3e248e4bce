#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/fleet/store_position.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// Document of the operators, as it is stored.
struct site_document {
    std::string key;
    std::string text;          ///< Empty if it has been removed.
    std::int64_t revision = 0; ///< Of its last change.
    friend bool operator==(const site_document&,
                           const site_document&) = default;
};

/// Registration of an entry.
struct site_entry {
    std::string name;
    address callers;    ///< Accepts callers' requests.
    std::string region; ///< Empty if not known.
    friend bool operator==(const site_entry&, const site_entry&) = default;
};

/// Positions of the store up to which each part of a `site_copy` is complete;
/// 0: nothing is known.
struct site_revisions {
    store_position documents;
    store_position entries;
    store_position servers;
    friend bool operator==(const site_revisions&,
                           const site_revisions&) = default;
};

/// How long servers stay cold according to their registrations, as far as that
/// is not 0: nothing for those that do not say.
using cold_statements =
    absl::flat_hash_map<std::string, std::optional<milliseconds>>;

/// What is newer in one `site_copy` than in another.
struct site_changes {
    site_revisions revisions; ///< Of the newer state.
    /// Ages of the newer state when the reply was made; absent: never read.
    std::optional<milliseconds> documents_age;
    std::optional<milliseconds> servers_age;
    /// Time for which the lists of servers have come without a gap.
    std::optional<milliseconds> servers_unbroken;
    /// Time since the store was last reachable again after an outage.
    std::optional<milliseconds> outage_ended_ago;
    std::vector<site_document> documents; ///< Changed documents.
    /// All entries, if their revision is newer.
    std::vector<site_entry> entries;
    /// All servers, if their revision is newer.
    std::vector<backend_server> servers;
    /// Set in place of `servers` if the list is the one with this digest.
    std::optional<std::uint64_t> unchanged_servers;
    /// What servers state of how long they stay cold; absent if none states
    /// anything or the other copy does not say.
    std::optional<cold_statements> cold;
};

/// An entry's copy of what the platform's store says about the site.
///
/// Every part has the position of the store and the time at which it was read.
/// Copies of different entries are therefore comparable: an entry may bring its
/// copy up to date from another one instead of the store, whichever is newer,
/// and knows how old the result is. A part of a later era is newer whatever its
/// revision, and replaces all of the part that is held.
class site_copy {
  public:
    /// Lists of servers that were read further apart than `max_list_gap` leave
    /// a gap.
    explicit site_copy(milliseconds max_list_gap = milliseconds(1500))
        : max_list_gap_(max_list_gap) {}

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const site_revisions& revisions() const noexcept {
        return revisions_;
    }
    [[nodiscard]] const std::map<std::string, site_entry>&
    entries() const noexcept {
        return entries_;
    }
    [[nodiscard]] const std::vector<backend_server>& servers() const noexcept {
        return servers_;
    }

    /// Returns the age of the older one of documents and servers, or nothing if
    /// one of them was never read.
    [[nodiscard]] std::optional<milliseconds> age(instant now) const;

    /// Returns where the documents come from and when they were last known to
    /// be complete, or nothing if they were never read.
    [[nodiscard]] const std::optional<state_origin>&
    documents_origin() const noexcept {
        return documents_origin_;
    }

    /// Returns the digest of the list of servers. Heartbeats raise the
    /// revision of a list that stays the same.
    [[nodiscard]] std::uint64_t servers_digest() const noexcept {
        return servers_digest_;
    }

    /// Returns true if the document, or its removal, is known.
    [[nodiscard]] bool has_document(const std::string& key) const {
        return documents_.contains(key);
    }

    /// Returns the keys of the documents that begin with `prefix`, without
    /// those that have been removed.
    [[nodiscard]] std::vector<std::string>
    document_keys(const std::string& prefix) const;

    /// Returns the removals of the documents that begin with `prefix` and that
    /// a complete read at `revision` has not listed.
    [[nodiscard]] std::vector<site_document>
    removals(const std::string& prefix, const std::set<std::string>& listed,
             std::int64_t revision) const;

    /// Returns what has changed since `known`. The servers are left out if
    /// their digest is `known_servers`.
    [[nodiscard]] site_changes
    changes_since(const site_revisions& known, instant now,
                  std::optional<std::uint64_t> known_servers = {}) const;

    // ---- Reads of the store ------------------------------------------------

    /// Drops the documents of earlier eras.
    void on_documents_era(std::int64_t era);
    /// Returns true if the document is newer than the one held.
    bool on_document(const site_document& document);
    /// Keeps the text that is in force at this entry, whatever an older copy of
    /// the store says, until a newer document replaces it.
    void keep_document(const std::string& key, const std::string& text);
    /// Records that the documents are complete up to `position`.
    void on_documents_read(store_position position, instant read_at,
                           known_by way = known_by::read,
                           const std::string& source = "");
    void on_entry(const site_entry& entry);
    void on_entry_removed(const std::string& name);
    /// Replaces all entries.
    void on_entries_snapshot(const std::vector<site_entry>& entries);
    /// Records that the entries are complete up to `position`.
    void on_entries_read(store_position position);
    /// Replaces the servers by a complete list.
    void on_servers_read(std::vector<backend_server> listed,
                         store_position position, instant read_at);
    void on_outage_ended(instant at);

    // ---- Changes from another copy -----------------------------------------

    /// The parts of `site_changes` that were newer.
    struct applied_parts {
        std::vector<site_document> documents; ///< Newer documents.
        /// When the documents held before were last known to be complete.
        std::optional<instant> documents_known_at;
        bool has_entries = false;
        /// Where the newer servers come from.
        std::optional<state_origin> servers;
        /// Where it was read later that the servers are still those held.
        std::optional<state_origin> confirmed_servers;
        std::optional<instant> outage_ended; ///< Last outage, if newer.
    };
    /// Applies what is newer; `requested_at` is the time of the request to the
    /// entry `source`. Whether an outage concerns this entry is not decided
    /// here.
    applied_parts apply(const site_changes& changes, instant requested_at,
                        const std::string& source = "");

  private:
    void on_servers_read_at(instant read_at);
    void update_cold(const site_changes& changes);

    milliseconds max_list_gap_;
    site_revisions revisions_;
    std::map<std::string, site_document> documents_;
    std::map<std::string, site_entry> entries_;
    std::vector<backend_server> servers_;
    std::uint64_t servers_digest_ = 0;
    std::optional<state_origin> documents_origin_;
    std::optional<instant> servers_read_at_;
    /// Since then, no two lists of servers were read too far apart.
    std::optional<instant> servers_unbroken_since_;
    std::optional<instant> outage_ended_at_;
};

/// Encodes revisions or changes for another entry, without the eras, which
/// entries of earlier releases cannot read.
[[nodiscard]] std::string encode(const site_revisions& known);
[[nodiscard]] std::string encode(const site_changes& changes);

/// Decodes what `encode` returned; fails with `malformed` for other bytes.
[[nodiscard]] leaf::result<site_revisions>
decode_site_revisions(std::string_view bytes, const std::string& peer);
[[nodiscard]] leaf::result<site_changes>
decode_site_changes(std::string_view bytes, const std::string& peer);

} // namespace ospreystage
