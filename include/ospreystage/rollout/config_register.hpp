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

/// Send a document to a peer.
struct push_document {
    std::string peer;
    document_push push;
};

/// Ask a peer for its document.
struct request_document {
    std::string peer;
    sync_request request;
};

/// Ask a witness, by a datagram, what it holds now; report the question with
/// `on_witness_asked`.
struct query_witness {
    std::string witness;
};

/// A document is now in force on this process.
struct put_in_force {
    std::shared_ptr<const rollout_document> document;
};

/// A push, an answer or the platform's value could not be used.
struct document_refused {
    error reason;
};

/// What the register asks of its shell.
using register_action =
    std::variant<push_document, request_document, query_witness, put_in_force,
                 document_refused>;

/// Decides which accepted document is in force on this process.
///
/// Holds the highest document heard of. Puts it in force in two rounds: once
/// it has heard that a majority of the witnesses hold it or a higher one, it
/// asks each of them, and a majority has to answer from the same incarnation
/// that it still does. So a majority held it at one instant, and every later
/// majority knows it; reports alone may be of different times, from witnesses
/// that have restarted since. That a revision is in force at any other process
/// is proof as well.
///
/// A process starts unrecovered: it puts nothing in force, and as a witness
/// reports nothing, before it has read the platform's service or has heard
/// from a majority of the witnesses that are recovered themselves; it then
/// needs a document at least as high as the highest it heard of. What is in
/// force never goes down. Pure: time is an argument.
class config_register {
  public:
    using actions = std::vector<register_action>;

    // ---- Construction ------------------------------------------------------

    /// `witnesses` are the names of the settings; `seed` picks push targets.
    config_register(process_id self, process_role role,
                    std::vector<std::string> witnesses, std::uint64_t seed);

    // ---- Observers ---------------------------------------------------------

    /// Document in force, or null if there is none yet.
    [[nodiscard]] std::shared_ptr<const rollout_document> in_force() const;

    /// Highest document held, or null.
    [[nodiscard]] std::shared_ptr<const rollout_document> highest() const;

    /// Revision of the highest document held; 0 if there is none.
    [[nodiscard]] revision document() const noexcept;

    /// What is known of the witnesses' documents, this process included.
    [[nodiscard]] std::vector<held_revision> held() const;

    [[nodiscard]] bool recovered() const noexcept;

    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs ------------------------------------------------------------

    /// Sets the names of the peers that are alive. Documents are exchanged
    /// with a few of them, always the same, and with the witnesses.
    void set_peers(std::vector<std::string> peers);

    /// The platform's service was read; empty text: nothing accepted yet.
    [[nodiscard]] actions on_platform_read(const std::string& json,
                                           instant now);

    /// A document was accepted here; it need not be the latest any more.
    [[nodiscard]] actions on_accepted(const std::string& json);

    /// A peer pushed a document.
    [[nodiscard]] actions receive(const document_push& push, instant now);

    /// A peer answered a `sync_request` of this process.
    [[nodiscard]] actions receive(const sync_reply& reply, instant now);

    /// A peer's datagram told what it holds.
    [[nodiscard]] actions on_revision_report(const revision_report& report,
                                             instant now);

    /// Another process has revision `number` in force.
    [[nodiscard]] actions on_in_force_elsewhere(revision number);

    /// The witness was asked in a datagram of this sequence.
    void on_witness_queried(const std::string& witness, std::uint64_t sequence);

    /// Answers a peer's `sync_request`; the members are left to the shell.
    [[nodiscard]] sync_reply answer(const sync_request& request) const;

    /// Repeats what was not answered; call it about twice a second.
    [[nodiscard]] actions tick(instant now);

  private:
    /// A witness that was heard to hold the document, and is asked again.
    struct confirmation {
        std::uint64_t incarnation = 0; ///< That was heard to hold it.
        std::uint64_t sequence = 0;    ///< Of the question; 0: not sent.
        bool confirmed = false;
    };
    /// Second round: the witnesses that were heard to hold a revision.
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
    std::vector<std::string> neighbours_; ///< Peers to exchange with.
    std::shared_ptr<const rollout_document> highest_;
    std::string highest_json_;
    std::shared_ptr<const rollout_document> in_force_;
    revision highest_reported_ = 0;   ///< Highest revision any peer named.
    revision min_revision_ = 0;       ///< Least revision to put in force.
    revision in_force_elsewhere_ = 0; ///< Highest that any peer has in force.
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
