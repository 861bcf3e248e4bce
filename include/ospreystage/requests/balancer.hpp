#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/rollout/rollout.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage {

/// Load of an agent to which an attempt may be sent, as known to the entry.
struct balancer_candidate {
    std::string agent;
    std::uint32_t outstanding = 0; ///< Attempts of this entry in flight.
    std::uint32_t reported = 0;    ///< Running and queued, of all entries.
    /// Attempts of this entry in flight when the report was received.
    std::uint32_t outstanding_at_report = 0;
    std::uint32_t capacity = 1;
    milliseconds age{};      ///< Age of the load report.
    bool has_prefix = false; ///< Caches the request's prompt prefix.
};

/// Returns the weight of a load report: 1 when new, falling towards 0 with age.
[[nodiscard]] double report_weight(milliseconds age) noexcept;

/// Estimates the load of a candidate as a fraction of its capacity.
///
/// The attempts of this entry are known exactly. The load of other entries is
/// weighted by the age of the report. A cached prefix lowers the score.
[[nodiscard]] double load_score(const balancer_candidate& candidate);

/// Picks the candidate with the lowest score out of two random ones and all
/// that cache the prompt prefix.
struct two_choice_routing {};

/// Picks the candidates in turn.
struct round_robin_routing {
    std::size_t next = 0;
};

/// Picks a candidate uniformly at random.
struct random_routing {};

/// Chooses the agent for an attempt.
class balancer {
  public:
    using routing =
        std::variant<two_choice_routing, round_robin_routing, random_routing>;

    /// `name` is `two_choice`, `round_robin` or `random`; any other value
    /// selects `two_choice`.
    balancer(const std::string& name, std::uint64_t seed);

    /// Returns the index of the chosen candidate, or nothing if there are no
    /// candidates.
    [[nodiscard]] std::optional<std::size_t>
    choose(const std::vector<balancer_candidate>& candidates);

  private:
    [[nodiscard]] std::size_t random_index(std::size_t count);
    [[nodiscard]] std::size_t
    two_choices(const std::vector<balancer_candidate>& candidates);

    routing routing_;
    std::mt19937_64 random_;
};

/// Returns the agents of one service that an entry connects to.
///
/// Each entry takes a window of equal size out of one common order of the
/// agents, so that every agent is covered by a similar number of entries. If
/// `self` is not in `entries`, the agents are chosen by the hash of its name.
/// The result exceeds `size` if few entries have to cover all agents.
[[nodiscard]] std::vector<std::string>
agent_subset(const std::string& self, std::vector<std::string> entries,
             const std::vector<std::string>& agents, std::size_t size);

/// Returns the percentage of an organisation's requests that `target` gets:
/// its rule for the organisation, else its rule for `*`, else 0.
[[nodiscard]] std::uint32_t traffic_percent(const deployment& target,
                                            const std::string& organisation);

/// Returns the deployments of `service` that may answer the request: the
/// chosen one, then the others by descending percentage.
///
/// The choice depends on organisation and request alone. If the percentages
/// add up to less than 100, the rest goes to the highest one.
[[nodiscard]] std::vector<const deployment*>
choose_deployments(const rollout_document& document, const std::string& service,
                   const std::string& organisation, std::uint64_t request);

} // namespace ospreystage
