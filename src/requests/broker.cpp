#include <ospreystage/impl/broker_state.hpp>
#include <ospreystage/requests/broker.hpp>

#include <utility>

namespace ospreystage {

broker::broker(process_id self, const settings& configuration,
               std::uint64_t seed)
    : state_(std::make_unique<impl::broker_state>(std::move(self),
                                                  configuration, seed)) {}

broker::~broker() = default;
broker::broker(broker&&) noexcept = default;
broker& broker::operator=(broker&&) noexcept = default;

bool broker::idle() const {
    return state_->idle();
}

nlohmann::json broker::dump() const {
    return state_->dump();
}

void broker::set_document(std::shared_ptr<const rollout_document> document,
                          instant now) {
    state_->set_document(std::move(document), now);
}

void broker::set_agents(const std::vector<member>& agents) {
    state_->set_agents(agents);
}

void broker::set_entries(std::vector<std::string> entries) {
    state_->set_entries(std::move(entries));
}

void broker::set_leaving() {
    state_->set_leaving();
}

broker::actions broker::begin(request_id request, incoming_request incoming,
                              instant now) {
    state_->begin(request, std::move(incoming), now);
    return state_->take_actions();
}

broker::actions broker::cancel(request_id request, instant now) {
    state_->cancel(request, now);
    return state_->take_actions();
}

broker::actions broker::on_message(const process_id& from, const message& body,
                                   instant now) {
    state_->on_message(from, body, now);
    return state_->take_actions();
}

broker::actions broker::on_link_up(const process_id& agent,
                                   const std::vector<attempt_id>& started,
                                   instant now) {
    state_->on_link_up(agent, started, now);
    return state_->take_actions();
}

broker::actions broker::on_link_down(const std::string& agent, instant now) {
    state_->on_link_down(agent, now);
    return state_->take_actions();
}

broker::actions broker::tick(instant now) {
    state_->tick(now);
    return state_->take_actions();
}

} // namespace ospreystage
