#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>
#include <ospreystage/fleet/store_position.hpp>

#include <absl/container/flat_hash_map.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ospreystage {

/// Contiguous range of layers of one version that a model engine holds.
struct held_layers {
    std::uint32_t from = 0;
    std::uint32_t to = 0; ///< One past the last layer.
    std::uint64_t version = 0;
    friend bool operator==(const held_layers&, const held_layers&) = default;
};

/// One start of a backend server; a restarted server may keep its id.
struct server_start {
    std::string id;
    std::int64_t started_unix_ms = 0; ///< 0: the server does not say.
    friend bool operator==(const server_start&, const server_start&) = default;
};

/// Backend server as listed by the platform.
struct backend_server {
    std::string id;
    std::string service;
    address endpoint;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// Start time of the server's process; a restarted server may keep its id.
    std::int64_t started_unix_ms = 0;
    std::vector<held_layers> layers; ///< Engines only; empty: serves none.
    /// Time for which it stays cold, as of its last report to the platform;
    /// nothing if it does not say.
    std::optional<milliseconds> cold_remaining;
    friend bool operator==(const backend_server&,
                           const backend_server&) = default;

    [[nodiscard]] server_start start() const { return {id, started_unix_ms}; }

    /// Returns the version that covers all layers in [0, `count`), if any.
    [[nodiscard]] std::optional<std::uint64_t>
    complete_version(std::uint32_t count) const;
};

/// Backend servers that may receive requests, as listed by the platform.
///
/// While the list is unreachable, the last one received stays in force. After
/// an outage, servers that no list has shown since are kept for a grace period:
/// those whose registration expired during the outage register again. A server
/// that was listed after the outage and is missing later has left.
///
/// A time without a list in which no registration can have lapsed is no outage:
/// what is missing after it has left.
///
/// That reads fail here does not show that the store was away. It was not if
/// another entry has read the list all the while, and the outage of another
/// entry does not concern this one if it had the list meanwhile.
///
/// A server that drains does so until its process ends: neither an older state
/// of it nor an older copy of the store undoes that.
///
/// A list of a later era comes from an older copy of the store, into which the
/// servers write again. For the grace period, servers that the copy lacks stay,
/// and servers that had departed before do not return.
class backend_registry {
  public:
    struct options {
        /// Reads failing for longer than this count as an outage.
        milliseconds outage_after{1000};
        /// Age that the list reaches without an outage, by the time between two
        /// reads and the way through another entry.
        milliseconds max_list_age{1500};
        /// Shortest time without a list in which a registration may lapse.
        milliseconds min_lapse_time{0};
        /// Grace period after an outage in which expired servers register
        /// again; the platform's users state about two seconds.
        milliseconds reregistration_time{2200};
        /// What is known of departed servers is kept for this long.
        milliseconds departed_retention{600'000};
    };

    explicit backend_registry(const options& limits);
    backend_registry() : backend_registry(options{}) {}

    /// Replaces the list with a complete one.
    void on_list(std::vector<backend_server> listed, instant now,
                 state_origin origin);
    /// The same for a list whose read began at `read_at`.
    void on_list(std::vector<backend_server> listed, instant now,
                 instant read_at) {
        on_list(std::move(listed), now, state_origin{{}, read_at, ""});
    }
    void on_list(std::vector<backend_server> listed, instant now) {
        on_list(std::move(listed), now, now);
    }

    /// Records that the list held was still the store's at a later read.
    void on_confirmed(state_origin origin, instant now);

    /// Records an outage that another entry saw end at `ended`. Returns false
    /// if this entry was not without the list before that.
    bool on_outage_ended(instant ended);

    /// Records a read of the list that began at `now` and failed. An outage
    /// counts from the last list at the earliest.
    void on_unreachable(instant now);

    /// Removes missing servers whose grace period has ended.
    void advance(instant now);

    /// Returns the servers of a service that may receive new requests.
    [[nodiscard]] std::vector<const backend_server*>
    serving(const std::string& service) const;

    [[nodiscard]] const backend_server* find(const std::string& id) const;
    [[nodiscard]] std::vector<const backend_server*> all() const;
    /// Returns the ids of the servers at an address. A reused address may have
    /// two ids until the older server is removed. The result is valid until
    /// the list changes.
    [[nodiscard]] const std::vector<std::string>&
    ids_at(const address& endpoint) const;
    [[nodiscard]] bool has_list() const noexcept { return has_list_; }
    /// Returns where the last list comes from.
    [[nodiscard]] const state_origin& origin() const noexcept {
        return origin_;
    }
    /// Returns the fields of a log line with those that name the last list.
    [[nodiscard]] nlohmann::json with_list(nlohmann::json fields,
                                           instant now) const;
    /// Returns the end of the last outage.
    [[nodiscard]] std::optional<instant> outage_ended() const noexcept {
        return outage_ended_;
    }
    /// Returns the age of the last list, or nothing if none was received.
    [[nodiscard]] std::optional<milliseconds> age(instant now) const;

  private:
    struct server_record {
        backend_server server;
        instant listed_at{};              ///< Last read that showed it.
        std::optional<instant> remove_at; ///< Set while not listed.
    };

    [[nodiscard]] bool is_outage(const state_origin& next, instant now) const;
    void on_read(state_origin origin, instant now);
    /// Server that no list shows any more.
    struct departed_server {
        std::int64_t started_unix_ms = 0;
        bool is_draining = false;
        instant left_at{};
    };

    [[nodiscard]] const departed_server*
    find_departed(const backend_server& server) const;
    [[nodiscard]] bool may_be_older_copy(instant now) const;
    [[nodiscard]] bool is_undone_start(const backend_server& server,
                                       instant now) const;
    [[nodiscard]] bool is_undone_departure(const backend_server& server,
                                           instant now) const;
    void index_addresses();

    options limits_;
    absl::flat_hash_map<std::string, server_record> servers_;
    absl::flat_hash_map<address, std::vector<std::string>> ids_by_address_;
    absl::flat_hash_map<std::string, departed_server> departed_; ///< By id.
    state_origin origin_; ///< Of the last list, if `has_list_`.
    std::optional<instant> last_listed_at_; ///< When `on_list` was called.
    std::optional<instant> era_began_;      ///< When this entry learned of it.
    std::optional<instant> unreachable_since_;
    std::optional<instant> outage_ended_; ///< Time of the last recovery.
    bool has_list_ = false;
};

} // namespace ospreystage
