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

/// The versions that one engine may have to switch to.
///
/// A version may be published while the one before it is still on its way. Both
/// are fetched, the older one first, since it is due first; the newest one
/// that is held is what the engine gets.
class version_plan {
  public:
    /// A version that was published, and how far this agent has got with it.
    struct version_record {
        std::uint64_t number = 0;
        digest id; ///< Of its manifest; empty until that is known.
        manifest description;
        bool is_held = false; ///< Every chunk.
    };

    // ---- Events ------------------------------------------------------------

    /// A version was published at `published_at`; if that was not observed, the
    /// time is a guess that a later call replaces. Returns true if it is new.
    bool on_published(std::uint64_t number, instant published_at,
                      bool is_observed);

    void on_manifest(std::uint64_t number, manifest description);

    /// Every chunk of a version is held: older ones are not needed any more.
    /// Returns false if the version is not planned.
    bool on_held(const digest& id);

    /// The engine works with this version; 0: with none.
    void on_in_use(std::uint64_t number);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const version_record* find(std::uint64_t number) const;

    /// Returns the newest version that is held, or else the newest one; null
    /// before the first.
    [[nodiscard]] const version_record* target() const;

    /// Returns the versions to fetch, those that are due first before others.
    [[nodiscard]] std::vector<requested_version> requested() const;

    /// Returns when the oldest version was published that is newer than the one
    /// in use; its time limit ends first.
    [[nodiscard]] std::optional<instant> oldest_publication() const;

    [[nodiscard]] std::uint64_t in_use() const noexcept { return in_use_; }

    /// Returns true if every planned version is held.
    [[nodiscard]] bool is_complete() const;

  private:
    std::map<std::uint64_t, version_record> versions_;
    std::map<std::uint64_t, instant> published_; ///< Newer than the one in use.
    std::uint64_t in_use_ = 0;
};

} // namespace ospreystage
