#pragma once

#include <ospreystage/network/messages.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// Maximum number of witnesses that vote on one key.
inline constexpr std::size_t claim_voter_count = 3;

/// Returns the witnesses that vote on `key`: the first `claim_voter_count` in
/// the order of rendezvous hashing.
[[nodiscard]] std::vector<std::string>
claim_voters(const claim_key& key, const std::vector<std::string>& witnesses);

/// Returns the number of votes that form a majority of `voters`.
[[nodiscard]] constexpr std::size_t
claim_majority(std::size_t voters) noexcept {
    return voters / 2 + 1;
}

/// Result of the votes on a claim so far.
enum class claim_verdict : std::uint8_t {
    undecided,  ///< Further votes may decide the claim.
    won,        ///< The attempt may run.
    taken,      ///< Another attempt owns the key.
    key_reused, ///< A request with another body owns the key.
    split,      ///< No attempt can win a majority of these voters.
};

/// Counts the votes on a claim that an entry requested.
class claim_tally {
  public:
    // ---- Construction ------------------------------------------------------

    claim_tally() = default;

    /// Counts the votes on `requested`; `voters` are from `claim_voters`.
    claim_tally(claim_record requested, std::vector<std::string> voters);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const claim_record& requested() const noexcept;
    [[nodiscard]] const std::vector<std::string>& voters() const noexcept;

    /// Returns the voters without a reply, or whose reply was `recovering` or
    /// from an earlier incarnation.
    [[nodiscard]] std::vector<std::string> missing_voters() const;

    [[nodiscard]] claim_verdict verdict() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Adds a reply. Ignores a reply for another attempt or key, from a
    /// process that is not a voter, or from an earlier incarnation than one
    /// already known.
    void add(const claim_reply& reply);

  private:
    /// Returns true if no newer incarnation of the reply's witness is known.
    [[nodiscard]] bool is_current(const claim_reply& reply) const;
    [[nodiscard]] std::vector<const claim_reply*> valid_votes() const;

    claim_record requested_;
    std::vector<std::string> voters_;
    absl::flat_hash_map<std::string, claim_reply> replies_;
    /// Newest incarnation that any reply has reported, by witness name.
    absl::flat_hash_map<std::string, std::uint64_t> newest_incarnations_;
};

} // namespace ospreystage
