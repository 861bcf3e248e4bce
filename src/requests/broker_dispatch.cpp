#include <ospreystage/impl/broker_state.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage::impl {

namespace {

/// Time within which an agent must be found for an attempt.
constexpr milliseconds choose_timeout{1500};

/// Maximum number of attempts of one request, including the first.
constexpr std::uint32_t max_attempts = 4;

/// Capacity assumed for an agent that has not reported its capacity.
constexpr std::uint32_t unreported_capacity = 16;

milliseconds load_age(const agent_state& agent, instant now) {
    return std::chrono::duration_cast<milliseconds>(now -
                                                    agent.load_received_at) +
           milliseconds{agent.load.age_ms};
}

bool contains(const std::vector<digest>& versions, const digest& version) {
    return std::find(versions.begin(), versions.end(), version) !=
           versions.end();
}

std::string reason_of(refusal reason) {
    switch (reason) {
    case refusal::wrong_incarnation:
    case refusal::stale_epoch:
    case refusal::back_end_unreachable:
        return "agent_unreachable";
    case refusal::version_not_held:
        return "version_not_held";
    case refusal::overloaded:
        return "overloaded";
    case refusal::leaving:
        return "leaving";
    case refusal::expired:
    case refusal::sealed:
        return "deadline";
    case refusal::not_in_force:
        return "not_in_force";
    }
    return "";
}

} // namespace

void broker_state::start_choosing(request_id request, instant now) {
    request_state& state = requests_.at(request);
    state.phase = request_phase::choosing;
    state.phase_deadline = std::min(state.deadline, now + choose_timeout);
    dispatch(request, now);
}

void broker_state::dispatch(request_id request, instant now) {
    request_state& state = requests_.at(request);
    if (state.deadline <= now) {
        fail_request(request, "deadline", now);
        return;
    }
    for (const digest& version : eligible_versions(request, state)) {
        if (dispatch_version(request, version, now))
            return;
    }
    if (now < state.phase_deadline && may_find_agent(state))
        return;
    fail_request(request,
                 state.last_reason.empty() ? "no_backend_server"
                                           : state.last_reason,
                 now);
}

bool broker_state::dispatch_version(request_id request, const digest& version,
                                    instant now) {
    const request_state& state = requests_.at(request);
    auto usable = candidates(state, version, now);
    const std::size_t current = usable.size();
    const auto older = superseded_version(request, state, version);
    if (older) {
        for (balancer_candidate& candidate : candidates(state, *older, now)) {
            const auto& held = agents_.at(candidate.agent).load.versions;
            if (!contains(held, version))
                usable.push_back(std::move(candidate));
        }
    }
    const auto chosen = balancer_.choose(usable);
    if (!chosen)
        return false;
    send_run_order(request, usable[*chosen].agent,
                   *chosen < current ? version : *older, now);
    return true;
}

std::optional<digest>
broker_state::superseded_version(request_id request, const request_state& state,
                                 const digest& version) const {
    if (!state.engine_service || state.begin_forwarded || !previous_document_)
        return std::nullopt;
    const auto before =
        choose_deployments(*previous_document_, state.incoming.service,
                           state.incoming.organisation, request);
    if (before.empty() || before.front()->version == version)
        return std::nullopt;
    const digest& older = before.front()->version;
    const bool still_current = std::any_of(
        document_->deployments.begin(), document_->deployments.end(),
        [&](const deployment& target) {
            return target.service == state.incoming.service &&
                   target.version == older;
        });
    if (still_current)
        return std::nullopt;
    return older;
}

std::vector<digest>
broker_state::eligible_versions(request_id request,
                                const request_state& state) const {
    if (!state.engine_service)
        return {digest{}};
    if (state.begin_forwarded)
        return {state.pinned_version};
    std::vector<digest> versions;
    for (const deployment* target :
         choose_deployments(*document_, state.incoming.service,
                            state.incoming.organisation, request))
        versions.push_back(target->version);
    return versions;
}

bool broker_state::is_eligible(const agent_state& agent,
                               const request_state& state,
                               const digest& version) const {
    if (!agent.listed || !agent.link_up || agent.load.leaving ||
        state.excluded_agents.contains(agent.id.name))
        return false;
    if (!state.engine_service)
        return true;
    return agent.reported && agent.load.service == state.incoming.service &&
           contains(agent.load.versions, version);
}

std::vector<balancer_candidate>
broker_state::candidates(const request_state& state, const digest& version,
                         instant now) const {
    std::vector<balancer_candidate> usable;
    const auto subset = subsets_.find(state.incoming.service);
    if (subset == subsets_.end())
        return usable;
    for (const std::string& name : subset->second) {
        const agent_state& agent = agents_.at(name);
        if (!is_eligible(agent, state, version))
            continue;
        balancer_candidate candidate;
        candidate.agent = name;
        candidate.outstanding = agent.outstanding;
        if (agent.reported) {
            const auto& prefixes = agent.load.prefixes;
            candidate.reported = agent.load.running + agent.load.queued;
            candidate.outstanding_at_report = agent.outstanding_at_report;
            candidate.capacity = agent.load.capacity;
            candidate.age = load_age(agent, now);
            candidate.has_prefix =
                state.incoming.prefix_hash != 0 &&
                std::find(prefixes.begin(), prefixes.end(),
                          state.incoming.prefix_hash) != prefixes.end();
        }
        usable.push_back(std::move(candidate));
    }
    return usable;
}

std::uint32_t broker_state::slot_count(const std::string& service,
                                       instant now) const {
    const auto entries =
        std::max<std::uint32_t>(static_cast<std::uint32_t>(entries_.size()), 1);
    std::uint32_t slots = 0;
    for (const std::string& name : subsets_.at(service)) {
        const agent_state& agent = agents_.at(name);
        if (!agent.listed || !agent.link_up || agent.load.leaving)
            continue;
        const std::uint32_t capacity =
            agent.reported ? agent.load.capacity : unreported_capacity;
        const std::uint32_t reported =
            agent.reported ? agent.load.running + agent.load.queued : 0;
        const std::uint32_t others =
            reported - std::min(reported, agent.outstanding_at_report);
        const auto weighted = static_cast<std::uint32_t>(
            others * report_weight(load_age(agent, now)));
        const std::uint32_t max_slots = capacity + capacity / 4;
        const std::uint32_t available =
            max_slots - std::min(max_slots, weighted);
        slots += std::max({available, capacity / entries, 1U});
    }
    return slots;
}

bool broker_state::may_find_agent(const request_state& state) const {
    const auto subset = subsets_.find(state.incoming.service);
    if (subset == subsets_.end())
        return false;
    return std::any_of(subset->second.begin(), subset->second.end(),
                       [&](const std::string& name) {
                           const agent_state& agent = agents_.at(name);
                           return agent.listed &&
                                  !state.excluded_agents.contains(name) &&
                                  (!agent.link_up ||
                                   (state.engine_service && !agent.reported));
                       });
}

void broker_state::send_run_order(request_id request, const std::string& agent,
                                  const digest& version, instant now) {
    request_state& state = requests_.at(request);
    agent_state& target = agents_.at(agent);
    attempt_state attempt;
    attempt.agent = target.id;
    attempt.version = version;
    attempt.id = {self_, next_sequence_++};
    run_order order;
    order.attempt = attempt.id;
    order.agent = attempt.agent;
    order.organisation = state.incoming.organisation;
    order.service = state.incoming.service;
    order.request_class = state.incoming.request_class;
    order.method = state.incoming.method;
    order.path = state.incoming.path;
    order.content_type = state.incoming.content_type;
    order.body = state.incoming.body;
    order.version = version;
    order.priority = state.priority;
    order.deadline_ms = static_cast<std::uint32_t>(
        std::chrono::ceil<milliseconds>(state.deadline - now).count());
    order.skip_tokens = state.tokens_forwarded;
    order.stream = state.streams;
    order.non_idempotent = state.incoming.non_idempotent;
    order.idempotency_key = state.incoming.idempotency_key;
    attempts_.emplace(attempt.id.sequence, request);
    ++target.outstanding;
    ++state.attempts;
    state.attempt = std::move(attempt);
    state.phase = request_phase::in_flight;
    actions_.emplace_back(send_action{agent, std::move(order)});
}

void broker_state::end_attempt(request_state& state) {
    if (!state.attempt)
        return;
    attempts_.erase(state.attempt->id.sequence);
    const auto agent = agents_.find(state.attempt->agent.name);
    if (agent != agents_.end() && agent->second.outstanding > 0)
        --agent->second.outstanding;
    state.attempt.reset();
    state.buffered.clear();
}

void broker_state::on_attempt_not_run(request_id request, refusal reason,
                                      milliseconds retry_after, instant now) {
    request_state& state = requests_.at(request);
    if (reason != refusal::stale_epoch)
        state.excluded_agents.insert(state.attempt->agent.name);
    state.retry_after = std::max(state.retry_after, retry_after);
    end_attempt(state);
    if (reason == refusal::sealed || reason == refusal::expired) {
        fail_request(request, reason_of(reason), now);
        return;
    }
    const bool first = state.attempts == 1;
    retry(request, reason_of(reason), first, now);
}

void broker_state::on_attempt_lost(request_id request,
                                   const std::string& reason, instant now) {
    request_state& state = requests_.at(request);
    state.attempt_lost = true;
    end_attempt(state);
    if (state.incoming.non_idempotent) {
        fail_request(request, reason, now);
        return;
    }
    retry(request, reason, false, now);
}

void broker_state::retry(request_id request, const std::string& reason,
                         bool exempt_from_budget, instant now) {
    request_state& state = requests_.at(request);
    state.last_reason = reason;
    if (state.attempts >= max_attempts ||
        (!exempt_from_budget && !retry_budget_.try_withdraw())) {
        fail_request(request, reason, now);
        return;
    }
    ++retried_total_;
    start_choosing(request, now);
}

} // namespace ospreystage::impl
