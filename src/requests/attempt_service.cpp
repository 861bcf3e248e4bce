#include <ospreystage/impl/overloaded.hpp>
#include <ospreystage/requests/attempt_service.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr milliseconds tick_interval{20};
constexpr milliseconds report_interval{100};

} // namespace

attempt_service::attempt_service(kernel& core, const settings& configuration)
    : core_(core), configuration_(configuration),
      links_(core.find<links>("links")), gate_(links_.self(), configuration),
      back_end_(core, configuration.backend_server.url,
                [this](const attempt_id& attempt, back_end_event event) {
                    on_back_end(attempt, std::move(event));
                }) {}

void attempt_service::start() {
    links_.set_started_source([this](const link_peer& peer) {
        auto result = gate_.on_link_up(peer.process, peer.epoch, steady::now());
        after_greeting_[static_cast<std::uint64_t>(peer.connection)] =
            std::move(result.effects);
        return std::move(result.started);
    });
    links_.on_up([this](const link_peer& peer, const hello_reply&) {
        if (peer.outgoing || peer.role != process_role::entry)
            return;
        entries_[peer.process] = peer.connection;
        const auto found =
            after_greeting_.find(static_cast<std::uint64_t>(peer.connection));
        gate::actions effects = std::move(found->second);
        after_greeting_.erase(found);
        perform(std::move(effects));
        links_.reply(peer.connection, make_report());
    });
    links_.on_down([this](const link_peer& peer, const std::string&) {
        if (peer.outgoing || peer.role != process_role::entry)
            return;
        const auto found = entries_.find(peer.process);
        if (found != entries_.end() && found->second == peer.connection)
            entries_.erase(found);
        perform(gate_.on_link_down(peer.process, peer.epoch, steady::now()));
    });
    links_.on<run_order>([this](const link_peer& peer, const run_order& order) {
        perform(
            gate_.on_run_order(peer.process, peer.epoch, order, steady::now()));
    });
    links_.on<seal_order>(
        [this](const link_peer& peer, const seal_order& order) {
            perform(gate_.on_seal_order(peer.process, order, steady::now()));
        });
    links_.on<cancel_order>(
        [this](const link_peer& peer, const cancel_order& order) {
            perform(gate_.on_cancel_order(peer.process, order, steady::now()));
        });
    core_.every("attempts", tick_interval,
                [this] { perform(gate_.tick(steady::now())); });
    core_.every("attempts", report_interval, [this] { report_load(); });
}

bool attempt_service::idle() const noexcept {
    return gate_.idle();
}

bool attempt_service::uses(const digest& version) const {
    return gate_.uses(version);
}

std::uint32_t attempt_service::running() const noexcept {
    return gate_.running();
}

nlohmann::json attempt_service::dump() const {
    nlohmann::json state = gate_.dump();
    state["entries"] = entries_.size();
    state["back_end"] = {{"running", load_.running},
                         {"queued", load_.queued},
                         {"capacity", load_.capacity}};
    return state;
}

void attempt_service::set_service(gate_service served) {
    served_ = served;
    perform(gate_.set_service(std::move(served), steady::now()));
}

void attempt_service::set_load(back_end_load load) {
    load_ = std::move(load);
}

void attempt_service::set_leaving() {
    gate_.set_leaving();
    report_load();
}

void attempt_service::on_back_end(const attempt_id& attempt,
                                  back_end_event event) {
    const instant now = steady::now();
    std::visit(
        impl::overloaded{
            [&](back_end_begin& begin) {
                perform(gate_.on_begin(attempt, begin.status,
                                       begin.content_type, begin.version, now));
            },
            [&](back_end_part& part) {
                perform(gate_.on_part(attempt, std::move(part.data), now));
            },
            [&](back_end_end&) { perform(gate_.on_end(attempt, now)); },
            [&](back_end_failed& failed) {
                perform(gate_.on_failed(attempt, failed.reached, failed.detail,
                                        now));
            },
        },
        event);
}

void attempt_service::perform(gate::actions actions) {
    for (gate_action& each : actions) {
        std::visit(impl::overloaded{
                       [&](const gate_start& start) {
                           if (served_.engine)
                               prefixes_.note(start.order.version,
                                              start.order.body);
                           back_end_.start(start.order, start.deadline);
                       },
                       [&](const gate_cancel& cancel) {
                           back_end_.cancel(cancel.attempt);
                       },
                       [&](const gate_send& out) { send(out.entry, out.body); },
                   },
                   each);
    }
}

void attempt_service::send(const process_id& entry, const message& body) {
    const auto found = entries_.find(entry);
    if (found != entries_.end())
        links_.reply(found->second, body);
}

void attempt_service::report_load() {
    if (entries_.empty())
        return;
    const message report = make_report();
    for (const auto& [entry, connection] : entries_)
        links_.reply(connection, report);
}

load_report attempt_service::make_report() const {
    load_report report;
    report.agent = links_.self();
    report.service = served_.name;
    // The back end's own figures lag; nothing but this gate gives it work.
    report.running = gate_.running();
    report.queued = gate_.queued();
    report.capacity = configuration_.backend_server.capacity;
    report.age_ms = 0;
    report.leaving = gate_.is_leaving();
    report.versions = served_.versions;
    report.prefixes = prefixes_.translate(load_.prefixes);
    return report;
}

} // namespace ospreystage
