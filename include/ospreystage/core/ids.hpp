#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// One run of a process: its configured name and its incarnation.
///
/// The incarnation grows with every start of the same name, so that nothing
/// sent to or by an earlier run is taken for a message of this one.
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

/// One try of one request: the entry that made it and a number of its own.
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

/// Number of an accepted rollout document; 0 means none was accepted yet.
using revision = std::uint64_t;

/// SHA-256 in lower-case hexadecimal (64 characters).
///
/// The digest of a manifest is the identity of a model version.
using digest = std::string;

/// Computes the SHA-256 of `bytes`.
[[nodiscard]] digest sha256(const void* bytes, std::size_t size);

/// Computes the SHA-256 of `text`.
[[nodiscard]] digest sha256(const std::string& text);

/// Returns true if `text` has the form of a digest.
[[nodiscard]] bool is_digest(const std::string& text) noexcept;

/// Returns the incarnation for a process that starts now.
[[nodiscard]] std::uint64_t new_incarnation();

/// Formats as `name#incarnation`.
[[nodiscard]] std::string to_string(const process_id& id);

/// Formats as `name#incarnation/sequence`.
[[nodiscard]] std::string to_string(const attempt_id& id);

/// Orders `candidates` by rendezvous (highest random weight) hash of `key`.
///
/// Every process that knows the same candidates computes the same order, and
/// removing a candidate moves only the keys that it was first for.
[[nodiscard]] std::vector<std::string>
rendezvous_order(const std::string& key, std::vector<std::string> candidates);

} // namespace ospreystage
