#pragma once

#include <ospreystage/rollout/rollout.hpp>
#include <ospreystage/store/kv_client.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Key of the document that was accepted last.
inline constexpr const char* current_rollout_key =
    "ospreystage/rollout/current";

/// Key of the copy of an accepted document that was replaced since.
[[nodiscard]] std::string history_key(revision number);

/// An operator's wish to replace the accepted document.
struct acceptance_request {
    rollout_document draft;
    revision based_on = 0; ///< Revision that the draft was edited from.
    std::string operator_name;
    std::string operation_id; ///< Chosen by the caller, unique, kept on retry.
    std::string accepted_at;  ///< RFC 3339 time, for people only.
};

/// A field that the draft and somebody else changed.
struct rollout_clash {
    std::string field;       ///< As in `rollout_change`.
    std::string ours;        ///< JSON text in the draft, empty if absent.
    std::string theirs;      ///< JSON text that is accepted, or empty.
    std::string changed_by;  ///< Operator of the other change.
    revision changed_in = 0; ///< Revision of the other change.

    friend bool operator==(const rollout_clash&,
                           const rollout_clash&) = default;
};

/// Why a draft was not accepted.
enum class rejection {
    invalid,  ///< The draft has problems, or names an unknown revision.
    outdated, ///< Another document was accepted; re-base the draft.
    /// The platform's service could not be used: this call wrote nothing, but
    /// an earlier call with the same operation id may have.
    unavailable,
    damaged, ///< The stored document cannot be read.
};

/// The document is accepted and lasts.
struct accepted {
    revision number = 0;
    std::string json; ///< The accepted document.
};

/// This call did not accept the document.
struct rejected {
    rejection reason = rejection::invalid;
    std::string detail;
    revision current = 0; ///< Accepted revision that was seen; 0 if unknown.
    std::vector<rollout_problem> problems;
    std::vector<rollout_clash> clashes;
};

/// The write may or may not have taken effect; ask again with the same id.
struct not_yet_known {
    std::string operation_id;
    std::string detail;
};

/// Outcome of an acceptance.
using acceptance_result = std::variant<accepted, rejected, not_yet_known>;

/// Read a key.
struct kv_read_call {
    std::string key;
};

/// Write a key if its `mod_revision` is `expected` (0: absent).
struct kv_write_call {
    std::string key;
    std::int64_t expected = 0;
    std::string value;
};

/// What an acceptance wants next: a call, or it is done.
using acceptance_step =
    std::variant<kv_read_call, kv_write_call, acceptance_result>;

/// What a call gave.
using kv_reply = std::variant<kv_reading, kv_written, kv_conflict, error>;

/// One acceptance, from the draft to its outcome.
///
/// Copies the current document to its history key, then replaces it by
/// compare-and-swap. The accepted revision is always the one after
/// `based_on`, so a lost answer is resolved by looking for the operation id
/// in that revision. The write is repeated only after a read has shown the
/// compared version unchanged; both writes then compare the same version, so
/// at most one of them takes effect. Pure: the caller makes the calls.
class acceptance {
  public:
    // ---- Construction ------------------------------------------------------

    explicit acceptance(acceptance_request request);

    /// Looks for an earlier acceptance; reads only.
    [[nodiscard]] static acceptance resolve(std::string operation_id,
                                            revision based_on);

    // ---- Steps -------------------------------------------------------------

    /// Returns the first step.
    [[nodiscard]] acceptance_step begin();

    /// Takes the reply to the last step and returns the next one.
    [[nodiscard]] acceptance_step next(const kv_reply& reply);

  private:
    struct reading_current {};
    struct reading_history {
        revision number = 0;
    };
    struct copying_history {};
    struct writing_current {};
    struct checking_current {};
    struct checking_history {};
    using state =
        std::variant<reading_current, reading_history, copying_history,
                     writing_current, checking_current, checking_history>;

    [[nodiscard]] acceptance_step on(const reading_current& at,
                                     const kv_reply& reply);
    [[nodiscard]] acceptance_step on(const reading_history& at,
                                     const kv_reply& reply);
    [[nodiscard]] acceptance_step on(const copying_history& at,
                                     const kv_reply& reply);
    [[nodiscard]] acceptance_step on(const writing_current& at,
                                     const kv_reply& reply);
    [[nodiscard]] acceptance_step on(const checking_current& at,
                                     const kv_reply& reply);
    [[nodiscard]] acceptance_step on(const checking_history& at,
                                     const kv_reply& reply);

    [[nodiscard]] acceptance_step start_write();
    [[nodiscard]] acceptance_step write_current();
    [[nodiscard]] acceptance_step read_chain(revision number);
    [[nodiscard]] acceptance_step check_after_failure(const error& failure);
    [[nodiscard]] acceptance_step
    decide_outcome(const std::optional<kv_entry>& entry);
    [[nodiscard]] acceptance_step reject_outdated();
    [[nodiscard]] acceptance_step reject(rejection reason, std::string detail);
    [[nodiscard]] acceptance_step outcome_unknown(std::string detail);

    acceptance_request request_;
    bool read_only_ = false;
    state state_;
    std::optional<kv_entry> current_entry_;
    rollout_document current_;            ///< Last one read; revision 0: none.
    std::vector<rollout_document> chain_; ///< From the base to `current_`.
    std::string written_json_;
    bool may_have_written_ = false;
    int failures_ = 0;
};

/// Names the fields that the draft changes and `chain` (the draft's base and
/// the documents accepted after it, in order) changes to another value.
[[nodiscard]] std::vector<rollout_clash>
find_clashes(const std::vector<rollout_document>& chain,
             const rollout_document& draft);

/// Returns the reason's name as it appears in JSON.
[[nodiscard]] const char* to_string(rejection reason) noexcept;

/// Makes the calls of an acceptance until it is done. Blocks.
[[nodiscard]] acceptance_result run(acceptance operation,
                                    const kv_client& client);

} // namespace ospreystage
