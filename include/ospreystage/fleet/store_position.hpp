#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace ospreystage {

/// Point in the history of the platform's store.
///
/// Revisions count within an era: a store that returns from an older copy
/// starts a new era, in which it gives out revisions again.
struct store_position {
    std::int64_t era = 0; ///< 0: the store names none.
    std::int64_t revision = 0;

    constexpr store_position() = default;
    /// A revision of a store that names no era.
    constexpr store_position(std::int64_t at_revision)
        : revision(at_revision) {}
    constexpr store_position(std::int64_t in_era, std::int64_t at_revision)
        : era(in_era), revision(at_revision) {}

    friend constexpr bool operator==(const store_position&,
                                     const store_position&) = default;
    friend constexpr bool operator<(const store_position& left,
                                    const store_position& right) {
        return left.era != right.era ? left.era < right.era
                                     : left.revision < right.revision;
    }
    friend constexpr bool operator>(const store_position& left,
                                    const store_position& right) {
        return right < left;
    }
    friend constexpr bool operator>=(const store_position& left,
                                     const store_position& right) {
        return !(left < right);
    }
};

/// What shows that a state of the store was current at a time.
enum class known_by : std::uint8_t {
    read,  ///< A read of all of it.
    watch, ///< An answer to a watch of its changes.
    entry, ///< Another entry.
};

[[nodiscard]] constexpr const char* to_string(known_by way) noexcept {
    switch (way) {
    case known_by::read:
        return "read";
    case known_by::watch:
        return "watch";
    case known_by::entry:
        return "entry";
    }
    return "unnamed";
}

/// Where a state of the store comes from.
struct state_origin {
    store_position position;
    instant read_at{};  ///< Begin of the read.
    std::string source; ///< Entry that passed it on; empty: the store itself.
    /// Time since which the source has had such states without a gap; absent if
    /// it does not say.
    std::optional<instant> unbroken_since{};
    known_by way = known_by::read;
};

} // namespace ospreystage
