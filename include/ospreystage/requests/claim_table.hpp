#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>

#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace ospreystage {

/// Claims that one witness remembers at once.
inline constexpr std::size_t max_claims = 500'000;

/// Records of claimed idempotency keys, on the side of a witness.
///
/// Pure: it holds no socket, clock or thread. The first attempt that is
/// recorded for a key stays its owner until it is released or
/// `claim_retention` has passed. A witness that has just started does not
/// vote before it is recovered; see `is_recovered`.
class claim_table {
  public:
    /// Recovery request for one other witness.
    struct outgoing_recover_request {
        std::string witness;
        recover_request body;
    };

    // ---- Construction ------------------------------------------------------

    /// `witnesses` are the names of all witnesses, this one included.
    claim_table(process_id self, std::vector<std::string> witnesses,
                milliseconds retention, instant now,
                std::size_t limit = max_claims);

    // ---- Observers ---------------------------------------------------------

    /// Returns true if this witness may vote: every other witness that was
    /// recovered has sent its records, or the retention has passed since the
    /// start, or nothing can have been claimed before the start.
    [[nodiscard]] bool is_recovered(instant now) const;

    /// Returns true if this witness may vote on `key`: it is recovered, or the
    /// other voters of that key have sent their records. Only those can hold a
    /// claim for it.
    [[nodiscard]] bool may_vote(const claim_key& key, instant now) const;

    [[nodiscard]] std::size_t size() const noexcept;

    /// Describes counts and the recovery for the state dump.
    [[nodiscard]] nlohmann::json dump(instant now) const;

    // ---- Inputs ------------------------------------------------------------

    /// Ends the recovery: the platform's service said after the start of this
    /// process that no rollout was ever accepted, so nothing can have run.
    void skip_recovery();

    /// Records or looks up a claim and votes.
    ///
    /// The reply says `recovering` if this witness may not vote on the key:
    /// during the recovery, if the table is full, if the recovered records of
    /// the key contradict each other, or if another incarnation was meant.
    [[nodiscard]] claim_reply on_claim(const claim_request& request,
                                       instant now);

    /// Removes the claim of an attempt that was not and never will be run.
    void on_release(const claim_release& release, instant now);

    /// Returns the pages that answer another witness's recovery.
    [[nodiscard]] std::vector<recover_reply>
    on_recover_request(const recover_request& request, instant now);

    /// Takes one page of an answer to this witness's recovery.
    void on_recover_reply(const recover_reply& reply, instant now);

    /// Forgets old records; returns the recovery requests that are due.
    [[nodiscard]] std::vector<outgoing_recover_request> tick(instant now);

  private:
    struct stored_claim {
        claim_record record;
        instant expires{};
    };
    /// More than one claim for a key contradict each other: no vote.
    using claim_list = std::vector<stored_claim>;

    void record_incarnation(const process_id& witness);
    void store(const claim_record& record, instant now);
    [[nodiscard]] bool is_voter(const claim_key& key,
                                const std::string& witness) const;
    void evict_expired(instant now);
    [[nodiscard]] std::vector<process_id> newest_incarnations() const;

    process_id self_;
    std::vector<std::string> witnesses_;
    milliseconds retention_{};
    std::size_t limit_ = 0;
    instant started_{};
    bool recovery_skipped_ = false;
    absl::flat_hash_map<claim_key, claim_list> claims_;
    absl::btree_set<std::tuple<instant, claim_key, attempt_id>> expiry_;
    /// Newest incarnation of each other witness.
    absl::flat_hash_map<std::string, std::uint64_t> newest_incarnations_;
    absl::flat_hash_set<std::string> recovered_from_;
    instant next_recovery_at_{};
    std::uint64_t refused_full_ = 0;
};

} // namespace ospreystage
