#include <ospreystage/core/log.hpp>
#include <ospreystage/rollout/configuration.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "configuration";

/// Interval between reads of the platform while the process is unrecovered.
constexpr milliseconds read_interval{1000};

/// Time without data after which a watch connection is replaced.
constexpr milliseconds watch_idle_timeout{5000};

std::vector<std::string> witness_names(const settings& values) {
    std::vector<std::string> names;
    for (const witness_settings& witness : values.cluster.witnesses)
        names.push_back(witness.name);
    return names;
}

bool is_due(const std::optional<instant>& started, instant now,
            milliseconds interval) {
    return !started || now - *started >= interval;
}

} // namespace

configuration::configuration(kernel& core, const settings& values,
                             links& connections, membership_service& members)
    : core_(core), values_(values), connections_(connections),
      members_(members),
      register_(connections.self(), values.process.role, witness_names(values),
                connections.self().incarnation),
      client_(values.platform.kv_url, values.platform.call_timeout) {
    subscribe();
    core_.every(service_name, values_.cluster.gossip_interval,
                [this] { tick(); });
    core_.post(service_name, [this] { read_platform(steady::now()); });
}

void configuration::subscribe() {
    connections_.on<document_push>(
        [this](const link_peer& peer, const document_push& push) {
            document_push known = push;
            known.sender = peer.process;
            apply(register_.receive(known, steady::now()));
        });
    connections_.on<sync_request>([this](const link_peer& peer,
                                         const sync_request& request) {
        sync_reply reply = register_.answer({peer.process, request.document});
        reply.members = members_.members();
        connections_.reply(peer.connection, reply);
        apply(config_register::actions());
    });
    connections_.on<sync_reply>(
        [this](const link_peer& peer, const sync_reply& reply) {
            members_.merge(reply.members);
            sync_reply known = reply;
            known.sender = peer.process;
            apply(register_.receive(known, steady::now()));
        });
    members_.on_revisions([this](const revision_report& report) {
        apply(register_.on_revision_report(report, steady::now()));
    });
    members_.on_change([this](const member& value) {
        if (value.id.name != members_.self().id.name)
            apply(register_.on_in_force_elsewhere(value.in_force));
    });
}

std::shared_ptr<const rollout_document> configuration::document() const {
    return register_.in_force();
}

std::shared_ptr<const rollout_document> configuration::highest() const {
    return register_.highest();
}

nlohmann::json configuration::dump() const {
    nlohmann::json state = register_.dump();
    state["watching"] = watch_ != nullptr;
    state["platform_problem"] = platform_problem_;
    return state;
}

void configuration::on_in_force(in_force_handler handler) {
    in_force_handlers_.push_back(std::move(handler));
}

void configuration::on_nothing_accepted(std::function<void()> handler) {
    nothing_accepted_handlers_.push_back(std::move(handler));
}

void configuration::accept(acceptance_request request, result_handler done) {
    start(acceptance(std::move(request)), std::move(done));
}

void configuration::resolve(const std::string& operation_id, revision based_on,
                            result_handler done) {
    start(acceptance::resolve(operation_id, based_on), std::move(done));
}

void configuration::start(acceptance operation, result_handler done) {
    acceptance_thread_.run(
        [this, operation = std::move(operation), done = std::move(done)] {
            const acceptance_result result = run(operation, client_);
            core_.post(service_name, [this, result, done] {
                if (const auto* success = std::get_if<accepted>(&result))
                    apply(register_.on_accepted(success->json));
                done(result);
            });
        });
}

void configuration::tick() {
    const instant now = steady::now();
    std::vector<std::string> peers;
    for (const member& item : members_.members())
        peers.push_back(item.id.name);
    register_.set_peers(std::move(peers));
    apply(register_.tick(now));
    if (!register_.recovered())
        read_platform(now);
    update_watch();
    if (watch_)
        poll_vm_list(now);
}

bool configuration::is_watcher() const {
    const member& self = members_.self();
    if (self.role != process_role::entry || !takes_new_work(self))
        return false;
    std::size_t before = 0;
    for (const member& item : members_.alive(process_role::entry)) {
        if (item.data_centre == self.data_centre && item.id.name < self.id.name)
            ++before;
    }
    return before < values_.platform.watchers_per_data_centre;
}

void configuration::update_watch() {
    if (is_watcher() == (watch_ != nullptr))
        return;
    if (watch_) {
        // The watch thread may be blocked in a call, so it is joined on the
        // read thread.
        read_thread_.run(
            [watch = std::shared_ptr<kv_watch>(std::move(watch_))] {});
        return;
    }
    watch_ = std::make_unique<kv_watch>(
        client_, current_rollout_key, watch_idle_timeout,
        [this](const kv_reading& reading) {
            core_.post(service_name, [this, reading] { on_platform(reading); });
        },
        [this](const error& failure) {
            core_.post(service_name,
                       [this, failure] { on_platform_failure(failure); });
        });
}

void configuration::read_platform(instant now) {
    if (reading_ || !is_due(read_started_, now, read_interval))
        return;
    reading_ = true;
    read_started_ = now;
    read_thread_.run([this] {
        error failure;
        const auto reading = value_or_error(
            [&] { return client_.read(current_rollout_key); }, failure);
        core_.post(service_name, [this, reading, failure] {
            reading_ = false;
            if (reading)
                on_platform(*reading);
            else
                on_platform_failure(failure);
        });
    });
}

void configuration::poll_vm_list(instant now) {
    if (polling_ ||
        !is_due(poll_started_, now, values_.platform.vm_list_interval))
        return;
    polling_ = true;
    poll_started_ = now;
    read_thread_.run([this] {
        error failure;
        const auto list = value_or_error(
            [&] {
                return read_vm_list(values_.platform.vm_list_url,
                                    values_.platform.call_timeout);
            },
            failure);
        core_.post(service_name, [this, list, failure] {
            polling_ = false;
            if (list)
                members_.on_vm_list(*list);
            else
                on_platform_failure(failure);
        });
    });
}

void configuration::on_platform(const kv_reading& reading) {
    platform_problem_.clear();
    if (!reading.entry) {
        for (const auto& handler : nothing_accepted_handlers_)
            handler();
    }
    apply(register_.on_platform_read(reading.entry ? reading.entry->value : "",
                                     steady::now()));
}

void configuration::on_platform_failure(const error& failure) {
    const std::string problem = to_string(failure);
    if (problem != platform_problem_)
        log_event(log_level::warn, "platform_problem", {{"error", problem}});
    platform_problem_ = problem;
}

void configuration::apply(const config_register::actions& actions) {
    // Must come first, so that datagrams sent by the actions carry the current
    // revisions.
    members_.set_revisions(register_.document(), register_.held());
    for (const register_action& action : actions)
        std::visit([this](const auto& known) { apply(known); }, action);
}

void configuration::apply(const push_document& action) {
    connections_.send(action.peer, action.push);
}

void configuration::apply(const request_document& action) {
    connections_.send(action.peer, action.request);
}

void configuration::apply(const query_witness& action) {
    register_.on_witness_queried(action.witness,
                                 members_.query(action.witness));
}

void configuration::apply(const put_in_force& action) {
    log_event(log_level::info, "in_force",
              {{"revision", action.document->number},
               {"accepted_by", action.document->accepted_by}});
    members_.set_in_force(action.document->number);
    for (const auto& handler : in_force_handlers_)
        handler(action.document);
}

void configuration::apply(const document_refused& action) {
    log_event(log_level::error, "document_refused",
              {{"error", to_string(action.reason)}});
}

} // namespace ospreystage
