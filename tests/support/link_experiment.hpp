#pragma once

#include <ospreystage/core/clock.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ospreystage::support {

/// Requests, reports, documents and a new version on the links of VMs of which
/// some become narrow, in simulated time.
///
/// The product's own classes decide: placement (`backend_load`), the exchange
/// of reports and notices between entries (`load_exchange`), and the
/// distribution of chunks (`swarm`). Messages have their real sizes. Modelled
/// are the engines, which work at the pace that their profile states, callers,
/// who leave if an answer does not begin in time, the rules by which the
/// gateway sends a request to a second server, and the way of a document from
/// one entry of each region to the others.
struct link_scenario {
    std::uint32_t vms = 20; ///< Each with an engine and its agent.
    std::uint32_t entries = 14;
    double load = 0.5; ///< Part of what all engines can serve.
    bool has_new_version = true;
    /// Size of a document that changes while links are narrow; 0: none does.
    std::size_t document_bytes = 0;
    /// VMs, those of entries too, whose links become narrow.
    double squeezed_share = 0.1;
    double squeeze_divisor = 20; ///< Of their rate.
    std::uint64_t seed = 1;
};

/// Times of one kind.
class time_distribution {
  public:
    void add(std::chrono::nanoseconds time);
    /// Returns the time that `share` of all do not exceed; 0 if there is none.
    [[nodiscard]] milliseconds at(double share) const;
    [[nodiscard]] std::size_t size() const noexcept { return times_.size(); }

  private:
    std::vector<std::chrono::nanoseconds> times_;
};

struct link_measurement {
    std::uint32_t requests = 0;
    std::uint32_t answered = 0;
    std::uint32_t refused = 0;
    std::uint32_t abandoned = 0; ///< Their callers have left.
    std::uint32_t second_attempts = 0;
    /// Attempts that reached an engine more than half a second after their
    /// caller had left.
    std::uint32_t late_arrivals = 0;
    time_distribution delay;      ///< Of attempts on their way to an engine.
    time_distribution report_age; ///< When an entry receives a report.
    milliseconds half_held{};     ///< From the publication; 0: never.
    milliseconds all_held{};
    milliseconds all_informed{}; ///< Entries, from the document's change.
    /// Part of the usable rate at which the version reached VMs whose links
    /// stayed as they were, until all of these held it.
    double link_share = 0;
};

/// The same scenario gives the same measurement.
[[nodiscard]] link_measurement
run_link_experiment(const link_scenario& scenario);

} // namespace ospreystage::support
