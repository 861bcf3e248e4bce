#include <ospreystage/impl/broker_state.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage::impl {

namespace {

/// Time before the deadline at which the agent is ordered to seal an attempt
/// whose answer has not begun.
constexpr milliseconds seal_margin{200};

/// Time limit of a request whose class the document does not name.
constexpr milliseconds default_deadline{30'000};

/// Retry delay of a refusal for which no other delay is known.
constexpr milliseconds default_retry_after{500};

bool is_non_idempotent(const incoming_request& incoming,
                       const service& target) {
    const auto& routes = target.non_idempotent_routes;
    const std::string route = incoming.path.substr(0, incoming.path.find('?'));
    return incoming.non_idempotent ||
           std::find(routes.begin(), routes.end(), route) != routes.end() ||
           std::find(routes.begin(), routes.end(), incoming.request_class) !=
               routes.end();
}

std::vector<std::string> witness_names(const settings& configuration) {
    std::vector<std::string> names;
    for (const witness_settings& witness : configuration.cluster.witnesses)
        names.push_back(witness.name);
    return names;
}

} // namespace

const char* to_string(request_phase phase) noexcept {
    switch (phase) {
    case request_phase::waiting:
        return "waiting";
    case request_phase::claiming:
        return "claiming";
    case request_phase::choosing:
        return "choosing";
    case request_phase::in_flight:
        return "in_flight";
    case request_phase::resolving:
        return "resolving";
    }
    return "";
}

broker_state::broker_state(process_id self, const settings& configuration,
                           std::uint64_t seed)
    : self_(std::move(self)),
      subset_size_(configuration.cluster.agents_per_entry),
      witnesses_(witness_names(configuration)),
      balancer_(configuration.requests.routing, seed),
      admission_(configuration.requests.queue),
      retry_budget_(configuration.requests.retry_percent), random_(seed) {}

bool broker_state::idle() const {
    return requests_.empty();
}

nlohmann::json broker_state::dump() const {
    nlohmann::json state;
    state["requests"] = nlohmann::json::array();
    for (const auto& [id, request] : requests_)
        state["requests"].push_back(
            {{"id", id},
             {"organisation", request.incoming.organisation},
             {"service", request.incoming.service},
             {"phase", to_string(request.phase)},
             {"agent", request.attempt ? request.attempt->agent.name : ""},
             {"attempt", request.attempt ? to_string(request.attempt->id) : ""},
             {"attempts", request.attempts},
             {"claimed", request.claimed}});
    state["agents"] = nlohmann::json::object();
    for (const auto& [name, agent] : agents_)
        state["agents"][name] = {{"listed", agent.listed},
                                 {"up", agent.link_up},
                                 {"incarnation", agent.id.incarnation},
                                 {"outstanding", agent.outstanding},
                                 {"reported", agent.reported},
                                 {"versions", agent.load.versions}};
    state["subsets"] = subsets_;
    state["admission"] = admission_.dump();
    state["leaving"] = leaving_;
    state["retries_available"] = retry_budget_.available();
    state["answered_total"] = answered_total_;
    state["not_run_total"] = not_run_total_;
    state["unknown_total"] = unknown_total_;
    state["retried_total"] = retried_total_;
    state["dropped_frames_total"] = dropped_frames_;
    return state;
}

void broker_state::set_document(
    std::shared_ptr<const rollout_document> document, instant now) {
    if (document_ && document && document_->number != document->number)
        previous_document_ = std::move(document_);
    document_ = std::move(document);
    if (document_ != nullptr)
        admission_.set_document(*document_, now);
    update_subsets();
}

void broker_state::set_entries(std::vector<std::string> entries) {
    entries_ = std::move(entries);
    update_subsets();
}

void broker_state::set_leaving() {
    leaving_ = true;
}

broker_actions broker_state::take_actions() {
    return std::exchange(actions_, {});
}

void broker_state::begin(request_id request, incoming_request incoming,
                         instant now) {
    // Until the claim of its key is decided, an earlier request with the same
    // key may have run.
    const outcome early_outcome =
        incoming.idempotency_key.empty() ? outcome::not_run : outcome::unknown;
    const auto refuse_early = [&](const std::string& reason) {
        refuse(request, early_outcome, reason, default_retry_after, now);
    };
    if (leaving_)
        return refuse_early("leaving");
    if (document_ == nullptr)
        return refuse_early("not_in_force");
    const service* target = document_->find_service(incoming.service);
    if (target == nullptr)
        return refuse_early("unknown_service");
    request_state state = make_request(std::move(incoming), *target, now);
    const bool claims = state.incoming.non_idempotent;
    if (claims && state.incoming.idempotency_key.empty())
        return refuse_early("idempotency_key_missing");
    if (claims && witnesses_.empty())
        return refuse_early("no_witness");
    const admission_ticket ticket{request,        state.incoming.organisation,
                                  target->name,   state.incoming.request_class,
                                  state.priority, state.deadline};
    const admission_decision decision = admission_.admit(ticket, now);
    if (const auto* refused = std::get_if<admission_refused>(&decision))
        return refuse(request, early_outcome, refused->reason,
                      refused->retry_after, now);
    retry_budget_.deposit();
    requests_.emplace(request, std::move(state));
    if (std::holds_alternative<admission_granted>(decision))
        start_request(request, now);
}

void broker_state::start_request(request_id request, instant now) {
    if (requests_.at(request).incoming.non_idempotent)
        start_claim(request, now);
    else
        start_choosing(request, now);
}

void broker_state::admit_waiting(instant now) {
    for (const auto& [name, names] : subsets_)
        admission_.set_slots(name, slot_count(name, now));
    for (const request_id id : admission_.take_unservable(now))
        fail_request(id, "overloaded", now);
    for (const request_id id : admission_.take_startable(now))
        start_request(id, now);
}

request_state broker_state::make_request(incoming_request incoming,
                                         const service& target,
                                         instant now) const {
    request_state state;
    state.incoming = std::move(incoming);
    state.incoming.non_idempotent = is_non_idempotent(state.incoming, target);
    state.engine_service = target.kind == service_kind::engine;
    state.streams = state.engine_service && state.incoming.stream;
    milliseconds timeout = default_deadline;
    const request_class* found =
        document_->find_class(state.incoming.request_class);
    if (found != nullptr) {
        timeout = found->deadline;
        state.priority = found->priority;
    }
    state.deadline = now + timeout;
    return state;
}

void broker_state::cancel(request_id request, instant now) {
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return;
    request_state& state = found->second;
    if (state.attempt)
        send_to_agent(state.attempt->agent, cancel_order{state.attempt->id});
    else if (!state.attempt_lost)
        release_claim(state);
    remove_request(request, false, now);
}

void broker_state::tick(instant now) {
    connect_missing(now);
    std::vector<request_id> ids;
    for (const auto& [id, state] : requests_)
        ids.push_back(id);
    for (const request_id id : ids)
        check_deadline(id, now);
    admit_waiting(now);
    for (const request_id id : requests_in(request_phase::claiming))
        check_claim(id, now);
    for (const request_id id : requests_in(request_phase::choosing))
        dispatch(id, now);
    for (const request_id id : requests_in(request_phase::resolving)) {
        if (requests_.at(id).phase_deadline <= now)
            fail_request(id, "agent_unreachable", now);
    }
}

std::vector<request_id> broker_state::requests_in(request_phase phase) const {
    std::vector<request_id> ids;
    for (const auto& [id, state] : requests_) {
        if (state.phase == phase)
            ids.push_back(id);
    }
    return ids;
}

void broker_state::check_deadline(request_id request, instant now) {
    request_state& state = requests_.at(request);
    const bool in_flight = state.phase == request_phase::in_flight;
    if (state.deadline <= now) {
        if (in_flight)
            send_to_agent(state.attempt->agent,
                          cancel_order{state.attempt->id});
        fail_request(request, "deadline", now);
        return;
    }
    if (!in_flight || state.attempt->answer_begun || state.attempt->seal_sent ||
        state.deadline - now > seal_margin)
        return;
    state.attempt->seal_sent = true;
    actions_.emplace_back(
        send_action{state.attempt->agent.name, seal_order{state.attempt->id}});
}

void broker_state::refuse(request_id request, outcome result,
                          const std::string& reason, milliseconds retry_after,
                          instant now) {
    if (result == outcome::not_run)
        ++not_run_total_;
    else
        ++unknown_total_;
    actions_.emplace_back(refuse_action{request, result, reason, retry_after});
    remove_request(request, false, now);
}

void broker_state::fail_request(request_id request, const std::string& reason,
                                instant now) {
    request_state& state = requests_.at(request);
    const bool may_have_run = state.attempt_lost || state.attempt.has_value();
    const milliseconds retry_after =
        std::max(state.retry_after, default_retry_after);
    // Until the claim of its key is decided, an earlier request with the same
    // key may have run.
    const bool undecided = !state.incoming.idempotency_key.empty() &&
                           (state.phase == request_phase::waiting ||
                            state.phase == request_phase::claiming);
    if (!may_have_run)
        release_claim(state);
    refuse(request,
           may_have_run || undecided ? outcome::unknown : outcome::not_run,
           reason, retry_after, now);
}

void broker_state::remove_request(request_id request, bool answered,
                                  instant now) {
    admission_.end(request, answered, now);
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return;
    request_state& state = found->second;
    attempts_.erase(state.tally.requested().attempt.sequence);
    end_attempt(state);
    requests_.erase(found);
}

} // namespace ospreystage::impl
