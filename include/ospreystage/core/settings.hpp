#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/network/messages.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// An entry with a fixed address that stores claims and revisions.
struct witness_settings {
    std::string name;
    address peer;
};

/// An operator, identified by a token, and the permissions of that token.
struct operator_settings {
    std::string name;
    std::string token;
    /// Organisations whose rules the operator may change; `*` allows all
    /// changes.
    std::vector<std::string> organisations;
};

/// Settings of a process, validated completely before the process starts.
struct settings {
    /// `[process]`
    struct process_section {
        process_role role = process_role::entry;
        std::string name;
        std::string vm;
        std::string data_centre;
        std::string region;
        std::string log_level = "info";
    } process;

    /// `[listen]`
    struct listen_section {
        address http;
        address peer; ///< Both TCP and UDP.
        /// Threads for operators' calls and for weights, which block on the
        /// store or a disk; callers' requests do not use them.
        std::uint32_t http_threads = 8;
    } listen;

    /// `[cluster]`
    struct cluster_section {
        std::string token;
        std::vector<witness_settings> witnesses;
        milliseconds heartbeat_interval{500};
        /// Time without received data after which a connection is closed.
        milliseconds silence_timeout{2000};
        milliseconds gossip_interval{500};
        milliseconds claim_retention{600'000};
        /// Time for which callers may keep the addresses of entries.
        milliseconds entry_answer_ttl{2000};
        /// Upper bound on the subset of agents that an entry uses.
        std::uint32_t agents_per_entry = 24;
    } cluster;

    /// `[platform]`
    struct platform_section {
        std::string kv_url;
        std::string vm_list_url;
        std::uint32_t watchers_per_data_centre = 2;
        milliseconds call_timeout{1000};
        milliseconds vm_list_interval{1000};
    } platform;

    /// `[origin]` (agents)
    struct origin_section {
        std::string url;
    } origin;

    /// `[backend_server]` (agents)
    struct backend_server_section {
        std::string url;
        std::string kind = "engine"; ///< `engine` or `plain`.
        std::uint32_t capacity = 16; ///< Concurrent attempts.
        std::uint32_t queue = 64;    ///< Attempts queued at the agent.
        /// Whether the back-end server refuses orders with outdated fencing
        /// numbers.
        bool checks_fencing = false;
    } backend_server;

    /// `[distribution]` (agents)
    struct distribution_section {
        std::string chunk_folder; ///< Memory-backed folder for chunks.
        std::uint64_t link_bytes_per_second = 0; ///< 0: unlimited.
        bool shared_directions = false; ///< Both directions share the link.
        /// Copies of a version that the fleet reads from the origin if nothing
        /// fails: 1 minimises origin traffic, more shortens the
        /// distribution.
        std::uint32_t origin_copies = 1;
        /// Agents that read from the origin: with more, agents finish closer
        /// together; with fewer, more of the origin's link remains for its
        /// other users.
        std::uint32_t origin_readers = 6;
        std::uint32_t origin_requests = 1; ///< Concurrent, per agent.
        std::string baseline = "none";     ///< `none`, `direct` or `tree`.
    } distribution;

    /// `[requests]` (entries)
    struct requests_section {
        std::uint32_t queue = 1024;         ///< Concurrent requests.
        std::uint32_t retry_percent = 10;   ///< Retries per 100 requests.
        std::string routing = "two_choice"; ///< or `round_robin`, `random`.
        std::size_t max_body_bytes = 1024 * 1024;
    } requests;

    /// `[[operators]]` (entries)
    std::vector<operator_settings> operators;
};

/// Parses and validates settings; `file` is the file name for error messages.
///
/// Fails with `malformed` if the text is not TOML and with `invalid_argument`
/// for an unknown key, a missing or empty value, a wrong type or unit, or a
/// value out of range. The error gives file, line and key of the first one.
[[nodiscard]] leaf::result<settings> parse_settings(const std::string& toml,
                                                    const std::string& file);

/// Reads and parses a settings file; see `parse_settings`.
///
/// Fails with `not_found` if the file cannot be opened.
[[nodiscard]] leaf::result<settings> load_settings(const std::string& file);

} // namespace ospreystage
