#pragma once

#include <ospreystage/network/messages.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// Witnesses that vote on one key.
inline constexpr std::size_t claim_voter_count = 3;

/// Returns the witnesses that vote on `key`: the first three by rendezvous.
[[nodiscard]] std::vector<std::string>
claim_voters(const claim_key& key, const std::vector<std::string>& witnesses);

/// Returns how many of `voters` make a majority.
[[nodiscard]] constexpr std::size_t
claim_majority(std::size_t voters) noexcept {
    return voters / 2 + 1;
}

/// State of a vote on a claim.
enum class claim_verdict : std::uint8_t {
    undecided,  ///< More votes may decide it.
    won,        ///< The attempt may run.
    taken,      ///< Another attempt holds the key.
    key_reused, ///< Another request with a different body holds the key.
    split,      ///< No attempt can get a majority of these voters.
};

/// Counts the votes on one claim, on the side of the entry.
class claim_tally {
  public:
    // ---- Construction ------------------------------------------------------

    claim_tally() = default;

    /// Counts for `wanted`; `voters` are from `claim_voters`.
    claim_tally(claim_record requested, std::vector<std::string> voters);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] const claim_record& requested() const noexcept;
    [[nodiscard]] const std::vector<std::string>& voters() const noexcept;

    /// Voters whose vote is missing or void.
    [[nodiscard]] std::vector<std::string> missing_voters() const;

    [[nodiscard]] claim_verdict verdict() const;

    // ---- Modifiers ---------------------------------------------------------

    /// Takes a reply. One for another attempt, of no voter, or of an older
    /// incarnation than one taken before is ignored.
    void add(const claim_reply& reply);

  private:
    /// Returns true if no reply names a newer incarnation of its witness.
    [[nodiscard]] bool is_current(const claim_reply& reply) const;
    [[nodiscard]] std::vector<const claim_reply*> valid_votes() const;

    claim_record requested_;
    std::vector<std::string> voters_;
    absl::flat_hash_map<std::string, claim_reply> replies_;
    /// Newest incarnation heard of, per witness.
    absl::flat_hash_map<std::string, std::uint64_t> newest_incarnations_;
};

} // namespace ospreystage
