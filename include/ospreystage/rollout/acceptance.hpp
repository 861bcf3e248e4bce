#pragma once

#include <ospreystage/rollout/rollout.hpp>
#include <ospreystage/store/kv_client.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Key of the document that is currently accepted.
inline constexpr const char* current_rollout_key =
    "ospreystage/rollout/current";

/// Returns the key that holds the copy of a replaced revision.
[[nodiscard]] std::string history_key(revision number);

/// An operator's request to replace the accepted document.
struct acceptance_request {
    rollout_document draft;
    revision based_on = 0; ///< Revision from which the draft was edited.
    std::string operator_name;
    std::string operation_id; ///< Unique id from the caller, the same on retry.
    std::string accepted_at;  ///< RFC 3339 time, informational only.
};

/// A field that both the draft and a concurrent edit changed.
struct rollout_clash {
    std::string field;       ///< Path as in `rollout_change`.
    std::string ours;        ///< JSON text in the draft; empty if absent.
    std::string theirs;      ///< Accepted JSON text; empty if absent.
    std::string changed_by;  ///< Operator who made the other change.
    revision changed_in = 0; ///< Revision that contains the other change.

    friend bool operator==(const rollout_clash&,
                           const rollout_clash&) = default;
};

/// Reason why a draft was not accepted.
enum class rejection {
    invalid, ///< The draft fails validation or is based on an unknown revision.
    outdated, ///< Another document was accepted first; rebase the draft.
    /// The platform's key-value service failed: this call wrote nothing, but
    /// an earlier call with the same operation id may have done so.
    unavailable,
    damaged, ///< The stored document cannot be parsed.
};

/// The document is accepted and durably stored.
struct accepted {
    revision number = 0;
    std::string json; ///< The accepted document.
};

/// The document was not accepted by this call.
struct rejected {
    rejection reason = rejection::invalid;
    std::string detail;
    revision current = 0; ///< Accepted revision that was read; 0 if unknown.
    std::vector<rollout_problem> problems;
    std::vector<rollout_clash> clashes;
};

/// The write may or may not have taken effect; retry with the same id.
struct not_yet_known {
    std::string operation_id;
    std::string detail;
};

/// Outcome of an acceptance.
using acceptance_result = std::variant<accepted, rejected, not_yet_known>;

/// A read of a key.
struct kv_read_call {
    std::string key;
};

/// A compare-and-swap write: takes effect only if the key's `mod_revision` is
/// `expected` (0: the key is absent).
struct kv_write_call {
    std::string key;
    std::int64_t expected = 0;
    std::string value;
};

/// Next step of an acceptance: a call to make, or the final result.
using acceptance_step =
    std::variant<kv_read_call, kv_write_call, acceptance_result>;

/// Reply to a call.
using kv_reply = std::variant<kv_reading, kv_written, kv_conflict, error>;

/// State machine of one acceptance, from the draft to its result.
///
/// Copies the current document to its history key, then replaces it by
/// compare-and-swap. The accepted revision is always the one after
/// `based_on`, so a lost answer is resolved by looking for the operation id
/// in that revision. The write is retried only after a read has shown that the
/// compared version is unchanged; both writes then compare the same version,
/// so at most one of them takes effect. Performs no I/O itself: the caller
/// makes the calls.
class acceptance {
  public:
    // ---- Construction ------------------------------------------------------

    explicit acceptance(acceptance_request request);

    /// Creates a read-only operation that looks up the result of an earlier
    /// acceptance.
    [[nodiscard]] static acceptance resolve(std::string operation_id,
                                            revision based_on);

    // ---- Steps -------------------------------------------------------------

    /// Validates the request and returns the first step.
    [[nodiscard]] acceptance_step begin();

    /// Processes the reply to the last step and returns the next step.
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
    rollout_document current_; ///< Last document read; revision 0: none.
    std::vector<rollout_document> chain_; ///< Base to `current_`, in order.
    std::string written_json_;
    bool may_have_written_ = false;
    int failures_ = 0;
};

/// Returns the fields that both the draft and `chain` change, to different
/// values. `chain` holds the draft's base and the documents accepted after it,
/// in order.
[[nodiscard]] std::vector<rollout_clash>
find_clashes(const std::vector<rollout_document>& chain,
             const rollout_document& draft);

/// Returns the name of the reason in JSON.
[[nodiscard]] const char* to_string(rejection reason) noexcept;

/// Makes the calls of an acceptance until its result is known. Blocks.
[[nodiscard]] acceptance_result run(acceptance operation,
                                    const kv_client& client);

} // namespace ospreystage
