#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// A range of layers that a model engine holds of one version.
struct held_layers {
    std::uint32_t from = 0;
    std::uint32_t to = 0; ///< One past the last layer.
    std::uint64_t version = 0;
    friend bool operator==(const held_layers&, const held_layers&) = default;
};

/// A backend server as the platform lists it.
struct backend_server {
    std::string id;
    std::string service;
    address endpoint;
    std::string data_centre;
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// Start of its current run; a restart may keep the id.
    std::int64_t started_unix_ms = 0;
    std::vector<held_layers> layers; ///< Engines only; empty: serves nothing.
    friend bool operator==(const backend_server&,
                           const backend_server&) = default;

    /// Returns the version of which all layers below `count` are held.
    [[nodiscard]] std::optional<std::uint64_t>
    complete_version(std::uint32_t count) const;
};

/// Backend servers that may get requests, from the platform's list.
///
/// The list may be out of reach. What it said last stays in force meanwhile,
/// and after its return an entry that is missing is kept for a short time:
/// servers whose entries lapsed during the outage register again.
class backend_registry {
  public:
    struct options {
        /// Reads that fail for this long count as an outage.
        milliseconds outage_after{1000};
        /// Time in which lapsed entries come back (users' second letter: about
        /// two seconds).
        milliseconds reregistration_time{2200};
    };

    explicit backend_registry(const options& limits);
    backend_registry() : backend_registry(options{}) {}

    /// Takes a whole list that was read without an error.
    void on_list(std::vector<backend_server> listed, instant now);

    /// Takes note of a read that failed.
    void on_unreachable(instant now);

    /// Drops entries whose time to come back has passed.
    void advance(instant now);

    /// Returns the servers of a service that may get new requests.
    [[nodiscard]] std::vector<const backend_server*>
    serving(const std::string& service) const;

    [[nodiscard]] const backend_server* find(const std::string& id) const;
    [[nodiscard]] std::vector<const backend_server*> all() const;
    /// Returns the ids of the servers at an address; one that has been reused
    /// may have two for a while.
    [[nodiscard]] std::vector<std::string>
    ids_at(const address& endpoint) const;
    [[nodiscard]] bool has_list() const noexcept { return has_list_; }
    /// Age of the last list, or nothing if there was none.
    [[nodiscard]] std::optional<milliseconds> age(instant now) const;

  private:
    struct server_record {
        backend_server server;
        std::optional<instant> remove_at; ///< Lapsed, may come back.
    };

    options limits_;
    absl::flat_hash_map<std::string, server_record> servers_;
    std::optional<instant> last_received_;
    std::optional<instant> unreachable_since_;
    std::optional<instant> outage_ended_; ///< End of the last outage.
    bool has_list_ = false;
};

} // namespace ospreystage
