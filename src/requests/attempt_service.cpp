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
      links_(core.find<links>("links")),
      scheduler_(links_.self(), configuration),
      back_end_(core, configuration.backend_server.url,
                [this](const attempt_id& attempt, back_end_event event) {
                    on_back_end_event(attempt, std::move(event));
                }) {}

void attempt_service::start() {
    links_.set_started_attempts_source([this](const link_peer& peer) {
        auto result =
            scheduler_.on_link_up(peer.process, peer.epoch, steady::now());
        actions_after_hello_[static_cast<std::uint64_t>(peer.connection)] =
            std::move(result.actions_after_hello);
        return std::move(result.started);
    });
    links_.on_up([this](const link_peer& peer, const hello_reply&) {
        if (peer.outgoing || peer.role != process_role::entry)
            return;
        entries_[peer.process] = peer.connection;
        const auto found = actions_after_hello_.find(
            static_cast<std::uint64_t>(peer.connection));
        attempt_scheduler::actions actions = std::move(found->second);
        actions_after_hello_.erase(found);
        perform(std::move(actions));
        links_.reply(peer.connection, make_report());
    });
    links_.on_down([this](const link_peer& peer, const std::string&) {
        if (peer.outgoing || peer.role != process_role::entry)
            return;
        const auto found = entries_.find(peer.process);
        if (found != entries_.end() && found->second == peer.connection)
            entries_.erase(found);
        perform(
            scheduler_.on_link_down(peer.process, peer.epoch, steady::now()));
    });
    links_.on<run_order>([this](const link_peer& peer, const run_order& order) {
        perform(scheduler_.on_run_order(peer.process, peer.epoch, order,
                                        steady::now()));
    });
    links_.on<seal_order>([this](const link_peer& peer,
                                 const seal_order& order) {
        perform(scheduler_.on_seal_order(peer.process, order, steady::now()));
    });
    links_.on<cancel_order>([this](const link_peer& peer,
                                   const cancel_order& order) {
        perform(scheduler_.on_cancel_order(peer.process, order, steady::now()));
    });
    core_.every("attempts", tick_interval,
                [this] { perform(scheduler_.tick(steady::now())); });
    core_.every("attempts", report_interval, [this] { report_load(); });
}

bool attempt_service::idle() const noexcept {
    return scheduler_.idle();
}

bool attempt_service::is_version_in_use(const digest& version) const {
    return scheduler_.is_version_in_use(version);
}

std::uint32_t attempt_service::running() const noexcept {
    return scheduler_.running();
}

nlohmann::json attempt_service::dump() const {
    nlohmann::json state = scheduler_.dump();
    state["entries"] = entries_.size();
    state["back_end"] = {{"running", load_.running},
                         {"queued", load_.queued},
                         {"capacity", load_.capacity}};
    return state;
}

void attempt_service::set_service(scheduled_service service) {
    service_ = service;
    perform(scheduler_.set_service(std::move(service), steady::now()));
}

void attempt_service::set_load(back_end_load load) {
    load_ = std::move(load);
}

void attempt_service::set_leaving() {
    scheduler_.set_leaving();
    report_load();
}

void attempt_service::on_back_end_event(const attempt_id& attempt,
                                        back_end_event event) {
    const instant now = steady::now();
    std::visit(
        impl::overloaded{
            [&](back_end_begin& begin) {
                perform(scheduler_.on_begin(attempt, begin.status,
                                            begin.content_type, begin.version,
                                            now));
            },
            [&](back_end_part& part) {
                perform(scheduler_.on_part(attempt, std::move(part.data), now));
            },
            [&](back_end_end&) { perform(scheduler_.on_end(attempt, now)); },
            [&](back_end_failed& failed) {
                perform(scheduler_.on_failed(attempt, failed.reached,
                                             failed.detail, now));
            },
        },
        event);
}

void attempt_service::perform(attempt_scheduler::actions actions) {
    for (scheduler_action& action : actions) {
        std::visit(
            impl::overloaded{
                [&](const start_attempt& start) {
                    if (service_.engine)
                        prefixes_.record(start.order.version, start.order.body);
                    back_end_.start(start.order, start.deadline);
                },
                [&](const cancel_attempt& cancel) {
                    back_end_.cancel(cancel.attempt);
                },
                [&](const send_to_entry& out) { send(out.entry, out.body); },
            },
            action);
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
    report.service = service_.name;
    // Uses the scheduler's counts: the load that the back end reports lags, and
    // all its work comes from this scheduler.
    report.running = scheduler_.running();
    report.queued = scheduler_.queued();
    report.capacity = configuration_.backend_server.capacity;
    report.age_ms = 0;
    report.leaving = scheduler_.is_leaving();
    report.versions = service_.versions;
    report.prefixes = prefixes_.translate(load_.prefixes);
    return report;
}

} // namespace ospreystage
