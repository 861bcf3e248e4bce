#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/fleet/entry_duties.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/serving/caller_protocol.hpp>
#include <ospreystage/serving/entry_datagram.hpp>
#include <ospreystage/serving/permit_issuer.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// The request may be sent now.
struct permit_granted {
    /// Time from which it needs another permit; nothing if it needs none.
    std::optional<instant> expires_at;
};
/// The server takes no request now.
struct permit_denied {
    milliseconds wait{}; ///< Time until it may be asked for again.
};
/// Another entry was asked.
struct permit_pending {
    std::uint64_t sequence = 0;
    milliseconds timeout{}; ///< After which `on_timeout` is due.
};
using permit_decision =
    std::variant<permit_granted, permit_denied, permit_pending>;

/// Keeps all entries together within the limits of backend servers.
///
/// An overloaded server names in its answers how many requests a second it
/// accepts from all entries, and a cold one takes a rate that its service
/// states. Each entry sees a part of the requests only, so one of them, chosen
/// by `entry_duties`, issues a permit for each request to such a server; a
/// second one stands in while it does not answer. An entry without a permit
/// uses other servers.
///
/// Entries may disagree on whether a server is cold. Each asks for permits as
/// long as it takes the server for cold, and an issuer grants them at the rate
/// of a cold server whatever it takes the server for itself.
class limit_exchange {
  public:
    struct options {
        std::string self; ///< Name of this entry.
        /// Returns the region of a data centre.
        std::function<std::string(const std::string& data_centre)> region_of;
        /// Returns the age of what this entry knows of the site, if anything.
        std::function<std::optional<milliseconds>()> site_age;
        /// Returns the rate, in requests a second, that a server takes at a
        /// time because it is cold; nothing if it is warm.
        std::function<std::optional<double>(const std::string& server,
                                            instant now)>
            cold_limit;
        /// Age up to which the list of entries counts as current.
        milliseconds max_site_age{1000};
        /// An asked entry that has not answered by then is taken for gone.
        milliseconds reply_timeout{50};
        /// For this long the stand-in is then asked instead.
        milliseconds silence_time{1000};
        /// After a denial, the next permit is asked for after this time at the
        /// latest: the limit may have ended.
        milliseconds max_denial{1000};
        /// A permit is used within this time of asking for it, so that those of
        /// several seconds do not reach the server at once.
        milliseconds permit_lifetime{100};
        permit_issuer::options issuer{};
    };

    limit_exchange(options configuration, const entry_duties& duties,
                   const backend_registry& servers,
                   std::function<void(const entry_datagram&)> send);

    // ---- Observers ---------------------------------------------------------

    /// Returns the limit of a server in requests a second: the one that it has
    /// named or that of a cold server, whichever is lower.
    [[nodiscard]] std::optional<double> limit(const std::string& server,
                                              instant now) const;

    /// Returns true if a request that was chosen a server at an earlier time
    /// may still be sent there: its permit has not expired, or the server has
    /// no limit meanwhile.
    [[nodiscard]] bool is_permitted(const std::string& server,
                                    const permit_granted& permit,
                                    instant now) const;

    /// Returns true if no permit for the server is to be had at `now`.
    [[nodiscard]] bool is_closed(const std::string& server, instant now) const;

    /// Returns the number of servers that have named a limit.
    [[nodiscard]] std::size_t limited_servers() const noexcept;

    // ---- Permits -----------------------------------------------------------

    /// Requests the permit to send one request to a server with a limit.
    [[nodiscard]] permit_decision request(const std::string& server,
                                          instant now);

    /// Returns the decision of another entry; nothing if the reply is late or
    /// was not asked for.
    [[nodiscard]] std::optional<permit_decision>
    on_reply(const permit_reply& reply, instant now);

    /// Gives up waiting for a reply; the server is asked for elsewhere, or is
    /// closed.
    void on_timeout(std::uint64_t sequence, instant now);

    /// Returns when a caller that no server has room for should return, given
    /// the `closed` servers and the number of `entries`. Successive callers get
    /// successive times, at the rate at which this entry gets permits.
    [[nodiscard]] milliseconds
    retry_after(const std::vector<const backend_server*>& closed,
                std::uint32_t entries, instant now);

    // ---- Events ------------------------------------------------------------

    /// Records what an answer of a server stated, and reports it to the entries
    /// that need it.
    void on_answer(const std::string& server, const limit_statement& statement,
                   instant now);
    void on_report(const limit_report& report, instant now);
    /// Returns the reply to another entry's request for a permit; nothing if
    /// the server is not known here.
    [[nodiscard]] std::optional<permit_reply>
    on_request(const permit_request& asked, instant now);
    [[nodiscard]] std::optional<permit_reply>
    on_request(const cold_permit_request& asked, instant now);
    /// Records that an entry has sent a request to a server.
    void on_sent(const std::string& server, instant now);

    /// Drops what is known of servers that have left or have started anew.
    void on_servers_changed();
    /// Reports the limits for which this entry is responsible to entries that
    /// are new on the list.
    void on_entries_changed(instant now);

  private:
    struct limit_record {
        std::optional<double> per_second; ///< Limit that the server has named.
        instant closed_until{};
        instant stand_in_until{}; ///< The stand-in is asked until then.
    };
    struct responsible_record {
        std::string name;
        instant since{};
    };
    struct pending_request {
        std::string server;
        instant asked_at{};
        bool may_ask_stand_in = false; ///< If there is no reply.
    };

    [[nodiscard]] std::vector<const site_entry*>
    issuers(const std::string& server) const;
    [[nodiscard]] permit_issuer::decision
    issue(const std::string& server, const permit_terms& terms, instant now);
    /// Returns what an issuer's decision on a permit that was asked for at
    /// `asked_at` means for the request.
    permit_decision apply(const std::string& server,
                          const permit_issuer::decision& decision,
                          instant asked_at, instant now);
    [[nodiscard]] bool has_named_limit(const std::string& server) const;
    [[nodiscard]] std::optional<permit_terms> terms(const std::string& server,
                                                    instant now) const;
    [[nodiscard]] issuer_duty duty_for(const std::string& server, instant now);
    instant update_responsible(const std::string& server,
                               const std::vector<const site_entry*>& order,
                               instant now);
    [[nodiscard]] std::optional<double> cold_limit(const std::string& server,
                                                   instant now) const;
    [[nodiscard]] std::optional<permit_reply> answer(const std::string& server,
                                                     std::uint64_t sequence,
                                                     const permit_terms& terms,
                                                     instant now);
    /// Returns true if the limit is new or has another value.
    bool learn(const std::string& server, double per_second,
               const char* source);
    void close(limit_record& record, milliseconds wait, instant now) const;

    options options_;
    const entry_duties& duties_;
    const backend_registry& servers_;
    std::function<void(const entry_datagram&)> send_;
    permit_issuer issuer_;
    std::mt19937_64 random_;
    absl::flat_hash_map<std::string, limit_record> known_;
    /// Start of each listed server.
    absl::flat_hash_map<std::string, std::int64_t> starts_;
    absl::flat_hash_map<std::uint64_t, pending_request> pending_;
    /// Latest time at which a refused caller of each service should return.
    absl::flat_hash_map<std::string, instant> last_returns_;
    absl::flat_hash_set<std::string> entries_; ///< Names on the last list.
    std::optional<instant> entries_changed_at_;
    /// Entry that is responsible for each listed server.
    absl::flat_hash_map<std::string, responsible_record> responsible_;
    std::uint64_t next_sequence_;
};

} // namespace ospreystage
