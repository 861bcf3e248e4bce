#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>
#include <ospreystage/network/messages.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage {

/// An entry whose address is fixed: it remembers claims and revisions.
struct witness_settings {
    std::string name;
    address peer;
};

/// An operator and what the token allows.
struct operator_settings {
    std::string name;
    std::string token;
    /// Organisations whose rules may be changed; `*` allows everything.
    std::vector<std::string> organisations;
};

/// Settings that are checked whole before a process starts.
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
        address peer; ///< TCP and UDP.
        /// Threads for operators' calls and for weights, which wait for the
        /// store or a disk; callers' requests need none.
        std::uint32_t http_threads = 8;
    } listen;

    /// `[cluster]`
    struct cluster_section {
        std::string token;
        std::vector<witness_settings> witnesses;
        milliseconds heartbeat_interval{500};
        milliseconds silence_timeout{2000}; ///< Connection is given up on.
        milliseconds gossip_interval{500};
        milliseconds claim_retention{600'000};
        milliseconds entry_answer_ttl{2000}; ///< Callers keep addresses.
        std::uint32_t agents_per_entry = 24; ///< Bounded subset.
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
        std::uint32_t capacity = 16; ///< Attempts run at once.
        std::uint32_t queue = 64;    ///< Attempts waiting at the agent.
        bool checks_fencing = false; ///< Refuses orders with old numbers.
    } backend_server;

    /// `[distribution]` (agents)
    struct distribution_section {
        std::string chunk_folder; ///< Memory-backed folder for chunks.
        std::uint64_t link_bytes_per_second = 0; ///< 0: unlimited.
        bool shared_directions = false; ///< Both directions share the link.
        /// Copies of a version that the fleet reads from the origin when
        /// nothing fails: 1 saves origin bytes, more saves time.
        std::uint32_t origin_copies = 1;
        /// Agents that read from the origin: more of them finish closer
        /// together, fewer leave its link to other users.
        std::uint32_t origin_readers = 6;
        std::uint32_t origin_requests = 1; ///< At once, of one agent.
        std::string baseline = "none";     ///< `none`, `direct` or `tree`.
    } distribution;

    /// `[requests]` (entries)
    struct requests_section {
        std::uint32_t queue = 1024;         ///< Requests in progress at once.
        std::uint32_t retry_percent = 10;   ///< Retries per 100 requests.
        std::string routing = "two_choice"; ///< or `round_robin`, `random`.
        std::size_t max_body_bytes = 1024 * 1024;
    } requests;

    /// `[[operators]]` (entries)
    std::vector<operator_settings> operators;
};

/// Reads and checks settings; `file` names the source in errors.
///
/// The error names file, line and key of the first fault: an unknown key, a
/// missing or empty value, a wrong type or unit, or a value out of range.
[[nodiscard]] leaf::result<settings> parse_settings(const std::string& toml,
                                                    const std::string& file);

/// Reads a settings file; see `parse_settings`.
[[nodiscard]] leaf::result<settings> load_settings(const std::string& file);

} // namespace ospreystage
