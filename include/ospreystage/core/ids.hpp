#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// Identifies one run of a process by its configured name and incarnation.
///
/// The incarnation increases with every start under the same name, so that
/// messages to or from an earlier run are told apart from those of this run.
struct process_id {
    std::string name;
    std::uint64_t incarnation = 0; ///< Microseconds since the epoch at start.

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(name, incarnation);
    }
    // clang-tidy takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const process_id&, const process_id&) = default;
    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const process_id& id) {
        return Hash::combine(std::move(state), id.name, id.incarnation);
    }
};

/// Identifies one attempt at a request by its entry and a sequence number.
///
/// The sequence number is unique within the run of the entry.
///
/// An attempt is dispatched to at most one agent, at most once.
struct attempt_id {
    process_id entry;
    std::uint64_t sequence = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
        archive(entry, sequence);
    }
    // clang-tidy takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const attempt_id&, const attempt_id&) = default;
    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const attempt_id& id) {
        return Hash::combine(std::move(state), id.entry, id.sequence);
    }
};

/// Revision number of an accepted rollout document; 0 if there is none yet.
using revision = std::uint64_t;

/// SHA-256 digest in lower-case hexadecimal (64 characters).
///
/// The digest of its manifest identifies a model version.
using digest = std::string;

/// Computes the SHA-256 of the `size` bytes at `bytes`.
[[nodiscard]] digest sha256(const void* bytes, std::size_t size);

/// Computes the SHA-256 of `text`.
[[nodiscard]] digest sha256(const std::string& text);

/// Returns true if `text` consists of 64 lower-case hexadecimal digits.
[[nodiscard]] bool is_digest(const std::string& text) noexcept;

/// Returns an incarnation from the system clock, in microseconds since the
/// epoch.
[[nodiscard]] std::uint64_t new_incarnation();

/// Formats as `name#incarnation`.
[[nodiscard]] std::string to_string(const process_id& id);

/// Formats as `name#incarnation/sequence`.
[[nodiscard]] std::string to_string(const attempt_id& id);

/// Orders `candidates` by the rendezvous (highest random weight) hash of `key`.
///
/// Processes with the same candidates compute the same order. Removing a
/// candidate changes the first choice only of the keys that ranked it first.
[[nodiscard]] std::vector<std::string>
rendezvous_order(const std::string& key, std::vector<std::string> candidates);

} // namespace ospreystage
