#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/routing/routing_configuration.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// What a server is taken to be cold by.
enum class cold_evidence : std::uint8_t {
    registration, ///< Its registration states a remaining time.
    new_start,    ///< A start was seen that states no remaining time.
    returned,     ///< Its data centre was evacuated until lately.
    failure,      ///< It may have started again: a connection to it ended.
    stall,        ///< This process stood still and may have missed its start.
};

[[nodiscard]] const char* to_string(cold_evidence evidence) noexcept;

/// A server that has become cold or warm, for log lines.
struct cold_change {
    server_start server;
    std::string service;
    bool is_cold = false;
    cold_evidence evidence{}; ///< Of the time in which it is or was cold.
    milliseconds remaining{}; ///< 0 if it is warm.
};

/// Knows which backend servers are cold: they work, but crash if they get more
/// than a low rate of requests.
///
/// A server is cold for a time after its start, and may become cold again at
/// any moment. What is known of that is old when it arrives: lists lag behind
/// heartbeats, and a store that is away has none. Statements of a server are
/// upper bounds of the end, of which the earliest counts. Where something
/// suggests that a server has become cold since its last statement, it counts
/// as cold for the whole time that its service states. Servers that state
/// nothing count as cold when they are new on a list.
class cold_servers {
  public:
    struct options {
        /// Returns the service with this name, or null.
        std::function<const service_description*(const std::string& name)>
            service;
        /// Age that a registration reaches before a list shows it.
        milliseconds max_registration_age{2400};
        /// Age at which a registration that is not renewed lapses.
        milliseconds registration_lifetime{3600};
        /// Remaining times that differ by less belong to the same cold time.
        milliseconds tolerance{300};
        /// Time without a tick after which this process has stood still.
        milliseconds max_stall{500};
        /// Shortest time between two suspicions of a server that are sent.
        milliseconds min_suspicion_interval{500};
    };

    explicit cold_servers(options configuration)
        : options_(std::move(configuration)) {}

    // ---- Observers ---------------------------------------------------------

    /// Returns the requests a second that all entries together may send to a
    /// server at `now`; nothing if it is warm or its service names no rate.
    [[nodiscard]] std::optional<double> limit(const std::string& server,
                                              instant now) const;
    /// Returns for how long the server counts as cold; 0 if it is warm.
    [[nodiscard]] milliseconds remaining(const std::string& server,
                                         instant now) const;
    [[nodiscard]] std::size_t size(instant now) const;

    // ---- Events ------------------------------------------------------------

    /// Takes over what a list of servers that was read at `read_at` states.
    void on_list(const std::vector<const backend_server*>& servers,
                 instant read_at, instant now);
    /// Records that the server at an address was seen to start.
    void on_start(const std::string& server, milliseconds started_ago,
                  instant now);
    /// Records that the servers of a data centre take requests again.
    void on_return(const std::string& data_centre, instant now);
    /// Records that a server may have started again. Returns the suspicion to
    /// send to the other entries, unless one was sent shortly before.
    [[nodiscard]] std::optional<start_suspicion>
    on_failure(const std::string& server, instant now);
    /// Records the suspicion of another entry.
    void on_suspicion(const start_suspicion& suspicion, instant now);
    /// Records that this process runs; to be called more often than every
    /// `max_stall`.
    void on_tick(instant now);

    /// Returns the servers that have become cold or warm since the last call.
    [[nodiscard]] std::vector<cold_change> take_changes(instant now);

  private:
    struct server_record {
        server_start start;
        std::string service;
        std::string data_centre;
        std::optional<milliseconds> last_remaining; ///< As last listed.
        /// Latest end of the cold time, by statements of the server.
        std::optional<instant> stated_end;
        std::optional<instant> started_at; ///< At the latest.
        /// Since when it may have become cold unnoticed.
        std::optional<instant> suspected_at;
        cold_evidence suspected_by = cold_evidence::failure;
        std::optional<instant> suspicion_sent_at;
        bool was_cold = false; ///< As last returned by `take_changes`.
        cold_evidence last_evidence{};
    };
    struct cold_span {
        instant end{};
        cold_evidence evidence{};
    };

    [[nodiscard]] const service_description*
    service_of(const server_record& record) const;
    [[nodiscard]] cold_span span_of(const server_record& record,
                                    const service_description& service,
                                    instant now) const;
    [[nodiscard]] bool has_stalled(instant now) const;
    void on_listed(server_record& record, const backend_server& server,
                   instant read_at) const;
    void suspect(server_record& record, cold_evidence evidence, instant now);

    options options_;
    absl::flat_hash_map<std::string, server_record> records_; ///< By id.
    std::optional<instant> last_tick_;
};

} // namespace ospreystage
