#pragma once

#include <ospreystage/weights/swarm.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace ospreystage::support {

/// Bandwidths of a scenario that states them.
struct link_rates {
    std::uint64_t origin = 0; ///< Bytes per second.
    std::uint64_t member = 0; ///< Bytes per second in each direction.
    double budget_share = 1;  ///< Part of a member's link that `swarm` gets.
};

/// Period in which the origin answers nothing, as times since the start.
struct origin_outage {
    milliseconds begin{};
    milliseconds end{};
};

/// Distribution of one version to members in three data centres.
struct swarm_scenario {
    std::uint32_t members = 8;
    std::uint32_t chunks = 128;
    std::uint32_t chunk_bytes = 256 * 1024;
    /// Time in which the origin's link carries 4 copies and a VM's link 2.
    milliseconds window{20'000};
    std::optional<link_rates> rates; ///< Replaces the window's bandwidths.
    /// Time between the manifests of two members. If it is not zero, a member
    /// requests the version only when it has the manifest.
    milliseconds manifest_spacing{0};
    /// True if the members know that the version has just been published.
    bool is_new_version = false;
    /// Connections that the origin accepts; further reads fail. 0: any number.
    std::uint32_t max_origin_connections = 0;
    std::optional<origin_outage> outage;
    /// Time after which a read of an origin that is unavailable fails.
    milliseconds read_timeout{2000};
    /// The same for a read that `swarm` marks as a probe.
    milliseconds probe_timeout{70};
    bool shared_directions = false;
    distribution_strategy strategy = rendezvous_strategy{};
    std::uint64_t seed = 1;
    swarm_options options; ///< Strategy and seed are taken from above.

    std::uint32_t killed = 0;  ///< Members killed and replaced, one by one.
    std::uint32_t stalled = 0; ///< Members that stop responding.
    std::uint32_t corrupt_per_mille = 0;
    /// Time until the other members see that a member was killed.
    milliseconds membership_lag{1000};
    /// Copies after which every read from the origin fails.
    std::optional<double> origin_copies_available;
};

/// Result of one experiment.
struct swarm_measurement {
    std::uint32_t survivors = 0; ///< Members neither killed nor stalled.
    std::uint32_t completed = 0; ///< Survivors with every chunk.
    milliseconds time{};         ///< Until the last survivor completed.
    milliseconds origin_time{};  ///< Until the origin had sent a whole copy.
    milliseconds resume_time{};  ///< From the outage's end to the next read.
    double time_ratio = 0;       ///< Relative to the lower bound of the links.
    double origin_copies = 0;
    double remote_copies = 0;            ///< Copies between data centres.
    double control_bytes_per_second = 0; ///< Per member, sent.
    swarm_counters counters;             ///< Sum over all members.
};

/// Runs the `swarm` of every member over simulated links.
///
/// A link carries complete chunks in the order in which they were sent; the
/// reads in progress share the origin's link. The same scenario gives the same
/// measurement.
[[nodiscard]] swarm_measurement run_experiment(const swarm_scenario& scenario);

} // namespace ospreystage::support
