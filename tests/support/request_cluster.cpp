#include <absl/random/distributions.h>
#include <fmt/format.h>
#include <tests/support/request_cluster.hpp>

#include <algorithm>

namespace ospreystage::support {

namespace {

constexpr std::size_t entry_count = 2;
constexpr std::size_t witness_count = 3;
constexpr std::size_t engine_agents = 3;
constexpr std::size_t plain_agents = 2;
constexpr std::uint32_t answer_tokens = 4;
constexpr std::uint64_t key_count = 12;
constexpr milliseconds class_deadline{3000};
constexpr milliseconds drain_time{30'000};
constexpr milliseconds pause_time{2500};
constexpr milliseconds time_jump{500};
constexpr std::uint32_t per_thousand_base = 1000;

const digest version_a(64, 'a');
const digest version_b(64, 'b');

deployment half_traffic_deployment(const std::string& name,
                                   const digest& version) {
    deployment value;
    value.name = name;
    value.service = "pool";
    value.version = version;
    value.traffic = {{"*", 50}};
    return value;
}

std::shared_ptr<const rollout_document> make_document() {
    auto document = std::make_shared<rollout_document>();
    service pool;
    pool.name = "pool";
    service records;
    records.name = "records";
    records.kind = service_kind::plain;
    records.non_idempotent_routes = {"/sanction"};
    for (std::size_t index = 0; index < engine_agents; ++index)
        pool.vms.push_back(fmt::format("vm-{}", index));
    for (std::size_t index = 0; index < plain_agents; ++index)
        records.vms.push_back(fmt::format("vm-{}", engine_agents + index));
    document->services = {pool, records};
    document->deployments = {half_traffic_deployment("a", version_a),
                             half_traffic_deployment("b", version_b)};
    request_class desk;
    desk.name = "desk";
    desk.deadline = class_deadline;
    document->classes = {desk};
    return document;
}

std::string token(const std::string& body, const digest& version,
                  std::uint32_t index) {
    return fmt::format("{}/{}/{};", body, version.substr(0, 1), index);
}

std::string complete_text(const std::string& body, const digest& version) {
    std::string text;
    for (std::uint32_t index = 0; index < answer_tokens; ++index)
        text += token(body, version, index);
    return text;
}

} // namespace

request_cluster::request_cluster(std::uint64_t seed, request_faults faults)
    : random_(seed), faults_(faults), now_(std::chrono::hours{1}),
      document_(make_document()), entries_(entry_count),
      agents_(engine_agents + plain_agents), witnesses_(witness_count) {
    for (std::size_t index = 0; index < witness_count; ++index)
        configuration_.cluster.witnesses.push_back(
            {fmt::format("w-{}", index), {}});
    configuration_.backend_server.capacity = 2;
    configuration_.backend_server.queue = 2;
    configuration_.requests.retry_percent = 50;
    for (std::size_t index = 0; index < witness_count; ++index) {
        start_witness(index);
        witnesses_[index].value->skip_recovery();
    }
    for (std::size_t index = 0; index < agents_.size(); ++index)
        start_agent(index);
    for (std::size_t index = 0; index < entry_count; ++index)
        start_entry(index);
}

request_report request_cluster::run(std::uint32_t steps) {
    for (std::uint32_t count = 0; count < steps; ++count)
        step();
    drain();
    return report_;
}

std::size_t request_cluster::random_index(std::size_t count) {
    return absl::Uniform<std::size_t>(random_, 0, count);
}

bool request_cluster::happens(std::uint32_t per_thousand) {
    return !faults_disabled_ && random_index(per_thousand_base) < per_thousand;
}

void request_cluster::report_violation(const std::string& text) {
    report_.violations.push_back(text);
}

// ---- Processes -------------------------------------------------------------

void request_cluster::start_entry(std::size_t index) {
    entry_node& node = entries_[index];
    node.id = {fmt::format("entry-{}", index), next_incarnation_++};
    node.value =
        std::make_unique<broker>(node.id, configuration_, node.id.incarnation);
    node.epochs.clear();
    node.value->set_document(document_, now_);
    std::vector<member> members;
    for (const agent_node& agent : agents_) {
        member listed;
        listed.id = agent.id;
        listed.vm = agent.id.name;
        members.push_back(std::move(listed));
    }
    node.value->set_agents(members);
    for (connection& link : links_) {
        if (link.entry == index)
            link.entry_open = false;
    }
    for (auto& [key, request] : requests_) {
        if (key.first.name != node.id.name || request.ended)
            continue;
        request.ended = true;
        ++report_.lost_with_entry;
    }
}

void request_cluster::start_agent(std::size_t index) {
    agent_node& node = agents_[index];
    node.id = {fmt::format("vm-{}", index), next_incarnation_++};
    node.engine = index < engine_agents;
    node.versions = {version_a, version_b};
    node.value = std::make_unique<attempt_scheduler>(node.id, configuration_);
    node.runs.clear();
    node.latest_hello.clear();
    for (connection& link : links_) {
        if (link.agent == index && (link.hello_accepted || happens(500)))
            link.agent_closed = true;
    }
    update_service(node);
}

void request_cluster::update_service(agent_node& agent) {
    const scheduled_service served{agent.engine ? "pool" : "records",
                                   agent.engine, agent.versions, true};
    const auto index = static_cast<std::size_t>(&agent - agents_.data());
    apply_at_agent(index, agent.value->set_service(served, now_));
}

void request_cluster::start_witness(std::size_t index) {
    witness_node& node = witnesses_[index];
    node.id = {fmt::format("w-{}", index), next_incarnation_++};
    std::vector<std::string> names;
    for (const auto& witness : configuration_.cluster.witnesses)
        names.push_back(witness.name);
    node.value = std::make_unique<claim_table>(
        node.id, names, configuration_.cluster.claim_retention, now_);
}

// ---- Steps -----------------------------------------------------------------

void request_cluster::step() {
    now_ += milliseconds{random_index(4)};
    inject_faults();
    if (random_index(25) == 0)
        begin_request();
    switch (random_index(10)) {
    case 0:
    case 1:
    case 2:
    case 3:
        deliver_to_agent();
        break;
    case 4:
    case 5:
    case 6:
        deliver_to_entry();
        break;
    case 7:
        deliver_claims();
        break;
    default:
        advance_back_end();
        break;
    }
    if (now_ - last_tick_ >= broker_tick_interval)
        tick();
}

void request_cluster::inject_faults() {
    if (happens(faults_.time_jumps))
        now_ += time_jump;
    if (happens(faults_.link_breaks) && !links_.empty())
        break_link(links_[random_index(links_.size())]);
    if (happens(faults_.agent_restarts))
        start_agent(random_index(agents_.size()));
    if (happens(faults_.entry_restarts))
        start_entry(random_index(entries_.size()));
    if (happens(faults_.witness_restarts))
        start_witness(random_index(witnesses_.size()));
    if (happens(faults_.claim_drops) && !claim_queues_.empty())
        std::next(claim_queues_.begin(),
                  static_cast<long>(random_index(claim_queues_.size())))
            ->second.clear();
    if (happens(faults_.version_changes)) {
        agent_node& agent = agents_[random_index(engine_agents)];
        const std::vector<std::vector<digest>> choices{
            {version_a}, {version_b}, {version_a, version_b}};
        agent.versions = choices[random_index(choices.size())];
        update_service(agent);
    }
    if (happens(faults_.pauses))
        agents_[random_index(agents_.size())].paused_until = now_ + pause_time;
    if (happens(faults_.pauses))
        entries_[random_index(entries_.size())].paused_until =
            now_ + pause_time;
}

void request_cluster::begin_request() {
    const std::size_t index = random_index(entries_.size());
    entry_node& node = entries_[index];
    const request_id id = next_request_++;
    incoming_request incoming;
    incoming.organisation = random_index(2) == 0 ? "board" : "tokachi";
    incoming.request_class = "desk";
    incoming.method = "POST";
    incoming.service = random_index(2) == 0 ? "pool" : "records";
    incoming.stream = random_index(2) == 0;
    incoming.path = "/read";
    incoming.body = fmt::format("request-{}", id);
    if (random_index(2) == 0) {
        incoming.idempotency_key =
            fmt::format("key-{}", random_index(key_count * (1 + id / 40)));
        incoming.body = "body of " + incoming.idempotency_key;
        incoming.non_idempotent = true;
    }
    caller_request request;
    request.incoming = incoming;
    request.begun_at = now_;
    requests_.emplace(request_key{node.id, id}, std::move(request));
    ++report_.begun;
    apply_at_entry(index, node.value->begin(id, incoming, now_));
    if (happens(20)) {
        requests_.at({node.id, id}).ended = true;
        apply_at_entry(index, node.value->cancel(id, now_));
    }
}

void request_cluster::advance_back_end() {
    const std::size_t index = random_index(agents_.size());
    agent_node& agent = agents_[index];
    if (agent.runs.empty() || agent.paused_until > now_)
        return;
    const auto chosen = std::next(
        agent.runs.begin(), static_cast<long>(random_index(agent.runs.size())));
    const attempt_id attempt = chosen->first;
    back_end_run& run = chosen->second;
    if (happens(faults_.back_end_failures)) {
        agent.runs.erase(chosen);
        apply_at_agent(index,
                       agent.value->on_failed(attempt, true, "reset", now_));
        return;
    }
    if (!run.begun) {
        run.begun = true;
        run.next_token = run.order.stream ? run.order.skip_tokens : 0;
        if (agent.engine && happens(faults_.wrong_versions))
            run.version = run.version == version_a ? version_b : version_a;
        apply_at_agent(index, agent.value->on_begin(attempt, 200, "text/plain",
                                                    run.version, now_));
        return;
    }
    if (run.next_token < answer_tokens) {
        const std::string data =
            token(run.order.body, run.version, run.next_token++);
        apply_at_agent(index, agent.value->on_part(attempt, data, now_));
        return;
    }
    agent.runs.erase(chosen);
    apply_at_agent(index, agent.value->on_end(attempt, now_));
}

void request_cluster::start_run(std::size_t agent, const run_order& order) {
    if (happens(faults_.back_end_failures)) {
        apply_at_agent(agent, agents_[agent].value->on_failed(
                                  order.attempt, false, "refused", now_));
        return;
    }
    ++report_.runs;
    agents_[agent].runs.emplace(order.attempt,
                                back_end_run{order, order.version, false, 0});
    const auto known = attempts_.find(order.attempt);
    if (known == attempts_.end()) {
        report_violation("an attempt ran that no broker dispatched");
        return;
    }
    caller_request& request = requests_.at(known->second);
    request.ran = true;
    if (request.reported_not_run)
        report_violation(to_string(order.attempt) +
                         " ran after its request was reported as not-run");
    if (!order.non_idempotent)
        return;
    ++report_.keyed_runs;
    auto& runs =
        keyed_runs_[{order.organisation, request.incoming.idempotency_key}];
    runs.insert(order.attempt);
    if (runs.size() > 1)
        report_violation(order.organisation + "/" + order.idempotency_key +
                         " ran twice");
}

void request_cluster::end_request(std::size_t entry, request_id id,
                                  const std::optional<refuse_action>& refusal) {
    caller_request& request = requests_.at({entries_[entry].id, id});
    if (request.ended)
        report_violation(fmt::format("request {} ended twice", id));
    request.ended = true;
    if (!refusal) {
        ++report_.answered;
        if (request.text !=
            complete_text(request.incoming.body, request.version))
            report_violation(fmt::format("request {} got the wrong answer '{}'",
                                         id, request.text));
        return;
    }
    if (refusal->result == outcome::unknown) {
        ++report_.unknown;
        return;
    }
    ++report_.not_run;
    request.reported_not_run = true;
    if (request.ran)
        report_violation(
            fmt::format("request {} was reported as not-run ({}) but ran", id,
                        refusal->reason));
}

// ---- Time ------------------------------------------------------------------

void request_cluster::tick() {
    last_tick_ = now_;
    std::erase_if(links_, [](const connection& link) {
        return !link.entry_open && link.agent_closed;
    });
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        if (entries_[index].paused_until <= now_)
            apply_at_entry(index, entries_[index].value->tick(now_));
    }
    for (std::size_t index = 0; index < agents_.size(); ++index) {
        if (agents_[index].paused_until <= now_)
            apply_at_agent(index, agents_[index].value->tick(now_));
    }
    for (std::size_t index = 0; index < witnesses_.size(); ++index) {
        for (const auto& step : witnesses_[index].value->tick(now_)) {
            for (std::size_t peer = 0; peer < witnesses_.size(); ++peer) {
                if (witnesses_[peer].id.name == step.witness)
                    send_claim_frame(entry_count + index, entry_count + peer,
                                     step.body);
            }
        }
    }
    report_loads();
}

void request_cluster::drain() {
    faults_disabled_ = true;
    const instant end = now_ + drain_time;
    while (now_ < end) {
        for (std::size_t index = 0; index < links_.size(); ++index) {
            if (links_[index].agent_closed)
                break_link(links_[index]);
        }
        for (int count = 0; count < 40; ++count) {
            deliver_to_agent();
            deliver_to_entry();
            deliver_claims();
            advance_back_end();
        }
        now_ += broker_tick_interval;
        tick();
    }
    for (const entry_node& node : entries_) {
        if (!node.value->idle())
            report_violation(node.id.name +
                             " is not idle: " + node.value->dump().dump());
    }
    for (const agent_node& node : agents_) {
        if (!node.value->idle())
            report_violation(node.id.name + " is not idle");
    }
    for (const auto& [key, request] : requests_) {
        if (!request.ended)
            report_violation(
                fmt::format("request {} has no outcome", key.second));
    }
}

} // namespace ospreystage::support
