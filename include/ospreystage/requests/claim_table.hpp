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

/// Maximum number of claims that one witness stores.
inline constexpr std::size_t max_claims = 500'000;

/// Claimed idempotency keys, as stored by a witness.
///
/// Performs no I/O and has no clock or thread. The first attempt recorded for
/// a key owns the key until the claim is released or `claim_retention` has
/// passed. A witness that has just started does not vote on a key before
/// `may_vote` allows it.
class claim_table {
  public:
    /// Recovery request and the witness to send it to.
    struct outgoing_recover_request {
        std::string witness;
        recover_request body;
    };

    // ---- Construction ------------------------------------------------------

    /// `witnesses` are the names of all witnesses, including this one.
    claim_table(process_id self, std::vector<std::string> witnesses,
                milliseconds retention, instant now,
                std::size_t limit = max_claims);

    // ---- Observers ---------------------------------------------------------

    /// Returns true if this witness may vote on every key: every other witness
    /// was recovered and has sent its records, or the retention has passed
    /// since the start, or nothing can have been claimed before the start.
    [[nodiscard]] bool is_recovered(instant now) const;

    /// Returns true if this witness may vote on `key`: this witness is
    /// recovered, or the other voters of `key` have sent their records. Only
    /// voters of a key store claims for it.
    [[nodiscard]] bool may_vote(const claim_key& key, instant now) const;

    [[nodiscard]] std::size_t size() const noexcept;

    /// Returns counters and the state of the recovery for the state dump.
    [[nodiscard]] nlohmann::json dump(instant now) const;

    // ---- Inputs ------------------------------------------------------------

    /// Ends the recovery without records: the platform's service confirmed
    /// after the start of this process that no rollout was ever accepted, so no
    /// attempt can have run.
    void skip_recovery();

    /// Records or looks up a claim and votes.
    ///
    /// The reply is marked `recovering` if this witness may not vote on the
    /// key: during the recovery, if the table is full, if the recovered
    /// records of the key conflict, or if the request names another witness
    /// or incarnation.
    [[nodiscard]] claim_reply on_claim(const claim_request& request,
                                       instant now);

    /// Removes the claim of an attempt that did not run and never will.
    void on_release(const claim_release& release, instant now);

    /// Returns the pages of the reply to another witness's recovery request.
    [[nodiscard]] std::vector<recover_reply>
    on_recover_request(const recover_request& request, instant now);

    /// Stores one page of a reply to this witness's recovery request.
    void on_recover_reply(const recover_reply& reply, instant now);

    /// Evicts expired claims; returns the recovery requests that are due.
    [[nodiscard]] std::vector<outgoing_recover_request> tick(instant now);

  private:
    struct stored_claim {
        claim_record record;
        instant expires{};
    };
    /// Claims for one key. More than one claim conflict: the witness does not
    /// vote on the key.
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
