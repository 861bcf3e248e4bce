#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/serving/caller_protocol.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace ospreystage {

/// Servers of a service by whether they may be sent requests.
struct available_servers {
    std::vector<const backend_server*> available;
    /// Leaving servers that may still be used where no other server can be.
    std::vector<const backend_server*> last_resort;
    /// Earliest end of a pause; absent if no server asks for one.
    std::optional<instant> next_available;
    bool has_leaving = false;
};

/// Keeps what servers have stated in their answers about taking requests: that
/// they are leaving, or that they want none for a while.
///
/// Answers the load of servers that shut down or are overloaded while callers
/// go on sending. Both statements are the server's own and are binding, unlike
/// the backoff that `backend_load` infers from failures. They hold for one
/// start of the server, for which leaving is final: neither a list that shows
/// it as ready nor an answer without the statement reverts it. The next start
/// under the same id is free of both, but for a pause that it may have stated
/// itself before it was listed.
class backend_availability {
  public:
    struct options {
        /// A leaving server may serve as a last resort for this long after it
        /// has said so.
        milliseconds last_resort_time{1000};
        /// Statements of servers that are not listed are kept for this long,
        /// because an older list may show them again.
        milliseconds retention{600'000};
        /// A server that starts again is listed as the start before for up to
        /// this long.
        milliseconds listing_delay{1200};
    };

    explicit backend_availability(const options& limits);
    backend_availability() : backend_availability(options{}) {}

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] available_servers
    select(const std::vector<const backend_server*>& servers,
           instant now) const;

    /// Returns true if a request may be sent to the server now; to a leaving
    /// one, only as a last resort.
    [[nodiscard]] bool may_send(const server_start& server, instant now) const;

    /// Returns the time after which a caller should return if servers are
    /// available from `next_available` on. Callers return spread over a time
    /// that grows with the pause.
    [[nodiscard]] milliseconds retry_after(instant next_available, instant now);

    /// Returns true if the server has stated that it is leaving.
    [[nodiscard]] bool is_leaving(const server_start& server) const;

    [[nodiscard]] std::size_t leaving() const noexcept;
    [[nodiscard]] std::size_t pausing(instant now) const noexcept;

    // ---- Events ------------------------------------------------------------

    void set_limits(const options& limits) noexcept { limits_ = limits; }

    /// Records what an answer of a server stated; that of an earlier start than
    /// the last one that stated anything is ignored.
    void on_answer(const server_start& server,
                   const availability_statement& statement, instant now);

    /// Handles a list of servers. A pause that was stated so late that the
    /// start listed now may have stated it holds for that one.
    void on_list(const std::vector<const backend_server*>& servers,
                 instant now);

    /// Drops what servers stated that have not been listed for a while.
    void retain(const absl::flat_hash_set<std::string>& listed, instant now);

  private:
    struct server_record {
        std::int64_t started_unix_ms = 0;
        std::optional<instant> leaving_since;
        instant paused_until{};
        instant pause_stated_at{}; ///< That which ends last.
        instant last_listed{};
    };

    [[nodiscard]] const server_record* find(const server_start& server) const;
    [[nodiscard]] bool is_last_resort(const server_record& record,
                                      instant now) const;

    options limits_;
    std::mt19937_64 random_;
    absl::flat_hash_map<std::string, server_record> records_; ///< By id.
    std::optional<instant> last_list_; ///< Nothing was listed before.
};

} // namespace ospreystage
