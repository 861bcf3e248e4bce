#include <ospreystage/requests/balancer.hpp>

#include <absl/random/distributions.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Age at which the reported load of other entries counts half.
constexpr milliseconds load_half_life{500};

/// Reduction of the score for a cached prompt prefix, as a fraction of the
/// capacity.
constexpr double prefix_bonus = 0.25;

/// Sum of all percentages.
constexpr std::uint32_t total_percent = 100;

/// Hexadecimal digits of a digest that form a 32-bit number.
constexpr std::size_t hash_digits = 8;

constexpr int hexadecimal = 16;

balancer::routing make_routing(const std::string& name) {
    if (name == "round_robin")
        return round_robin_routing{};
    if (name == "random")
        return random_routing{};
    return two_choice_routing{};
}

std::uint32_t hash_percent(const std::string& text) {
    const std::string head = sha256(text).substr(0, hash_digits);
    return static_cast<std::uint32_t>(std::stoul(head, nullptr, hexadecimal) %
                                      total_percent);
}

} // namespace

double report_weight(milliseconds age) noexcept {
    const double half_lives = static_cast<double>(age.count()) /
                              static_cast<double>(load_half_life.count());
    return 1.0 / (1.0 + half_lives);
}

double load_score(const balancer_candidate& candidate) {
    const std::uint32_t others =
        candidate.reported -
        std::min(candidate.reported, candidate.outstanding_at_report);
    const double weight = report_weight(candidate.age);
    const double load = candidate.outstanding + others * weight;
    const double share = load / std::max<std::uint32_t>(candidate.capacity, 1);
    return candidate.has_prefix ? share - prefix_bonus * weight : share;
}

balancer::balancer(const std::string& name, std::uint64_t seed)
    : routing_(make_routing(name)), random_(seed) {}

std::optional<std::size_t>
balancer::choose(const std::vector<balancer_candidate>& candidates) {
    if (candidates.empty())
        return std::nullopt;
    struct visitor {
        balancer& self;
        const std::vector<balancer_candidate>& candidates;
        std::size_t operator()(two_choice_routing&) const {
            return self.two_choices(candidates);
        }
        std::size_t operator()(round_robin_routing& state) const {
            return state.next++ % candidates.size();
        }
        std::size_t operator()(random_routing&) const {
            return self.random_index(candidates.size());
        }
    };
    return std::visit(visitor{*this, candidates}, routing_);
}

std::size_t balancer::random_index(std::size_t count) {
    return absl::Uniform<std::size_t>(random_, 0, count);
}

std::size_t
balancer::two_choices(const std::vector<balancer_candidate>& candidates) {
    const std::size_t count = candidates.size();
    std::size_t best = random_index(count);
    const auto consider = [&](std::size_t other) {
        if (load_score(candidates[other]) < load_score(candidates[best]))
            best = other;
    };
    if (count > 1) {
        const std::size_t step = 1 + random_index(count - 1);
        consider((best + step) % count);
    }
    for (std::size_t index = 0; index < count; ++index) {
        if (candidates[index].has_prefix)
            consider(index);
    }
    return best;
}

std::vector<std::string> agent_subset(const std::string& self,
                                      std::vector<std::string> entries,
                                      const std::vector<std::string>& agents,
                                      std::size_t size) {
    if (agents.size() <= size)
        return agents;
    std::sort(entries.begin(), entries.end());
    const auto position = std::find(entries.begin(), entries.end(), self);
    if (position == entries.end()) {
        std::vector<std::string> chosen = rendezvous_order(self, agents);
        chosen.resize(size);
        return chosen;
    }
    const std::vector<std::string> order = rendezvous_order("agents", agents);
    const auto index = static_cast<std::size_t>(position - entries.begin());
    const std::size_t first = index * order.size() / entries.size();
    const std::size_t min_size =
        (order.size() + entries.size() - 1) / entries.size();
    std::vector<std::string> chosen;
    for (std::size_t step = 0; step < std::max(size, min_size); ++step)
        chosen.push_back(order[(first + step) % order.size()]);
    return chosen;
}

std::uint32_t traffic_percent(const deployment& target,
                              const std::string& organisation) {
    const traffic_rule* best = nullptr;
    for (const traffic_rule& rule : target.traffic) {
        if (rule.organisation == organisation)
            return rule.percent;
        if (rule.organisation == "*")
            best = &rule;
    }
    return best == nullptr ? 0 : best->percent;
}

std::vector<const deployment*>
choose_deployments(const rollout_document& document, const std::string& service,
                   const std::string& organisation, std::uint64_t request) {
    std::vector<std::pair<std::uint32_t, const deployment*>> shares;
    for (const deployment& target : document.deployments) {
        const std::uint32_t percent = traffic_percent(target, organisation);
        if (target.service == service && percent > 0)
            shares.emplace_back(percent, &target);
    }
    std::sort(shares.begin(), shares.end(),
              [](const auto& left, const auto& right) {
                  if (left.first != right.first)
                      return left.first > right.first;
                  return left.second->name < right.second->name;
              });
    const std::uint32_t drawn =
        hash_percent(organisation + "\n" + std::to_string(request));
    std::uint32_t cumulative = 0;
    std::size_t chosen = 0;
    for (std::size_t index = 0; index < shares.size(); ++index) {
        cumulative += shares[index].first;
        if (drawn < cumulative) {
            chosen = index;
            break;
        }
    }
    std::vector<const deployment*> order;
    order.reserve(shares.size());
    for (const auto& [percent, target] : shares)
        order.push_back(target);
    if (!order.empty())
        std::rotate(order.begin(), order.begin() + static_cast<long>(chosen),
                    order.begin() + static_cast<long>(chosen) + 1);
    return order;
}

} // namespace ospreystage
