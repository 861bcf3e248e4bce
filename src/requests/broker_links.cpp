#include <ospreystage/impl/broker_state.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage::impl {

namespace {

/// Interval between two connection attempts to the same agent.
constexpr milliseconds connect_interval{500};

/// Time after a broken link within which the agent must report whether it
/// started the attempt.
constexpr milliseconds resolve_timeout{1500};

bool contains(const std::vector<attempt_id>& attempts,
              const attempt_id& attempt) {
    return std::find(attempts.begin(), attempts.end(), attempt) !=
           attempts.end();
}

} // namespace

void broker_state::set_agents(const std::vector<member>& agents) {
    for (auto& [name, agent] : agents_)
        agent.listed = false;
    for (const member& listed : agents) {
        agent_state& agent = agents_[listed.id.name];
        agent.listed = true;
        agent.vm = listed.vm;
    }
    std::erase_if(agents_, [](const auto& item) {
        const agent_state& agent = item.second;
        return !agent.listed && !agent.link_up && agent.outstanding == 0;
    });
    update_subsets();
}

void broker_state::update_subsets() {
    subsets_.clear();
    if (document_ == nullptr)
        return;
    for (const service& target : document_->services) {
        std::vector<std::string> names;
        for (const auto& [name, agent] : agents_) {
            const auto& vms = target.vms;
            if (agent.listed &&
                std::find(vms.begin(), vms.end(), agent.vm) != vms.end())
                names.push_back(name);
        }
        subsets_[target.name] =
            agent_subset(self_.name, entries_, names, subset_size_);
    }
}

void broker_state::connect(const std::string& agent, agent_state& state,
                           instant now) {
    if (state.next_connect_at > now)
        return;
    state.next_connect_at = now + connect_interval;
    actions_.emplace_back(connect_action{agent});
}

void broker_state::connect_missing(instant now) {
    for (const auto& [service, names] : subsets_) {
        for (const std::string& name : names) {
            agent_state& agent = agents_.at(name);
            if (agent.listed && !agent.link_up)
                connect(name, agent, now);
        }
    }
    for (const request_id id : requests_in(request_phase::resolving)) {
        const std::string& name = requests_.at(id).attempt->agent.name;
        connect(name, agents_.at(name), now);
    }
}

void broker_state::send_to_agent(const process_id& agent, message body) {
    const auto found = agents_.find(agent.name);
    if (found != agents_.end() && found->second.link_up &&
        found->second.id == agent)
        actions_.emplace_back(send_action{agent.name, std::move(body)});
}

std::vector<request_id>
broker_state::requests_on(const std::string& agent) const {
    std::vector<request_id> ids;
    for (const auto& [id, state] : requests_) {
        if (state.attempt && state.attempt->agent.name == agent)
            ids.push_back(id);
    }
    return ids;
}

void broker_state::on_link_up(const process_id& agent,
                              const std::vector<attempt_id>& started,
                              instant now) {
    agent_state& state = agents_[agent.name];
    if (state.id != agent)
        state.reported = false;
    state.link_up = true;
    state.id = agent;
    for (const request_id id : requests_on(agent.name))
        resolve_attempt(id, agent, started, now);
    for (const request_id id : requests_in(request_phase::choosing))
        dispatch(id, now);
}

void broker_state::resolve_attempt(request_id request, const process_id& agent,
                                   const std::vector<attempt_id>& started,
                                   instant now) {
    request_state& state = requests_.at(request);
    const attempt_state& attempt = *state.attempt;
    if (attempt.agent != agent) {
        on_attempt_lost(request, "agent_restarted", now);
        return;
    }
    // After the deadline the agent may have evicted the record of a started
    // attempt, so that its absence from `started` proves nothing.
    if (state.deadline <= now) {
        fail_request(request, "deadline", now);
        return;
    }
    if (!contains(started, attempt.id)) {
        on_attempt_not_run(request, refusal::stale_epoch, milliseconds{0}, now);
        return;
    }
    if (!state.incoming.non_idempotent) {
        on_attempt_lost(request, "link_lost", now);
        return;
    }
    // The agent resends the answer from its first part.
    state.phase = request_phase::in_flight;
}

void broker_state::on_link_down(const std::string& agent, instant now) {
    const auto found = agents_.find(agent);
    if (found == agents_.end())
        return;
    found->second.link_up = false;
    found->second.next_connect_at = now;
    for (const request_id id : requests_on(agent)) {
        request_state& state = requests_.at(id);
        if (state.phase == request_phase::resolving)
            continue;
        const bool can_retry =
            !state.incoming.non_idempotent && retry_budget_.available() > 0;
        if (can_retry) {
            on_attempt_lost(id, "link_lost", now);
            continue;
        }
        state.phase = request_phase::resolving;
        state.phase_deadline = std::min(state.deadline, now + resolve_timeout);
        connect(agent, found->second, now);
    }
    const agent_state& state = found->second;
    if (!state.listed && state.outstanding == 0)
        agents_.erase(found);
}

void broker_state::on_load_report(const process_id& from,
                                  const load_report& report, instant now) {
    const auto found = agents_.find(from.name);
    if (found == agents_.end() || !found->second.link_up ||
        found->second.id != from || report.agent != from)
        return;
    agent_state& agent = found->second;
    agent.reported = true;
    agent.load = report;
    agent.load_received_at = now;
    agent.outstanding_at_report = agent.outstanding;
    for (const request_id id : requests_in(request_phase::choosing))
        dispatch(id, now);
}

} // namespace ospreystage::impl
