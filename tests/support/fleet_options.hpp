#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/settings.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace ospreystage::support {

/// Size, limits and settings of a fleet of separate processes.
struct fleet_options {
    std::string run_folder; ///< Created if missing; empty: generated.

    // ---- Counts ------------------------------------------------------------

    std::size_t data_centres = 1;
    std::size_t entries = 3; ///< The first `max_fleet_witnesses` are witnesses.
    std::size_t agents = 2;  ///< VMs with an engine, from `vm-1`.
    std::size_t plain_agents = 0; ///< VMs with a plain service, numbered next.
    /// All plain agents share one plain service, `backend-plain`.
    bool share_plain_backend = false;

    // ---- Platform and backend servers --------------------------------------

    bool fencing = false; ///< Engines refuse orders with old fence numbers.
    std::uint32_t capacity = 16;
    std::uint32_t queue = 64;
    milliseconds engine_step{9};
    milliseconds load_lag{0};
    milliseconds vm_list_lag{0};
    milliseconds plain_work{5};
    std::uint64_t origin_bytes_per_second = 0; ///< 0: unlimited.

    // ---- Settings of the processes -----------------------------------------

    std::string region = "region-1";
    std::string log_level = "info";
    std::string token = "fleet-token";
    std::uint32_t http_threads = 8;
    milliseconds heartbeat_interval{500};
    milliseconds silence_timeout{2000};
    milliseconds gossip_interval{500};
    milliseconds claim_retention{600'000};
    milliseconds entry_answer_ttl{2000};
    milliseconds call_timeout{1000};
    milliseconds vm_list_interval{1000};
    std::uint64_t link_bytes_per_second = 0; ///< 0: unlimited.
    bool shared_directions = false;
    std::uint32_t origin_copies = 1;
    std::string baseline = "none";
    std::string routing = "two_choice";
    std::vector<operator_settings> operators = {
        {"operator-1", "operator-token-1", {"*"}}};
    milliseconds start_timeout{15'000}; ///< Until every process is ready.
};

/// Largest number of witnesses in a fleet.
inline constexpr std::size_t max_fleet_witnesses = 7;

/// Name and addresses of an entry or agent.
struct fleet_member {
    std::string name;
    bool agent = false;
    std::string data_centre;
    address http;
    address peer;
    std::string backend_kind; ///< `engine` or `plain` (agents).
    std::string backend_url;  ///< `http://host:port` (agents).
};

/// URLs of the stand-ins for the platform's services.
struct platform_urls {
    std::string kv;
    std::string vms;
    std::string origin;
};

/// Returns the settings of `member` as TOML text.
[[nodiscard]] std::string
settings_text(const fleet_options& options, const fleet_member& member,
              const std::vector<witness_settings>& witnesses,
              const platform_urls& platform);

} // namespace ospreystage::support
