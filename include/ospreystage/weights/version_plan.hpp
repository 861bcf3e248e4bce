#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/ids.hpp>
#include <ospreystage/weights/manifest.hpp>
#include <ospreystage/weights/swarm.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace ospreystage {

/// Versions that one engine may have to switch to.
///
/// A version may be published while the previous one is still being
/// distributed. Both are fetched, the older one first because its time limit
/// ends first; the engine gets the newest version that is held.
class version_plan {
  public:
    /// Published version and its distribution state at this agent.
    struct version_record {
        std::uint64_t number = 0;
        digest id; ///< Manifest digest; empty until the manifest is known.
        manifest description;
        bool is_held = false; ///< Every chunk is held.
    };

    // ---- Events ------------------------------------------------------------

    /// Records a version that was published at `published_at`; if the
    /// publication was not observed, the time is an estimate that a later call
    /// replaces. Of several observations the earliest counts: the others were
    /// late. Returns true if the version is new.
    bool on_published(std::uint64_t number, instant published_at,
                      bool is_observed);

    void on_manifest(std::uint64_t number, manifest description);

    /// Records that the manifest of a version can no longer be had; drops the
    /// version unless its manifest is known.
    void on_manifest_gone(std::uint64_t number);

    /// Records that every chunk of a version is held; drops older versions.
    /// Returns false if the version is not planned.
    bool on_held(const digest& id);

    /// Sets the version that the engine uses; 0: none.
    void on_in_use(std::uint64_t number);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const version_record* find(std::uint64_t number) const;

    /// Returns the newest version that is held, or the newest one if none is
    /// held; null if there is no version.
    [[nodiscard]] const version_record* target() const;

    /// Returns the versions to fetch, ordered by the end of their time limits.
    [[nodiscard]] std::vector<requested_version> requested() const;

    /// Returns the publication time of the oldest version that is newer than
    /// the one in use; its time limit ends first.
    [[nodiscard]] std::optional<instant> oldest_publication() const;

    /// Returns the planned versions by their numbers.
    [[nodiscard]] const std::map<std::uint64_t, version_record>&
    versions() const noexcept {
        return versions_;
    }

    [[nodiscard]] std::uint64_t in_use() const noexcept { return in_use_; }

    /// Returns true if every planned version is held.
    [[nodiscard]] bool is_complete() const;

  private:
    std::map<std::uint64_t, version_record> versions_;
    struct publication {
        instant at{};
        bool is_observed = false; ///< Otherwise `at` is an estimate.
    };

    /// Newer than the version in use.
    std::map<std::uint64_t, publication> published_;
    std::uint64_t in_use_ = 0;
};

} // namespace ospreystage
