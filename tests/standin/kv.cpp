#include "common.hpp"
#include "kv_store.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <memory>
#include <thread>

namespace ospreystage::standin {

namespace {

constexpr std::size_t max_value_bytes = 1024 * 1024;
constexpr absl::Duration poll_interval = absl::Milliseconds(20);

std::string text(std::int64_t number) {
    return std::to_string(number);
}

json to_json(const kv_store::record& item) {
    return {{"key", to_base64(item.key)},
            {"value", to_base64(*item.value)},
            {"mod_revision", text(item.mod_revision)},
            {"lease", text(item.lease)}};
}

std::string range_end(const json& body) {
    return from_base64(body.value("range_end", ""));
}

/// Gateway of a key-value service, with faults on request.
class kv_gateway {
  public:
    void add_routes(httplib::Server& server);

    /// Revokes lapsed leases for as long as the process lives.
    void run_expiry();

  private:
    using operation = json (kv_gateway::*)(const json& body, bool& wrote);

    struct fault_state {
        bool down = false;
        bool swallow = false;
        std::int64_t delay_ms = 0;
        std::int64_t lose_answers = 0;
    };

    struct watch_state {
        std::string key;
        std::string end;
        std::int64_t next = 0;
        std::uint64_t outage = 0; ///< Outages begun before the watch.
        steady::time_point opened;
        bool created = false;
    };

    void add_operation(httplib::Server& server, const std::string& path,
                       operation run);
    void handle(operation run, const json& body, httplib::Response& answer);
    [[nodiscard]] bool admit(httplib::Response& answer);
    void set_faults(const json& body);
    [[nodiscard]] json stats();

    json range(const json& body, bool& wrote);
    json put(const json& body, bool& wrote);
    json txn(const json& body, bool& wrote);
    json grant(const json& body, bool& wrote);
    json keep_alive(const json& body, bool& wrote);
    json revoke(const json& body, bool& wrote);
    json run_one(const json& request);
    json range_answer(const json& body);
    void put_one(const json& body);
    [[nodiscard]] json header() const;

    void watch(const json& body, httplib::Response& answer);
    [[nodiscard]] bool step(watch_state& watch, httplib::DataSink& sink);
    [[nodiscard]] std::string next_lines(watch_state& watch);

    absl::Mutex mutex_;
    absl::CondVar changed_;
    kv_store store_;
    fault_state faults_;
    std::uint64_t outages_ = 0;
    std::int64_t reads_ = 0;
    std::int64_t writes_ = 0;
    std::int64_t open_watches_ = 0;
    std::chrono::duration<double> watch_time_{0};
};

void kv_gateway::add_routes(httplib::Server& server) {
    add_operation(server, "/v3/kv/range", &kv_gateway::range);
    add_operation(server, "/v3/kv/put", &kv_gateway::put);
    add_operation(server, "/v3/kv/txn", &kv_gateway::txn);
    add_operation(server, "/v3/lease/grant", &kv_gateway::grant);
    add_operation(server, "/v3/lease/keepalive", &kv_gateway::keep_alive);
    add_operation(server, "/v3/kv/lease/revoke", &kv_gateway::revoke);
    on_post(server, "/v3/watch",
            [this](const json& body, httplib::Response& answer) {
                watch(body, answer);
            });
    on_post(server, "/control/faults",
            [this](const json& body, httplib::Response& answer) {
                set_faults(body);
                reply(answer, json::object());
            });
    on_get(server, "/control/stats", [this] { return stats(); });
}

void kv_gateway::run_expiry() {
    for (;;) {
        std::this_thread::sleep_for(absl::ToChronoMilliseconds(poll_interval));
        const absl::MutexLock lock(&mutex_);
        if (store_.expire(steady::now()))
            changed_.SignalAll();
    }
}

void kv_gateway::add_operation(httplib::Server& server, const std::string& path,
                               operation run) {
    on_post(server, path,
            [this, run](const json& body, httplib::Response& answer) {
                handle(run, body, answer);
            });
}

void kv_gateway::handle(operation run, const json& body,
                        httplib::Response& answer) {
    const absl::MutexLock lock(&mutex_);
    if (!admit(answer))
        return;
    bool wrote = false;
    const json result = (this->*run)(body, wrote);
    if (wrote)
        changed_.SignalAll();
    if (wrote && faults_.lose_answers > 0) {
        --faults_.lose_answers;
        answer.status = 504;
        return;
    }
    const bool failed = result.contains("error");
    reply(answer, result, failed ? 400 : 200);
}

bool kv_gateway::admit(httplib::Response& answer) {
    if (faults_.delay_ms > 0) {
        const auto until = absl::Now() + absl::Milliseconds(faults_.delay_ms);
        while (absl::Now() < until && !faults_.down)
            changed_.WaitWithDeadline(&mutex_, until);
    }
    while (faults_.swallow && !faults_.down)
        changed_.Wait(&mutex_);
    if (faults_.down)
        reply(answer, {{"error", "unavailable"}, {"code", 14}}, 503);
    return !faults_.down;
}

void kv_gateway::set_faults(const json& body) {
    const absl::MutexLock lock(&mutex_);
    const bool was_down = faults_.down;
    faults_.down = body.value("down", faults_.down);
    faults_.swallow = body.value("swallow", faults_.swallow);
    faults_.delay_ms = body.value("delay_ms", faults_.delay_ms);
    faults_.lose_answers = body.value("lose_answers", faults_.lose_answers);
    if (faults_.down && !was_down)
        ++outages_;
    changed_.SignalAll();
}

json kv_gateway::stats() {
    const absl::MutexLock lock(&mutex_);
    return {{"reads", reads_},
            {"writes", writes_},
            {"watch_seconds", watch_time_.count()},
            {"open_watches", open_watches_},
            {"leases", store_.lease_count()}};
}

json kv_gateway::header() const {
    return {{"revision", text(store_.revision())}};
}

json kv_gateway::range_answer(const json& body) {
    const auto found =
        store_.range(from_base64(body.at("key")), range_end(body));
    json items = json::array();
    for (const auto& item : found)
        items.push_back(to_json(item));
    return {{"header", header()},
            {"kvs", std::move(items)},
            {"count", text(static_cast<std::int64_t>(found.size()))}};
}

json kv_gateway::range(const json& body, bool&) {
    ++reads_;
    return range_answer(body);
}

void kv_gateway::put_one(const json& body) {
    store_.put(from_base64(body.at("key")),
               from_base64(body.value("value", "")),
               integer_or(body, "lease", 0));
}

/// Returns what is wrong with a put, or an empty text.
std::string put_fault(const kv_store& store, const json& body) {
    const std::int64_t lease = integer_or(body, "lease", 0);
    if (lease != 0 && !store.has_lease(lease))
        return "etcdserver: requested lease not found";
    if (from_base64(body.value("value", "")).size() > max_value_bytes)
        return "etcdserver: request is too large";
    return {};
}

json kv_gateway::put(const json& body, bool& wrote) {
    ++writes_;
    const std::string fault = put_fault(store_, body);
    if (!fault.empty())
        return {{"error", fault}};
    store_.begin_write();
    put_one(body);
    wrote = true;
    return {{"header", header()}};
}

json kv_gateway::run_one(const json& request) {
    if (request.contains("request_range"))
        return {{"response_range", range_answer(request["request_range"])}};
    put_one(request.at("request_put"));
    return {{"response_put", {{"header", header()}}}};
}

json kv_gateway::txn(const json& body, bool& wrote) {
    ++writes_;
    bool succeeded = true;
    for (const auto& compare : body.value("compare", json::array())) {
        if (compare.value("target", "MOD") != "MOD" ||
            compare.value("result", "EQUAL") != "EQUAL")
            return {{"error", "only MOD EQUAL is supported"}};
        succeeded &= store_.mod_revision(from_base64(compare.at("key"))) ==
                     integer_or(compare, "mod_revision", 0);
    }
    const json requests =
        body.value(succeeded ? "success" : "failure", json::array());
    for (const auto& request : requests) {
        if (!request.contains("request_put"))
            continue;
        const std::string fault = put_fault(store_, request["request_put"]);
        if (!fault.empty())
            return {{"error", fault}};
        wrote = true;
    }
    if (wrote)
        store_.begin_write();
    json responses = json::array();
    for (const auto& request : requests)
        responses.push_back(run_one(request));
    return {{"header", header()},
            {"succeeded", succeeded},
            {"responses", std::move(responses)}};
}

json kv_gateway::grant(const json& body, bool&) {
    ++writes_;
    const std::int64_t ttl = integer_or(body, "TTL", 1);
    const std::int64_t lease =
        store_.grant(std::chrono::seconds(ttl), steady::now());
    return {{"header", header()}, {"ID", text(lease)}, {"TTL", text(ttl)}};
}

json kv_gateway::keep_alive(const json& body, bool&) {
    ++writes_;
    const std::int64_t lease = integer_or(body, "ID", 0);
    const auto ttl = std::chrono::duration_cast<std::chrono::seconds>(
        store_.keep_alive(lease, steady::now()));
    return {{"result",
             {{"header", header()},
              {"ID", text(lease)},
              {"TTL", text(ttl.count())}}}};
}

json kv_gateway::revoke(const json& body, bool& wrote) {
    ++writes_;
    const std::int64_t lease = integer_or(body, "ID", 0);
    if (!store_.has_lease(lease))
        return {{"error", "etcdserver: requested lease not found"}};
    store_.revoke(lease);
    wrote = true;
    return {{"header", header()}};
}

void kv_gateway::watch(const json& body, httplib::Response& answer) {
    const json& request = body.at("create_request");
    auto state = std::make_shared<watch_state>();
    state->key = from_base64(request.at("key"));
    state->end = range_end(request);
    {
        const absl::MutexLock lock(&mutex_);
        if (!admit(answer))
            return;
        state->next = integer_or(request, "start_revision", 0);
        if (state->next == 0)
            state->next = store_.revision() + 1;
        state->outage = outages_;
        state->opened = steady::now();
        ++open_watches_;
    }
    answer.set_chunked_content_provider(
        "application/json",
        [this, state](std::size_t, httplib::DataSink& sink) {
            return step(*state, sink);
        },
        [this, state](bool) {
            const absl::MutexLock lock(&mutex_);
            --open_watches_;
            watch_time_ += steady::now() - state->opened;
        });
}

/// Sends what is new; returns false once the watch must be cut.
bool kv_gateway::step(watch_state& watch, httplib::DataSink& sink) {
    std::string lines;
    {
        const absl::MutexLock lock(&mutex_);
        if (faults_.down || watch.outage != outages_)
            return false;
        if (!faults_.swallow)
            lines = next_lines(watch);
        if (lines.empty()) {
            changed_.WaitWithTimeout(&mutex_, poll_interval);
            return sink.is_writable();
        }
    }
    return sink.write(lines.data(), lines.size());
}

std::string kv_gateway::next_lines(watch_state& watch) {
    std::string lines;
    if (!watch.created) {
        watch.created = true;
        const json first = {
            {"result", {{"header", header()}, {"created", true}}}};
        lines += first.dump() + "\n";
    }
    json events = json::array();
    for (const auto& change : store_.events(watch.key, watch.end, watch.next)) {
        events.push_back({{"type", change.removed ? "DELETE" : "PUT"},
                          {"kv", to_json(change.item)}});
    }
    watch.next = std::max(watch.next, store_.revision() + 1);
    if (events.empty())
        return lines;
    const json result = {
        {"result", {{"header", header()}, {"events", std::move(events)}}}};
    return lines + result.dump() + "\n";
}

int run_kv(const std::string& listen) {
    httplib::Server server;
    prepare(server);
    kv_gateway gateway;
    gateway.add_routes(server);
    std::thread([&gateway] { gateway.run_expiry(); }).detach();
    return serve(server, listen);
}

} // namespace

void add_kv_command(CLI::App& app, int& status) {
    auto* command = app.add_subcommand("kv", "Key-value service");
    auto listen = std::make_shared<std::string>();
    add_listen_option(*command, *listen);
    command->callback([listen, &status] { status = run_kv(*listen); });
}

} // namespace ospreystage::standin
