#include <ospreystage/requests/claim_service.hpp>

namespace ospreystage {

namespace {

constexpr milliseconds tick_interval{100};

std::vector<std::string> witness_names(const settings& configuration) {
    std::vector<std::string> names;
    for (const witness_settings& witness : configuration.cluster.witnesses)
        names.push_back(witness.name);
    return names;
}

} // namespace

claim_service::claim_service(kernel& core, const settings& configuration)
    : core_(core), links_(core.find<links>("links")),
      table_(links_.self(), witness_names(configuration),
             configuration.cluster.claim_retention, steady::now()) {}

void claim_service::start() {
    links_.on<claim_request>(
        [this](const link_peer& peer, const claim_request& request) {
            links_.reply(peer.connection, vote(request));
        });
    links_.on<claim_release>(
        [this](const link_peer&, const claim_release& claim) {
            release(claim);
        });
    links_.on<recover_request>(
        [this](const link_peer& peer, const recover_request& request) {
            for (const recover_reply& page :
                 table_.on_recover_request(request, steady::now()))
                links_.reply(peer.connection, page);
        });
    links_.on<recover_reply>(
        [this](const link_peer&, const recover_reply& reply) {
            table_.on_recover_reply(reply, steady::now());
        });
    core_.every("claims", tick_interval, [this] {
        for (const claim_table::outgoing_recover_request& step :
             table_.tick(steady::now()))
            links_.send(step.witness, step.body);
    });
}

claim_reply claim_service::vote(const claim_request& request) {
    return table_.on_claim(request, steady::now());
}

void claim_service::release(const claim_release& claim) {
    table_.on_release(claim, steady::now());
}

nlohmann::json claim_service::dump() const {
    return table_.dump(steady::now());
}

void claim_service::skip_recovery() {
    table_.skip_recovery();
}

} // namespace ospreystage
