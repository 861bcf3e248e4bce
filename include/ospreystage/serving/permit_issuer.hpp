#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/serving/caller_protocol.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <optional>
#include <string>

namespace ospreystage {

/// Duty of an entry for the permits of one server.
enum class issuer_duty : std::uint8_t {
    none,
    stand_in, ///< Issues permits while the responsible entry does not answer.
    responsible,
};

/// Issues permits to send requests to servers that have named a limit.
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
        /// Permits that may be issued at once after a time without requests.
        double max_burst = 2;
        double max_partial_burst = 1;
        /// Lowest rate at which permits are issued, per second. Only answers
        /// tell that a limit has ended, so some requests must get through.
        double min_rate = 0.1;
        /// A limit ends after two answers without it that are at least this far
        /// apart.
        milliseconds end_confirmation{500};
    };

    struct decision {
        permit_verdict verdict = permit_verdict::denied;
        milliseconds wait{}; ///< Denied: time until the next permit.
    };

    explicit permit_issuer(const options& configuration)
        : options_(configuration) {}
    permit_issuer() : permit_issuer(options{}) {}

    /// Decides on a permit for `server`, which takes `per_second` requests
    /// according to the asking entry. `has_recent_view` is false if the list of
    /// entries from which `duty` follows may be outdated.
    [[nodiscard]] decision decide(const std::string& server, double per_second,
                                  issuer_duty duty, bool has_recent_view,
                                  instant now);

    /// Records what an answer of a server stated.
    void on_statement(const std::string& server,
                      const limit_statement& statement, instant now);

    /// Drops servers that are not listed.
    void retain(const absl::flat_hash_set<std::string>& listed);

  private:
    struct server_record {
        std::optional<double> per_second; ///< Nothing once the limit has ended.
        double permits = 0;               ///< That may be issued now.
        instant updated_at{};
        std::optional<instant> responsible_since;
        /// First answer without a limit since the last one with it.
        std::optional<instant> unnamed_since;
    };

    [[nodiscard]] bool is_only_issuer(const server_record& record,
                                      bool has_recent_view, instant now) const;

    options options_;
    absl::flat_hash_map<std::string, server_record> records_;
};

} // namespace ospreystage
