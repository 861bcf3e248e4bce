#pragma once

#include <ospreystage/weights/swarm.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace ospreystage::support {

/// Distribution of one version to members in three data centres.
struct swarm_scenario {
    std::uint32_t members = 8;
    std::uint32_t chunks = 128;
    std::uint32_t chunk_bytes = 256 * 1024;
    /// Time in which the origin's link carries 4 copies and a VM's link 2.
    milliseconds window{20'000};
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
