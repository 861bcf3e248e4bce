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

/// An agent that may get an attempt, as the entry sees it.
struct balancer_candidate {
    std::string agent;
    std::uint32_t outstanding = 0; ///< Attempts of this entry in flight there.
    std::uint32_t reported = 0;    ///< Running and queued, of every entry.
    /// This entry's attempts in flight there when the report came.
    std::uint32_t outstanding_at_report = 0;
    std::uint32_t capacity = 1;
    milliseconds age{};      ///< Age of the reported figures.
    bool has_prefix = false; ///< Reports the request's prompt prefix.
};

/// Returns how much a report of this age still counts, from 1 down to 0.
[[nodiscard]] double report_weight(milliseconds age) noexcept;

/// Estimates the load of a candidate as a share of its capacity.
///
/// Own attempts are known exactly. The share of the other entries fades with
/// the age of the report; a cached prefix lowers the result a little.
[[nodiscard]] double load_score(const balancer_candidate& candidate);

/// Takes the better of two random candidates, and the best with the prefix.
struct two_choice_routing {};

/// Takes the candidates in turn.
struct round_robin_routing {
    std::size_t next = 0;
};

/// Takes any candidate.
struct random_routing {};

/// Chooses the agent of an attempt.
class balancer {
  public:
    using routing =
        std::variant<two_choice_routing, round_robin_routing, random_routing>;

    /// `name` is `two_choice`, `round_robin` or `random`; anything else means
    /// `two_choice`.
    balancer(const std::string& name, std::uint64_t seed);

    /// Returns the index of the chosen candidate, or nothing if there is none.
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
/// Each entry takes an equal window of the agents in one common order, so that
/// every agent is covered and none by many more entries than another. If
/// `self` is not in `entries`, the window is chosen by the hash of its name.
[[nodiscard]] std::vector<std::string>
agent_subset(const std::string& self, std::vector<std::string> entries,
             const std::vector<std::string>& agents, std::size_t size);

/// Returns the percentage of an organisation's requests that `target` gets:
/// its rule for the organisation, else its rule for `*`, else 0.
[[nodiscard]] std::uint32_t traffic_percent(const deployment& target,
                                            const std::string& organisation);

/// Returns the deployments of `service` that may answer the request, the
/// chosen one first and then by falling percentage.
///
/// The choice is a function of organisation and request alone. What the
/// percentages leave over goes to the deployment with the highest one.
[[nodiscard]] std::vector<const deployment*>
choose_deployments(const rollout_document& document, const std::string& service,
                   const std::string& organisation, std::uint64_t request);

} // namespace ospreystage
