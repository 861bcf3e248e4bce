#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/serving/caller_protocol.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <deque>
#include <optional>
#include <string>

namespace ospreystage {

enum class issuer_role : std::uint8_t {
    none,
    stand_in, ///< Issues permits while the responsible entry does not answer.
    responsible,
};

/// Duty of an entry for the permits of one server.
struct issuer_duty {
    issuer_role role = issuer_role::none;
    /// Time for which this entry has had the role without a change.
    milliseconds held_for{};
    /// False if the list of entries from which the role follows may be
    /// outdated.
    bool has_recent_view = false;
};

/// Limit of a server according to the entry that asks for a permit.
struct permit_terms {
    double per_second = 0;
    /// The server counts as cold there; the rate is then the lower one of what
    /// a cold server takes and what the server has named.
    bool is_cold = false;
};

/// Issues permits to send requests to servers that have named a limit or count
/// as cold.
///
/// A server's limit holds for all entries together, and one entry is
/// responsible for it. For a short time two may issue permits for the same
/// server: while their lists of entries differ, and while an entry that gets no
/// answer asks the stand-in. So only an entry that has been responsible for a
/// while, and whose view of the site is recent, issues as many permits as the
/// limit allows; every other one issues a smaller part of it, and both together
/// stay below one and a half times the limit.
class permit_issuer {
  public:
    struct options {
        /// Time after which an entry that has become responsible counts as the
        /// only one: longer than others take to learn of it.
        milliseconds settling_time{2000};
        /// Part of the limit that is issued unless this entry is the only one.
        double partial_share = 0.4;
        /// The same for a cold server, whose bound leaves more room above its
        /// rate.
        double partial_cold_share = 0.5;
        /// Permits that may be issued at once after a time without requests.
        double max_burst = 2;
        double max_partial_burst = 1;
        /// Lowest rate at which permits are issued, per second. Only answers
        /// tell that a limit has ended, so some requests must get through.
        double min_rate = 0.1;
        /// A limit ends after two answers without it that are at least this far
        /// apart.
        milliseconds end_confirmation{500};
        /// Successive entries that are denied a permit are told to ask again
        /// this part of the time between two permits after each other, so that
        /// few ask in vain.
        double turn_share = 0.5;
        /// Latest time after which a denied entry is told to ask again.
        milliseconds max_wait{1000};
        /// Requests sent without a permit that are held against later permits.
        double max_debt = 8;
        /// A permit that was issued longer ago is not used any more.
        milliseconds permit_lifetime{300};
    };

    struct decision {
        permit_verdict verdict = permit_verdict::denied;
        milliseconds wait{}; ///< Denied: time until the next permit.
    };

    explicit permit_issuer(const options& configuration)
        : options_(configuration) {}
    permit_issuer() : permit_issuer(options{}) {}

    /// Decides on a permit for `server`.
    [[nodiscard]] decision decide(const std::string& server,
                                  const permit_terms& terms,
                                  const issuer_duty& duty, instant now);

    /// Records that an entry has sent a request to a cold server that takes
    /// `per_second`. One that has been sent without a permit counts as one that
    /// was issued.
    void on_sent(const std::string& server, double per_second, instant now);

    /// Records what an answer of a server stated.
    void on_statement(const std::string& server,
                      const limit_statement& statement, instant now);

    /// Drops servers that are not listed.
    void retain(const absl::flat_hash_set<std::string>& listed);

  private:
    struct server_record {
        std::optional<double> per_second; ///< Limit that the server has named.
        bool has_ended = false;           ///< It names no limit any more.
        double permits = 0; ///< That may be issued at `updated_at`.
        double rate = 0;    ///< At which permits accrue, per second.
        double burst = 0;   ///< Up to which they do.
        instant updated_at{};
        instant last_turn{}; ///< Latest time at which an entry is to ask again.
        std::deque<instant> unused; ///< Permits whose request was not seen yet.
        /// First answer without a limit since the last one with it.
        std::optional<instant> unnamed_since;
    };

    [[nodiscard]] bool is_only_issuer(const issuer_duty& duty) const;
    static void accrue(server_record& record, instant now);
    [[nodiscard]] milliseconds next_turn(server_record& record,
                                         instant now) const;
    void drop_unused(server_record& record, instant now) const;

    options options_;
    absl::flat_hash_map<std::string, server_record> records_;
};

} // namespace ospreystage
