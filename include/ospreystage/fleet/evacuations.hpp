#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Data centres that the operator has evacuated: no new attempt is sent to
/// their servers.
///
/// What the store says counts at once, with one exception. A store that returns
/// from an older copy begins a new era; an evacuation that the copy lacks stays
/// in force for the time in which servers register again.
class evacuations {
  public:
    struct options {
        /// Time for which an evacuation that an older copy lacks stays.
        milliseconds hold_time{2200};
    };

    explicit evacuations(const options& limits) : limits_(limits) {}
    evacuations() : evacuations(options{}) {}

    /// What an update has changed, for log lines.
    struct changes {
        std::vector<std::string> begun;
        std::vector<std::string> held; ///< Lacking in an older copy.
        std::vector<std::string> ended;
    };

    // ---- Events ------------------------------------------------------------

    /// Records that the store has begun `era`, before its content is known.
    void on_era(std::int64_t era, instant now);

    /// Takes over the data centres that the store lists as evacuated; others
    /// are not.
    changes update(const std::vector<std::string>& listed, std::int64_t era,
                   instant now);

    /// Ends the evacuations whose time has run out; returns them.
    std::vector<std::string> advance(instant now);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] bool contains(const std::string& data_centre,
                                instant now) const;
    /// Returns the time since an evacuation was learned, or nothing if it is
    /// not in force.
    [[nodiscard]] std::optional<milliseconds>
    age(const std::string& data_centre, instant now) const;
    [[nodiscard]] std::size_t size(instant now) const;
    [[nodiscard]] bool is_empty() const noexcept { return records_.empty(); }

  private:
    struct record {
        instant learned_at{};
        std::int64_t era = 0; ///< In which the store listed it last.
        std::optional<instant> remove_at; ///< Set while it is held.
    };

    [[nodiscard]] static bool is_in_force(const record& held, instant now) {
        return !held.remove_at || now < *held.remove_at;
    }

    options limits_;
    std::int64_t era_ = 0;
    instant era_began_{}; ///< When this process learned of it.
    std::map<std::string, record> records_; ///< By data centre.
};

} // namespace ospreystage
