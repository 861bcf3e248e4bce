#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/rollout/revision_report.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Push a document to a peer.
struct push_document {
    std::string peer;
    document_push push;
};

/// Request a peer's document.
struct request_document {
    std::string peer;
    sync_request request;
};

/// Query a witness by datagram for the revision that it holds now; the caller
/// passes the datagram's sequence number to `on_witness_queried`.
struct query_witness {
    std::string witness;
};

/// Notification that a document is now in force on this process.
struct put_in_force {
    std::shared_ptr<const rollout_document> document;
};

/// A document from a push, a reply or the platform could not be parsed.
struct document_refused {
    error reason;
};

/// Action that the register requests of its caller.
using register_action =
    std::variant<push_document, request_document, query_witness, put_in_force,
                 document_refused>;

/// Decides which accepted document is in force on this process.
///
/// Holds the highest document received and puts it in force in two rounds. The
/// first round ends when a majority of the witnesses is reported to hold its
/// revision or a higher one. In the second round the register queries each of
/// these witnesses, and a majority must confirm, from the same incarnation,
/// that it still holds the revision. A majority then held it at one instant, so
/// every later majority includes a witness that holds it. Reports alone do not
/// prove this: they may date from different times, and the witnesses may have
/// restarted since. A revision that is in force at any other process needs no
/// further confirmation.
///
/// A process starts unrecovered: it puts nothing in force and, as a witness,
/// reports nothing. It recovers when it has read the platform's key-value
/// service, or when a majority of the witnesses, all of them recovered, have
/// replied. From then on it puts in force only documents at least as high as
/// the highest revision reported before it recovered. The revision in force
/// never decreases. Performs no I/O; the caller passes the current time.
class config_register {
  public:
    using actions = std::vector<register_action>;

    // ---- Construction ------------------------------------------------------

    /// `witnesses` are the configured names; `seed` seeds the random choice of
    /// the peers that are sent a `sync_request`.
    config_register(process_id self, process_role role,
                    std::vector<std::string> witnesses, std::uint64_t seed);

    // ---- Observers ---------------------------------------------------------

    /// Returns the document in force, or null if there is none yet.
    [[nodiscard]] std::shared_ptr<const rollout_document> in_force() const;

    /// Returns the highest document held, or null.
    [[nodiscard]] std::shared_ptr<const rollout_document> highest() const;

    /// Returns the revision of the highest document held; 0 if there is none.
    [[nodiscard]] revision document() const noexcept;

    /// Returns the highest known revision of each witness, including this
    /// process if it is one.
    [[nodiscard]] std::vector<held_revision> held() const;

    [[nodiscard]] bool recovered() const noexcept;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs ------------------------------------------------------------

    /// Sets the names of the live peers. Documents are exchanged with the
    /// witnesses and with a small, stable subset of these peers.
    void set_peers(std::vector<std::string> peers);

    /// Processes a read of the platform's key-value service; an empty `json`
    /// means that no document has been accepted yet.
    [[nodiscard]] actions on_platform_read(const std::string& json,
                                           instant now);

    /// Processes a document that was accepted through this process; a later
    /// one may have been accepted since.
    [[nodiscard]] actions on_accepted(const std::string& json);

    /// Processes a document pushed by a peer.
    [[nodiscard]] actions receive(const document_push& push, instant now);

    /// Processes a peer's reply to a `sync_request` of this process.
    [[nodiscard]] actions receive(const sync_reply& reply, instant now);

    /// Processes the revisions reported by a peer's datagram.
    [[nodiscard]] actions on_revision_report(const revision_report& report,
                                             instant now);

    /// Records that another process has revision `number` in force.
    [[nodiscard]] actions on_in_force_elsewhere(revision number);

    /// Records the sequence number of the datagram that queried `witness`.
    void on_witness_queried(const std::string& witness, std::uint64_t sequence);

    /// Returns the reply to a peer's `sync_request`; the caller fills in the
    /// members.
    [[nodiscard]] sync_reply answer(const sync_request& request) const;

    /// Retries unanswered requests; to be called about twice a second.
    [[nodiscard]] actions tick(instant now);

  private:
    /// Query to a witness that is reported to hold the document.
    struct confirmation {
        std::uint64_t incarnation = 0; ///< Incarnation in that report.
        std::uint64_t sequence = 0;    ///< Of the query; 0: not sent.
        bool confirmed = false;
    };
    /// Second round: queries to the witnesses reported to hold a revision.
    struct confirmation_round {
        revision number = 0;
        std::map<std::string, confirmation> witnesses;
    };

    void adopt_if_newer(const std::string& json, const std::string& from,
                        actions& out);
    void merge(const std::vector<held_revision>& held);
    void merge(const held_revision& received);
    void sync_with_witnesses(instant now, actions& out);
    void catch_up(const std::string& reporter, instant now, actions& out);
    void sync_periodically(instant now, actions& out);
    void send_sync_request(const std::string& peer, actions& out) const;
    [[nodiscard]] std::vector<std::string> sync_targets() const;
    void fan_out(const std::string& from, actions& out);
    void push_to(const std::string& peer, actions& out);
    void recover();
    void record_own_revision();
    [[nodiscard]] bool may_put_in_force() const;
    void begin_confirmation(actions& out);
    void confirm(const revision_report& report);
    [[nodiscard]] bool is_confirmed() const;
    void update_in_force(actions& out);
    [[nodiscard]] bool is_witness(const std::string& name) const;
    [[nodiscard]] std::size_t majority() const noexcept;

    process_id self_;
    process_role role_;
    std::set<std::string> witnesses_;
    std::mt19937_64 random_;
    std::vector<std::string> neighbours_; ///< Peers to exchange documents with.
    std::shared_ptr<const rollout_document> highest_;
    std::string highest_json_;
    std::shared_ptr<const rollout_document> in_force_;
    revision highest_reported_ = 0; ///< Highest revision reported or received.
    revision min_revision_ = 0;     ///< Lowest revision to put in force.
    revision in_force_elsewhere_ = 0; ///< Highest in force at any peer.
    std::optional<confirmation_round> round_;
    bool recovered_ = false;
    std::set<std::string>
        recovered_witnesses_; ///< Recovered witnesses that replied.
    std::map<std::string, held_revision> held_;
    std::optional<instant> last_witness_sync_;
    std::optional<instant> last_catch_up_;
    std::optional<instant> last_periodic_sync_;
    milliseconds sync_interval_;
};

} // namespace ospreystage
