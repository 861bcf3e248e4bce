#include <ospreystage/impl/overloaded.hpp>

#include <tests/support/request_cluster.hpp>

#include <algorithm>

namespace ospreystage::support {

// ---- Links between entries and agents --------------------------------------

request_cluster::connection*
request_cluster::find_link(std::size_t entry, const std::string& agent) {
    for (connection& link : links_) {
        if (link.entry == entry && link.entry_open &&
            agents_[link.agent].id.name == agent)
            return &link;
    }
    return nullptr;
}

void request_cluster::open_link(std::size_t entry, const std::string& agent) {
    if (find_link(entry, agent) != nullptr)
        return;
    const auto target =
        std::find_if(agents_.begin(), agents_.end(),
                     [&](const auto& node) { return node.id.name == agent; });
    connection link;
    link.entry = entry;
    link.agent = static_cast<std::size_t>(target - agents_.begin());
    link.entry_id = entries_[entry].id;
    link.epoch = ++entries_[entry].epochs[agent];
    link.to_agent.emplace_back(
        hello{"", link.entry_id, process_role::entry, link.epoch});
    links_.push_back(std::move(link));
}

void request_cluster::break_link(connection& link) {
    if (!link.entry_open)
        return;
    link.entry_open = false;
    const std::size_t entry = link.entry;
    const std::string agent = agents_[link.agent].id.name;
    apply_at_entry(entry, entries_[entry].value->on_link_down(agent, now_));
}

void request_cluster::deliver_to_agent() {
    std::vector<connection*> ready;
    for (connection& link : links_) {
        if (!link.to_agent.empty() && !link.agent_closed &&
            agents_[link.agent].paused_until <= now_)
            ready.push_back(&link);
    }
    if (ready.empty())
        return;
    connection& link = *ready[random_index(ready.size())];
    const message body = std::move(link.to_agent.front());
    link.to_agent.pop_front();
    if (const auto* greeting = std::get_if<hello>(&body))
        accept_hello(link, *greeting);
    else if (link.hello_accepted)
        handle_at_agent(link, body);
}

void request_cluster::accept_hello(connection& link, const hello& greeting) {
    agent_node& agent = agents_[link.agent];
    const std::pair<std::uint64_t, std::uint64_t> greeted{
        greeting.sender.incarnation, greeting.epoch};
    auto& latest = agent.latest_hello[greeting.sender.name];
    if (greeted <= latest) {
        link.agent_closed = true;
        return;
    }
    latest = greeted;
    for (connection& other : links_) {
        if (&other != &link && other.hello_accepted &&
            other.agent == link.agent && other.entry == link.entry)
            other.agent_closed = true;
    }
    link.hello_accepted = true;
    link.agent_id = agent.id;
    auto result =
        agent.value->on_link_up(greeting.sender, greeting.epoch, now_);
    link.to_entry.emplace_back(hello_reply{agent.id, result.started});
    apply_at_agent(link.agent, result.actions_after_hello);
}

void request_cluster::handle_at_agent(connection& link, const message& body) {
    attempt_scheduler& target = *agents_[link.agent].value;
    const process_id& entry = link.entry_id;
    const std::size_t agent = link.agent;
    std::visit(
        impl::overloaded{
            [&](const run_order& order) {
                apply_at_agent(
                    agent, target.on_run_order(entry, link.epoch, order, now_));
            },
            [&](const seal_order& order) {
                apply_at_agent(agent, target.on_seal_order(entry, order, now_));
            },
            [&](const cancel_order& order) {
                apply_at_agent(agent,
                               target.on_cancel_order(entry, order, now_));
            },
            [](const auto&) {},
        },
        body);
}

void request_cluster::deliver_to_entry() {
    std::vector<connection*> ready;
    for (connection& link : links_) {
        if (!link.to_entry.empty() && link.entry_open &&
            entries_[link.entry].paused_until <= now_)
            ready.push_back(&link);
    }
    if (ready.empty())
        return;
    connection& link = *ready[random_index(ready.size())];
    const message body = std::move(link.to_entry.front());
    link.to_entry.pop_front();
    const std::size_t entry = link.entry;
    broker& target = *entries_[entry].value;
    if (const auto* greeting = std::get_if<hello_reply>(&body)) {
        link.established = true;
        apply_at_entry(entry, target.on_link_up(greeting->sender,
                                                greeting->started, now_));
        return;
    }
    apply_at_entry(entry, target.on_message(link.agent_id, body, now_));
}

void request_cluster::report_loads() {
    for (connection& link : links_) {
        const agent_node& agent = agents_[link.agent];
        if (!link.hello_accepted || link.agent_closed ||
            agent.paused_until > now_ || random_index(5) != 0)
            continue;
        load_report report;
        report.agent = agent.id;
        report.service = agent.engine ? "pool" : "records";
        report.running = agent.value->running();
        report.queued = agent.value->queued();
        report.capacity = configuration_.backend_server.capacity;
        report.versions = agent.versions;
        link.to_entry.emplace_back(std::move(report));
    }
}

// ---- Actions ---------------------------------------------------------------

void request_cluster::apply_at_entry(std::size_t entry,
                                     const broker::actions& actions) {
    const process_id id = entries_[entry].id;
    const auto live = [&](request_id request) -> caller_request& {
        caller_request& found = requests_.at({id, request});
        if (found.ended)
            report_violation("an action came after the end of its request");
        return found;
    };
    for (const auto& action : actions) {
        std::visit(
            impl::overloaded{
                [&](const send_action& send) { apply_send(entry, send); },
                [&](const connect_action& request) {
                    open_link(entry, request.agent);
                },
                [&](const answer_begin_action& begin) {
                    live(begin.request).version = begin.version;
                },
                [&](const answer_part_action& part) {
                    live(part.request).text += part.data;
                },
                [&](const answer_end_action& end) {
                    end_request(entry, end.request, std::nullopt);
                },
                [&](const refuse_action& refusal) {
                    end_request(entry, refusal.request, refusal);
                },
            },
            action);
    }
}

void request_cluster::apply_send(std::size_t entry, const send_action& send) {
    for (std::size_t index = 0; index < witnesses_.size(); ++index) {
        if (witnesses_[index].id.name == send.process) {
            send_claim_frame(entry, entries_.size() + index, send.body);
            return;
        }
    }
    connection* link = find_link(entry, send.process);
    if (link == nullptr || !link->established) {
        report_violation("a message was sent on a link that is down");
        return;
    }
    if (const auto* order = std::get_if<run_order>(&send.body))
        record_attempt(entry, order->attempt);
    link->to_agent.push_back(send.body);
}

void request_cluster::record_attempt(std::size_t entry,
                                     const attempt_id& attempt) {
    const entry_node& node = entries_[entry];
    const nlohmann::json state = node.value->dump();
    for (const auto& request : state["requests"]) {
        if (request["attempt"] == to_string(attempt))
            attempts_.emplace(attempt, request_key{node.id, request["id"]});
    }
}

void request_cluster::apply_at_agent(
    std::size_t agent, const attempt_scheduler::actions& actions) {
    for (const auto& action : actions) {
        std::visit(impl::overloaded{
                       [&](const start_attempt& start) {
                           start_run(agent, start.order);
                       },
                       [&](const cancel_attempt& cancel) {
                           agents_[agent].runs.erase(cancel.attempt);
                       },
                       [&](const send_to_entry& send) {
                           send_frame_to_entry(agent, send);
                       },
                   },
                   action);
    }
}

void request_cluster::send_frame_to_entry(std::size_t agent,
                                          const send_to_entry& send) {
    for (connection& link : links_) {
        if (link.agent == agent && link.hello_accepted && !link.agent_closed &&
            link.entry_id == send.entry)
            link.to_entry.push_back(send.body);
    }
}

// ---- Claims ----------------------------------------------------------------

const process_id& request_cluster::id_of(std::size_t index) const {
    return index < entries_.size() ? entries_[index].id
                                   : witnesses_[index - entries_.size()].id;
}

void request_cluster::send_claim_frame(std::size_t from, std::size_t to,
                                       message body) {
    claim_queues_[{from, to}].push_back({id_of(from), std::move(body)});
}

void request_cluster::deliver_claims() {
    std::vector<std::pair<std::size_t, std::size_t>> ready;
    for (const auto& [pair, queue] : claim_queues_) {
        if (!queue.empty())
            ready.push_back(pair);
    }
    if (ready.empty())
        return;
    const auto [from, to] = ready[random_index(ready.size())];
    auto& queue = claim_queues_.at({from, to});
    const claim_frame frame = std::move(queue.front());
    queue.pop_front();
    if (to >= entries_.size()) {
        handle_at_witness(to - entries_.size(), from, frame);
        return;
    }
    if (entries_[to].paused_until <= now_)
        apply_at_entry(
            to, entries_[to].value->on_message(frame.from, frame.body, now_));
}

void request_cluster::handle_at_witness(std::size_t index, std::size_t sender,
                                        const claim_frame& frame) {
    claim_table& table = *witnesses_[index].value;
    const std::size_t self = entries_.size() + index;
    std::visit(
        impl::overloaded{
            [&](const claim_request& request) {
                send_claim_frame(self, sender, table.on_claim(request, now_));
            },
            [&](const claim_release& release) {
                table.on_release(release, now_);
            },
            [&](const recover_request& request) {
                for (auto& page : table.on_recover_request(request, now_))
                    send_claim_frame(self, sender, std::move(page));
            },
            [&](const recover_reply& reply) {
                table.on_recover_reply(reply, now_);
            },
            [](const auto&) {},
        },
        frame.body);
}

} // namespace ospreystage::support
