#include <ospreystage/network/codec.hpp>
#include <ospreystage/serving/load_exchange.hpp>
#include <ospreystage/weights/swarm.hpp>

#include <fmt/format.h>
#include <tests/support/link_experiment.hpp>
#include <tests/support/simulated_link.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>

namespace ospreystage::support {

namespace {

// ---- Site ------------------------------------------------------------------

constexpr std::uint32_t regions = 3;
constexpr double vm_bytes_per_second = 1e6;
constexpr double entry_bytes_per_second = 5e6;
constexpr double origin_bytes_per_second = 1.2e6;
constexpr microseconds latency{500};
/// Part of a VM's link that distribution may use, as on the platform.
constexpr double distribution_share = 0.8;
constexpr std::uint32_t origin_readers = 24;
constexpr std::uint32_t chunks = 64;
constexpr std::uint32_t chunk_bytes = 32'768;
constexpr std::uint32_t slices_per_chunk = 8;

// ---- Sizes -----------------------------------------------------------------

/// IP and UDP headers and that of a frame.
constexpr std::size_t datagram_overhead = 34;
constexpr std::size_t poll_bytes = 200;
constexpr std::size_t chunk_request_bytes = 90;
constexpr std::size_t manifest_bytes = 4500;
constexpr std::size_t request_bytes = 1100;
constexpr std::size_t reset_bytes = 40;
constexpr std::size_t first_event_bytes = 300;
constexpr std::size_t answer_bytes = 2500;

// ---- Times -----------------------------------------------------------------

constexpr seconds publication{2}; ///< After the start.
constexpr milliseconds squeeze_begin{2800};
constexpr seconds squeeze_time{6};
constexpr seconds experiment_time{14};
constexpr milliseconds document_change{3400};
constexpr milliseconds document_poll_interval{200};
/// A caller leaves if its answer has not begun by then.
constexpr milliseconds patience{3200};
constexpr milliseconds late_after{500};
constexpr milliseconds time_limit{6000};
constexpr milliseconds target_latency{400};
/// As in the agent and the gateway.
constexpr milliseconds report_interval{80};
constexpr milliseconds report_refresh{320};
constexpr milliseconds digest_interval{50};
constexpr milliseconds attempt_check_interval{100};
constexpr milliseconds idle_timeout{1200};
constexpr milliseconds server_idle_timeout{700};

constexpr std::uint32_t prompt_tokens = 900;

service_description make_service() {
    engine_profile engine;
    engine.slots = 16;
    engine.step_ms = 9;
    engine.step_ms_per_request = 0.2;
    engine.prefill_tokens_per_s = 20'000;
    engine.typical_prompt_tokens = prompt_tokens;
    engine.typical_answer_tokens = 100;
    service_description service;
    service.name = "model";
    service.engine = engine;
    return service;
}

std::size_t datagram_bytes(const message& value) {
    return encode_payload(value).size() + datagram_overhead;
}

std::string region_name(std::uint32_t index) {
    return fmt::format("region-{}", index % regions);
}

// ---- Records ---------------------------------------------------------------

struct attempt {
    std::uint64_t request = 0;
    std::uint32_t vm = 0;
    instant sent_at{};
    bool is_cancelled = false;
    bool has_ended = false;
};

struct vm_record {
    vm_record(event_queue& events, const swarm_options& options,
              const std::string& name)
        : up(events, vm_bytes_per_second, latency),
          down(events, vm_bytes_per_second, microseconds(0)),
          agent(options, name) {}

    backend_server server;
    std::string host;
    simulated_link up;
    simulated_link down;
    swarm agent;
    bool has_manifest = false;
    std::optional<instant> completed_at;
    instant wake{};
    bool is_squeezed = false;
    // The engine.
    std::deque<std::uint64_t> queued; ///< Attempts.
    std::uint32_t running = 0;
    instant prefill_until{};
    engine_report last_report;
    instant last_report_at{};
};

struct entry_record {
    explicit entry_record(event_queue& events)
        : up(events, entry_bytes_per_second, latency),
          down(events, entry_bytes_per_second, microseconds(0)) {}

    site_entry entry;
    simulated_link up;
    simulated_link down;
    bool has_document = false;
    std::unique_ptr<backend_load> load;
    std::unique_ptr<load_exchange> exchange;
    std::map<std::uint32_t, instant> last_received; ///< By VM.
};

struct request_record {
    std::uint32_t entry = 0;
    instant arrived{};
    std::vector<std::uint64_t> attempts;
    absl::flat_hash_set<std::string> tried;
    bool has_begun = false;
    std::optional<instant> left_at;
};

// ---- Experiment ------------------------------------------------------------

class experiment {
  public:
    explicit experiment(const link_scenario& scenario);
    link_measurement run();

  private:
    void add_vms();
    void add_entries();
    /// Sets the rates of the links that become narrow to this part of theirs.
    void set_squeezed_rates(double part);
    void every(milliseconds period, milliseconds offset,
               event_queue::task work);

    // Requests
    [[nodiscard]] double request_rate() const;
    void schedule_request();
    void begin_request();
    void send(std::uint64_t request, const placement& chosen);
    void on_arrival(std::uint64_t id);
    void start_next(std::uint32_t vm);
    void run_attempt(std::uint64_t id);
    void send_answer(std::uint64_t id, std::size_t bytes,
                     event_queue::task arrived);
    void on_first_event(std::uint64_t id);
    void on_end(std::uint64_t id);
    void cancel(std::uint64_t id, attempt_result result);
    void on_cancelled(std::uint64_t id);
    void check_silent(std::uint64_t request);
    void leave(std::uint64_t request);
    [[nodiscard]] placement_decision place(const request_record& request);
    void deliver(std::uint32_t from, const load_exchange::outgoing& sent);
    void receive(std::uint32_t entry, const message& value);

    // State
    void report(std::uint32_t vm);
    void change_document();
    void on_document(std::uint32_t entry);

    // Distribution
    void publish();
    void request_version(std::uint32_t vm);
    void update(std::uint32_t vm);
    void perform(std::uint32_t vm, const fetch_chunk& action);
    void perform(std::uint32_t vm, const fetch_manifest& action);
    void perform(std::uint32_t vm, const announce_chunks& action);
    void perform(std::uint32_t vm, const serve_chunk& action);
    void perform(std::uint32_t vm, const refuse_chunk& action);
    void perform(std::uint32_t, const reconnect_peer&) {}
    void send_chunk(simulated_link& from, std::uint32_t to,
                    const chunk_source& source, std::uint32_t index);
    void send_control(std::uint32_t from, const std::string& to,
                      std::size_t bytes,
                      std::function<void(std::uint32_t vm)> arrived);
    void note_held();

    link_scenario scenario_;
    std::mt19937_64 random_;
    event_queue events_;
    instant start_ = events_.now();
    service_description service_ = make_service();
    simulated_link origin_{events_, origin_bytes_per_second, latency};
    std::vector<std::unique_ptr<vm_record>> vms_;
    std::map<std::string, std::uint32_t> vm_ids_; ///< By host.
    backend_registry servers_;
    std::vector<const backend_server*> listed_;
    std::vector<std::unique_ptr<entry_record>> entries_;
    std::map<std::string, std::uint32_t> entry_ids_;
    entry_duties duties_;
    std::map<std::uint64_t, request_record> requests_;
    std::map<std::uint64_t, attempt> attempts_;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_attempt_ = 1;
    manifest description_;
    digest version_ = sha256("version 2");
    double calm_bytes_before_ = 0;
    link_measurement result_;
};

experiment::experiment(const link_scenario& scenario)
    : scenario_(scenario), random_(scenario.seed) {
    description_.chunk_bytes = chunk_bytes;
    description_.total_bytes = std::uint64_t{chunks} * chunk_bytes;
    description_.chunks.assign(chunks, sha256("chunk"));
    add_vms();
    add_entries();
    for (std::uint32_t vm = 0; vm < scenario_.vms; ++vm)
        every(report_interval, milliseconds(vm % report_interval.count()),
              [this, vm] { report(vm); });
    for (std::uint32_t id = 0; id < scenario_.entries; ++id)
        every(digest_interval, milliseconds(id % digest_interval.count()),
              [this, id] {
                  if (const auto digest = entries_[id]->exchange->take_digest())
                      deliver(id, *digest);
              });
    schedule_request();
    if (scenario_.has_new_version)
        events_.at(start_ + publication, [this] { publish(); });
    if (scenario_.document_bytes > 0)
        events_.at(start_ + document_change, [this] { change_document(); });
    events_.at(start_ + squeeze_begin,
               [this] { set_squeezed_rates(1 / scenario_.squeeze_divisor); });
    events_.at(start_ + squeeze_begin + squeeze_time,
               [this] { set_squeezed_rates(1); });
}

void experiment::set_squeezed_rates(double part) {
    for (const auto& vm : vms_)
        if (vm->is_squeezed)
            for (simulated_link* link : {&vm->up, &vm->down})
                link->set_rate(vm_bytes_per_second * part);
    const auto squeezed = static_cast<std::size_t>(
        std::lround(scenario_.squeezed_share * scenario_.entries));
    for (std::size_t id = 0; id < squeezed; ++id)
        for (simulated_link* link : {&entries_[id]->up, &entries_[id]->down})
            link->set_rate(entry_bytes_per_second * part);
}

void experiment::add_vms() {
    const auto squeezed = static_cast<std::uint32_t>(
        std::lround(scenario_.squeezed_share * scenario_.vms));
    std::vector<swarm_member> members;
    std::vector<backend_server> listed;
    for (std::uint32_t id = 0; id < scenario_.vms; ++id) {
        const std::string host = fmt::format("10.1.{}.{}", id / 250, id % 250);
        swarm_options options;
        options.strategy = rendezvous_strategy{1, origin_readers};
        options.seed = scenario_.seed + id;
        auto vm = std::make_unique<vm_record>(events_, options, host);
        vm->host = host;
        vm->is_squeezed = id < squeezed;
        vm->server.id = fmt::format("i-{}", id);
        vm->server.service = service_.name;
        vm->server.endpoint = {host, 8000};
        vm->server.data_centre = region_name(id);
        vm->server.slots = service_.engine->slots;
        vm->server.layers = {{0, 1, 1}};
        vm->agent.set_budget({static_cast<std::uint64_t>(vm_bytes_per_second *
                                                         distribution_share),
                              false},
                             events_.now());
        members.push_back({host, vm->server.data_centre});
        listed.push_back(vm->server);
        vm_ids_[host] = id;
        vms_.push_back(std::move(vm));
    }
    for (const auto& vm : vms_)
        vm->agent.set_members(members, events_.now());
    servers_.on_list(std::move(listed), events_.now());
    listed_ = servers_.all();
    // Their order differs from run to run.
    std::sort(listed_.begin(), listed_.end(),
              [](const backend_server* left, const backend_server* right) {
                  return left->id < right->id;
              });
}

void experiment::add_entries() {
    std::map<std::string, site_entry> all;
    for (std::uint32_t id = 0; id < scenario_.entries; ++id) {
        const std::string name = fmt::format("edge-{:03}", id);
        all[name] = {name, {fmt::format("10.2.0.{}", id), 80}, region_name(id)};
        entry_ids_[name] = id;
    }
    duties_.set_entries(all);
    for (const auto& [name, entry] : all) {
        entry_record& record =
            *entries_.emplace_back(std::make_unique<entry_record>(events_));
        record.entry = entry;
        backend_load::options options;
        options.data_centre = entry.region;
        record.load = std::make_unique<backend_load>(
            options, scenario_.seed * 1000 + entries_.size());
        record.exchange = std::make_unique<load_exchange>(
            name, entry.region, duties_, servers_, *record.load);
    }
}

void experiment::every(milliseconds period, milliseconds offset,
                       event_queue::task work) {
    events_.after(offset, [this, period, work = std::move(work)] {
        work();
        every(period, period, work);
    });
}

// ---- Requests --------------------------------------------------------------

/// Returns the requests a second of all callers.
double experiment::request_rate() const {
    const engine_profile& engine = *service_.engine;
    const double slots = engine.slots;
    const double pass_ms = engine.step_ms + slots * engine.step_ms_per_request;
    const double prefill_ms =
        prompt_tokens / engine.prefill_tokens_per_s * 1000;
    const double service_s =
        (engine.typical_answer_tokens * pass_ms + slots * prefill_ms) / 1000;
    return scenario_.load * scenario_.vms * slots / service_s;
}

void experiment::schedule_request() {
    std::exponential_distribution<double> gap(request_rate());
    events_.after(std::chrono::ceil<std::chrono::nanoseconds>(
                      std::chrono::duration<double>(gap(random_))),
                  [this] {
                      begin_request();
                      schedule_request();
                  });
}

placement_decision experiment::place(const request_record& request) {
    placement_request wanted;
    wanted.service = &service_;
    wanted.prompt_tokens = prompt_tokens;
    wanted.target_latency = target_latency;
    wanted.time_left = std::chrono::duration_cast<milliseconds>(
        request.arrived + time_limit - events_.now());
    wanted.tried = &request.tried;
    return entries_[request.entry]->load->place(
        wanted, listed_, scenario_.entries, events_.now());
}

void experiment::begin_request() {
    const std::uint64_t id = next_request_++;
    request_record& request = requests_[id];
    std::uniform_int_distribution<std::uint32_t> draw(0, scenario_.entries - 1);
    request.entry = draw(random_);
    request.arrived = events_.now();
    ++result_.requests;
    const placement_decision decision = place(request);
    const auto* chosen = std::get_if<placement>(&decision);
    if (chosen == nullptr) {
        ++result_.refused;
        requests_.erase(id);
        return;
    }
    send(id, *chosen);
    events_.after(attempt_check_interval, [this, id] { check_silent(id); });
    events_.after(patience, [this, id] { leave(id); });
}

void experiment::send(std::uint64_t request, const placement& chosen) {
    request_record& record = requests_.at(request);
    entry_record& entry = *entries_[record.entry];
    const backend_server* server = servers_.find(chosen.server);
    const std::uint32_t vm = vm_ids_.at(server->endpoint.host);
    const std::uint64_t id = next_attempt_++;
    attempts_[id] = {request, vm, events_.now()};
    record.attempts.push_back(id);
    record.tried.insert(chosen.server);
    entry.last_received.try_emplace(vm, events_.now());
    entry.load->on_sent(chosen.server, chosen.prefill_time, events_.now());
    for (const auto& notice : entry.exchange->on_attempt(
             *server, chosen.prefill_time, events_.now()))
        deliver(record.entry, notice);
    entry.up.send(request_bytes, [this, id, vm] {
        vms_[vm]->down.send(request_bytes, [this, id] { on_arrival(id); });
    });
}

void experiment::on_arrival(std::uint64_t id) {
    attempt& arrived = attempts_.at(id);
    result_.delay.add(events_.now() - arrived.sent_at);
    const auto& left_at = requests_.at(arrived.request).left_at;
    if (left_at && events_.now() - *left_at > late_after)
        ++result_.late_arrivals;
    vms_[arrived.vm]->queued.push_back(id);
    start_next(arrived.vm);
}

void experiment::start_next(std::uint32_t vm) {
    vm_record& record = *vms_[vm];
    while (!record.queued.empty() && record.running < service_.engine->slots) {
        const std::uint64_t id = record.queued.front();
        record.queued.pop_front();
        if (attempts_.at(id).has_ended)
            continue;
        ++record.running;
        run_attempt(id);
    }
}

void experiment::run_attempt(std::uint64_t id) {
    const std::uint32_t vm = attempts_.at(id).vm;
    vm_record& record = *vms_[vm];
    const engine_profile& engine = *service_.engine;
    const std::chrono::duration<double, std::milli> pass(
        engine.step_ms + record.running * engine.step_ms_per_request);
    const std::chrono::duration<double, std::milli> prefill(
        prompt_tokens / engine.prefill_tokens_per_s * 1000);
    const auto to_ns = [](auto time) {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
    };
    record.prefill_until =
        std::max(record.prefill_until, events_.now()) + to_ns(prefill);
    const instant first = record.prefill_until + to_ns(pass);
    const instant last = first + to_ns(pass * engine.typical_answer_tokens +
                                       prefill * record.running);
    events_.at(first, [this, id] {
        if (!attempts_.at(id).has_ended)
            send_answer(id, first_event_bytes,
                        [this, id] { on_first_event(id); });
    });
    events_.at(last, [this, id, vm] {
        if (std::exchange(attempts_.at(id).has_ended, true))
            return;
        --vms_[vm]->running;
        start_next(vm);
        send_answer(id, answer_bytes, [this, id] { on_end(id); });
    });
}

void experiment::send_answer(std::uint64_t id, std::size_t bytes,
                             event_queue::task arrived) {
    const attempt& answered = attempts_.at(id);
    const std::uint32_t entry = requests_.at(answered.request).entry;
    vms_[answered.vm]->up.send(
        bytes, [this, entry, bytes, arrived = std::move(arrived)] {
            entries_[entry]->down.send(bytes, arrived);
        });
}

void experiment::on_first_event(std::uint64_t id) {
    const attempt& begun = attempts_.at(id);
    request_record& request = requests_.at(begun.request);
    entries_[request.entry]->last_received[begun.vm] = events_.now();
    if (begun.is_cancelled || std::exchange(request.has_begun, true))
        return;
    for (const std::uint64_t other : request.attempts)
        if (other != id)
            cancel(other, attempt_result::cancelled);
}

void experiment::on_end(std::uint64_t id) {
    const attempt& ended = attempts_.at(id);
    if (ended.is_cancelled)
        return;
    ++result_.answered;
    entry_record& entry = *entries_[requests_.at(ended.request).entry];
    entry.last_received[ended.vm] = events_.now();
    entry.load->on_ended(vms_[ended.vm]->server.id, attempt_result::answered,
                         events_.now());
}

/// Resets the connection of an attempt; the engine learns of it behind what
/// waits in its VM's link.
void experiment::cancel(std::uint64_t id, attempt_result result) {
    attempt& cancelled = attempts_.at(id);
    if (std::exchange(cancelled.is_cancelled, true))
        return;
    entry_record& entry = *entries_[requests_.at(cancelled.request).entry];
    entry.load->on_ended(vms_[cancelled.vm]->server.id, result, events_.now());
    entry.up.send(reset_bytes, [this, id, vm = cancelled.vm] {
        vms_[vm]->down.send(reset_bytes, [this, id] { on_cancelled(id); });
    });
}

void experiment::on_cancelled(std::uint64_t id) {
    attempt& cancelled = attempts_.at(id);
    vm_record& vm = *vms_[cancelled.vm];
    if (std::exchange(cancelled.has_ended, true))
        return;
    const auto waiting = std::find(vm.queued.begin(), vm.queued.end(), id);
    if (waiting != vm.queued.end())
        vm.queued.erase(waiting);
    else
        --vm.running;
    start_next(cancelled.vm);
}

/// Sends a request to a second server if the first one is silent, as the
/// gateway does.
void experiment::check_silent(std::uint64_t request) {
    request_record& record = requests_.at(request);
    if (record.has_begun || record.left_at || record.attempts.size() > 1)
        return;
    const attempt& first = attempts_.at(record.attempts.front());
    const auto idle = events_.now() - first.sent_at;
    const auto server_idle =
        events_.now() - entries_[record.entry]->last_received.at(first.vm);
    const bool is_silent =
        idle > idle_timeout ||
        (idle > server_idle_timeout && server_idle > server_idle_timeout);
    if (is_silent) {
        const placement_decision decision = place(record);
        if (const auto* chosen = std::get_if<placement>(&decision)) {
            // Its server is avoided from now on.
            entries_[record.entry]->load->on_ended(vms_[first.vm]->server.id,
                                                   attempt_result::timed_out,
                                                   events_.now());
            ++result_.second_attempts;
            send(request, *chosen);
            return;
        }
    }
    events_.after(attempt_check_interval,
                  [this, request] { check_silent(request); });
}

void experiment::leave(std::uint64_t request) {
    request_record& record = requests_.at(request);
    if (record.has_begun)
        return;
    record.left_at = events_.now();
    ++result_.abandoned;
    for (const std::uint64_t id : record.attempts)
        cancel(id, attempt_result::cancelled);
}

// ---- State -----------------------------------------------------------------

/// Sends a datagram from one entry to others.
void experiment::deliver(std::uint32_t from,
                         const load_exchange::outgoing& sent) {
    const auto value = std::make_shared<const message>(sent.value);
    const std::size_t bytes = datagram_bytes(*value);
    for (const site_entry* receiver : sent.receivers)
        entries_[from]->up.send(bytes, [this, value, bytes,
                                        id = entry_ids_.at(receiver->name)] {
            entries_[id]->down.send(bytes,
                                    [this, value, id] { receive(id, *value); });
        });
}

void experiment::receive(std::uint32_t entry, const message& value) {
    load_exchange& exchange = *entries_[entry]->exchange;
    const instant now = events_.now();
    if (const auto* digest = std::get_if<load_digest>(&value))
        exchange.on_digest(*digest, now);
    else if (const auto* notice = std::get_if<attempt_notice>(&value))
        exchange.on_notice(*notice, now);
    else if (const auto* sent = std::get_if<engine_report>(&value))
        exchange.on_report(*sent, now);
    if (!exchange.is_digest_full())
        return;
    if (const auto full = exchange.take_digest())
        deliver(entry, *full);
}

void experiment::report(std::uint32_t id) {
    vm_record& vm = *vms_[id];
    const instant now = events_.now();
    const engine_report current{vm.server.endpoint, vm.running,
                                static_cast<std::uint32_t>(vm.queued.size()), 1,
                                false};
    const bool is_same = current.running == vm.last_report.running &&
                         current.queued == vm.last_report.queued;
    if (is_same && now - vm.last_report_at < report_refresh)
        return;
    vm.last_report = current;
    vm.last_report_at = now;
    const std::size_t bytes = datagram_bytes(current);
    for (const std::string& region : duties_.regions())
        for (const site_entry* entry : duties_.responsible(region, vm.host))
            vm.up.send(bytes, [this, current, now, bytes,
                               receiver = entry_ids_.at(entry->name)] {
                entries_[receiver]->down.send(
                    bytes, [this, current, now, receiver] {
                        result_.report_age.add(events_.now() - now);
                        receive(receiver, current);
                    });
            });
}

/// Gives the document to the first entry of each region. The others ask it at
/// their next poll and get the whole document.
void experiment::change_document() {
    std::uniform_int_distribution<std::int64_t> phase(
        0, document_poll_interval.count());
    for (std::uint32_t id = 0; id < scenario_.entries; ++id) {
        const std::uint32_t reader = id % regions;
        if (id == reader) {
            on_document(id);
            continue;
        }
        events_.after(milliseconds(phase(random_)), [this, id, reader] {
            entries_[id]->up.send(poll_bytes, [this, id, reader] {
                entries_[reader]->up.send(scenario_.document_bytes, [this, id] {
                    entries_[id]->down.send(scenario_.document_bytes,
                                            [this, id] { on_document(id); });
                });
            });
        });
    }
}

void experiment::on_document(std::uint32_t entry) {
    entries_[entry]->has_document = true;
    if (std::all_of(entries_.begin(), entries_.end(),
                    [](const auto& each) { return each->has_document; }))
        result_.all_informed = std::chrono::duration_cast<milliseconds>(
            events_.now() - start_ - document_change);
}

// ---- Distribution ----------------------------------------------------------

void experiment::publish() {
    weights_assignment assignment;
    assignment.service = service_.name;
    assignment.model = "model";
    assignment.version = 2;
    assignment.origin = {"10.3.0.1", 80};
    for (const auto& vm : vms_)
        assignment.agents.push_back({vm->host, vm->server.data_centre});
    const std::size_t bytes = datagram_bytes(assignment);
    for (std::uint32_t id = 0; id < scenario_.vms; ++id) {
        if (!vms_[id]->is_squeezed)
            calm_bytes_before_ += vms_[id]->down.sent_bytes();
        const auto senders =
            duties_.assigners(vms_[id]->server.data_centre, vms_[id]->host);
        for (std::size_t copy = 0; copy < senders.size(); ++copy)
            vms_[id]->down.send(bytes, [this, id] { request_version(id); });
    }
}

void experiment::request_version(std::uint32_t id) {
    requested_version requested{version_, 1};
    requested.published_at = start_ + publication;
    vms_[id]->agent.set_requested({requested}, events_.now());
    update(id);
}

void experiment::update(std::uint32_t id) {
    vm_record& vm = *vms_[id];
    const instant now = events_.now();
    for (const swarm_action& action : vm.agent.tick(now))
        std::visit([&](const auto& each) { perform(id, each); }, action);
    if (!vm.completed_at && vm.agent.complete(version_)) {
        vm.completed_at = now;
        note_held();
    }
    const instant wake = vm.agent.next_wake(now);
    if (vm.wake > now && vm.wake <= wake)
        return;
    vm.wake = wake;
    events_.at(wake, [this, id, wake] {
        if (vms_[id]->wake == wake)
            update(id);
    });
}

/// Sends a small message from one agent to another.
void experiment::send_control(std::uint32_t from, const std::string& to,
                              std::size_t bytes,
                              std::function<void(std::uint32_t vm)> arrived) {
    const std::uint32_t receiver = vm_ids_.at(to);
    vms_[from]->up.send(
        bytes, [this, receiver, bytes, arrived = std::move(arrived)] {
            vms_[receiver]->down.send(bytes, [this, receiver, arrived] {
                arrived(receiver);
                update(receiver);
            });
        });
}

void experiment::perform(std::uint32_t id, const fetch_chunk& action) {
    if (const auto* peer = std::get_if<peer_source>(&action.source)) {
        send_control(id, peer->name, chunk_request_bytes,
                     [this, id, index = action.index](std::uint32_t vm) {
                         vms_[vm]->agent.on_request(vms_[id]->host, 0, version_,
                                                    index);
                     });
        return;
    }
    vms_[id]->up.send(chunk_request_bytes, [this, id, index = action.index] {
        send_chunk(origin_, id, origin_source{}, index);
    });
}

void experiment::perform(std::uint32_t id, const serve_chunk& action) {
    send_chunk(vms_[id]->up, vm_ids_.at(action.peer),
               peer_source{vms_[id]->host}, action.index);
}

/// Sends a chunk in slices, so that it does not wait as a whole in each link.
void experiment::send_chunk(simulated_link& from, std::uint32_t to,
                            const chunk_source& source, std::uint32_t index) {
    for (std::uint32_t slice = 1; slice <= slices_per_chunk; ++slice)
        from.send(chunk_bytes / slices_per_chunk, [this, to, source, index,
                                                   slice] {
            vms_[to]->down.send(chunk_bytes / slices_per_chunk,
                                [this, to, source, index, slice] {
                                    if (slice < slices_per_chunk)
                                        return;
                                    vms_[to]->agent.on_fetched(
                                        source, version_, index,
                                        fetch_outcome::stored, events_.now());
                                    update(to);
                                });
        });
}

void experiment::perform(std::uint32_t id, const refuse_chunk& action) {
    send_control(id, action.peer, chunk_request_bytes,
                 [this, id, index = action.index](std::uint32_t vm) {
                     vms_[vm]->agent.on_fetched(
                         peer_source{vms_[id]->host}, version_, index,
                         fetch_outcome::refused, events_.now());
                 });
}

void experiment::perform(std::uint32_t id, const announce_chunks& action) {
    const chunk_bitmap held = vms_[id]->agent.held(version_);
    const std::size_t bytes = datagram_bytes(
        chunk_have{{vms_[id]->host, 1}, version_, chunks, held.bytes(), false});
    for (const std::string& peer : action.peers)
        send_control(id, peer, bytes, [this, id, held](std::uint32_t vm) {
            vms_[vm]->agent.on_have(vms_[id]->host, version_, held,
                                    events_.now());
        });
}

/// The manifest comes from the origin, or from a peer that has it.
void experiment::perform(std::uint32_t id, const fetch_manifest& action) {
    const auto arrive = [this, id] {
        vms_[id]->down.send(manifest_bytes, [this, id] {
            if (std::exchange(vms_[id]->has_manifest, true))
                return;
            vms_[id]->agent.on_manifest(version_, description_, chunk_bitmap(),
                                        events_.now());
            update(id);
        });
    };
    const auto* peer = std::get_if<peer_source>(&action.source);
    if (peer == nullptr) {
        vms_[id]->up.send(chunk_request_bytes, [this, arrive] {
            origin_.send(manifest_bytes, arrive);
        });
        return;
    }
    send_control(id, peer->name, chunk_request_bytes,
                 [this, id, arrive, source = action.source](std::uint32_t vm) {
                     if (vms_[vm]->has_manifest) {
                         vms_[vm]->up.send(manifest_bytes, arrive);
                         return;
                     }
                     vms_[id]->agent.on_manifest_failed(version_, source,
                                                        events_.now());
                     update(id);
                 });
}

/// Notes when half and all of the VMs hold the version, and how far those that
/// were not squeezed used their links until they did.
void experiment::note_held() {
    const auto holds = [](const auto& vm) {
        return vm->completed_at.has_value();
    };
    const auto since = std::chrono::duration_cast<milliseconds>(
        events_.now() - start_ - publication);
    const auto held = std::count_if(vms_.begin(), vms_.end(), holds);
    if (result_.half_held == milliseconds(0) &&
        2 * held >= static_cast<std::int64_t>(scenario_.vms))
        result_.half_held = since;
    if (held == static_cast<std::int64_t>(scenario_.vms))
        result_.all_held = since;
    double bytes = -calm_bytes_before_;
    std::uint32_t calm = 0;
    for (const auto& vm : vms_) {
        if (vm->is_squeezed)
            continue;
        if (!holds(vm))
            return;
        bytes += vm->down.sent_bytes();
        ++calm;
    }
    if (result_.link_share == 0 && calm > 0)
        result_.link_share = bytes / calm / vm_bytes_per_second /
                             std::chrono::duration<double>(since).count();
}

link_measurement experiment::run() {
    events_.run_until(start_ + experiment_time);
    return std::move(result_);
}

} // namespace

// ---- Results ---------------------------------------------------------------

void time_distribution::add(std::chrono::nanoseconds time) {
    times_.push_back(time);
}

milliseconds time_distribution::at(double share) const {
    if (times_.empty())
        return milliseconds(0);
    const auto rank = static_cast<std::size_t>(
        std::ceil(share * static_cast<double>(times_.size())));
    const auto index = static_cast<std::ptrdiff_t>(
        std::clamp<std::size_t>(rank, 1, times_.size()) - 1);
    std::vector<std::chrono::nanoseconds> sorted = times_;
    std::nth_element(sorted.begin(), sorted.begin() + index, sorted.end());
    return std::chrono::duration_cast<milliseconds>(
        sorted[static_cast<std::size_t>(index)]);
}

link_measurement run_link_experiment(const link_scenario& scenario) {
    return experiment(scenario).run();
}

} // namespace ospreystage::support
