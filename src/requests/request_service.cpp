#include <ospreystage/requests/claim_service.hpp>
#include <ospreystage/requests/request_service.hpp>

#include <type_traits>
#include <utility>
#include <variant>

namespace ospreystage {

request_service::request_service(kernel& core, const settings& configuration,
                                 callback on_event)
    : core_(core), links_(core.find<links>("links")),
      on_event_(std::move(on_event)),
      broker_(links_.self(), configuration, links_.self().incarnation) {}

void request_service::start() {
    forward<run_refused>();
    forward<answer_begin>();
    forward<answer_part>();
    forward<answer_end>();
    forward<run_failed>();
    forward<seal_failed>();
    forward<load_report>();
    forward<claim_reply>();
    links_.on_up([this](const link_peer& peer, const hello_reply& greeting) {
        if (peer.outgoing && peer.role == process_role::agent)
            perform(broker_.on_link_up(peer.process, greeting.started,
                                       steady::now()));
    });
    links_.on_down([this](const link_peer& peer, const std::string&) {
        if (peer.outgoing)
            perform(broker_.on_link_down(peer.process.name, steady::now()));
    });
    core_.every("requests", broker_tick_interval,
                [this] { perform(broker_.tick(steady::now())); });
}

bool request_service::idle() const {
    return broker_.idle();
}

nlohmann::json request_service::dump() const {
    return broker_.dump();
}

void request_service::begin(request_id id, incoming_request incoming) {
    perform(broker_.begin(id, std::move(incoming), steady::now()));
}

void request_service::cancel(request_id id) {
    perform(broker_.cancel(id, steady::now()));
}

void request_service::set_document(
    std::shared_ptr<const rollout_document> document) {
    broker_.set_document(std::move(document), steady::now());
}

void request_service::set_agents(const std::vector<member>& agents) {
    broker_.set_agents(agents);
}

void request_service::set_entries(std::vector<std::string> entries) {
    broker_.set_entries(std::move(entries));
}

void request_service::set_leaving() {
    broker_.set_leaving();
}

template <typename Message>
void request_service::forward() {
    links_.on<Message>([this](const link_peer& peer, const Message& body) {
        perform(broker_.on_message(peer.process, body, steady::now()));
    });
}

void request_service::perform(broker::actions actions) {
    for (broker_action& next : actions) {
        std::visit(
            [this](auto& action) {
                using type = std::decay_t<decltype(action)>;
                if constexpr (std::is_same_v<type, send_action>)
                    send_message(action.process, action.body);
                else if constexpr (std::is_same_v<type, connect_action>)
                    connect(action.agent);
                else {
                    const request_id id = action.request;
                    on_event_(id, std::move(action));
                }
            },
            next);
    }
}

void request_service::send_message(const std::string& process,
                                   const message& body) {
    // Messages to agents are never queued for a later connection: the broker
    // knows which links are up, and resolves a lost message when the link is
    // re-established.
    if (std::holds_alternative<claim_request>(body) ||
        std::holds_alternative<claim_release>(body)) {
        if (process == links_.self().name)
            send_to_local_claim_table(body);
        else
            links_.send(process, body);
        return;
    }
    const auto peer = links_.find(process);
    if (peer)
        links_.reply(peer->connection, body);
}

void request_service::send_to_local_claim_table(const message& body) {
    // Posted, since the broker's current actions are still being performed.
    core_.post("requests", [this, body] {
        auto* claims = core_.find_if<claim_service>("claims");
        if (claims == nullptr)
            return;
        if (const auto* release = std::get_if<claim_release>(&body))
            claims->release(*release);
        if (const auto* request = std::get_if<claim_request>(&body))
            perform(broker_.on_message(links_.self(), claims->vote(*request),
                                       steady::now()));
    });
}

void request_service::connect(const std::string& agent) {
    if (links_.find(agent) || links_.open(agent))
        return;
    core_.post("requests", [this, agent] {
        perform(broker_.on_link_down(agent, steady::now()));
    });
}

} // namespace ospreystage
