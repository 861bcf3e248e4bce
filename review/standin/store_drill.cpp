#include "cases.hpp"
#include "worker.hpp"

namespace ospreystage::review {

namespace {

using nlohmann::json;

constexpr const char* kept_key = "jnbanfqasnmgkcuyj8pj";
constexpr const char* revoked_key = "bvk9m68k7b2ex5wa5xwy";

/// Bounds of the rule, as in the settings.
constexpr milliseconds contact_time{3000};
constexpr milliseconds config_apply_time{2000};

constexpr milliseconds quiet_time{10'000};
/// From the second desired state to the drill.
constexpr milliseconds change_time{1500};
/// The drill: how long the store is away, and how old its copy is.
constexpr milliseconds away_time{500};
constexpr milliseconds copy_age{8000};
/// From the return of the store to the last desired state.
constexpr milliseconds stable_time = contact_time + milliseconds(300);
/// From the last desired state to the restarts of the entries.
constexpr milliseconds settled_time{15'000};
/// From the restart of an entry to that of the next one, once it is ready.
constexpr milliseconds restart_gap = contact_time + milliseconds(500);
constexpr milliseconds observed_time{5000};
constexpr milliseconds call_interval{100};
constexpr int worker_count = 3;

json make_state(std::uint64_t version, bool has_revoked_key) {
    json config = make_config(version);
    config["routes"] = {make_route("r-1", "/boye614/", "safe", "desk")};
    config["services"] = {{{"name", "desk"},
                           {"health_path", "/healthz"},
                           {"max_connections", 110},
                           {"protocol", "h1"},
                           {"tls", false}}};
    json keys = json::array({kept_key});
    if (has_revoked_key)
        keys.push_back(revoked_key);
    config["tenants"] = {{{"name", "bozi300"}, {"api_keys", keys}}};
    return config;
}

http_request make_request(const char* key) {
    http_request request;
    request.target = "/boye614/bo77/2f";
    request.fields = {{"Api-Key", key}};
    return request;
}

/// Takes the store away and returns it from a copy that lacks the newest
/// desired state.
void play_drill(site& target) {
    record_file& record = target.record();
    record.write("store: away at revision " +
                 std::to_string(target.store().revision()));
    target.store().go_away();
    sleep_until(steady::now() + away_time);
    const milliseconds age = target.store().come_back(copy_age);
    record.write("store: back from a copy " + std::to_string(age.count()) +
                 " ms old, at revision " +
                 std::to_string(target.store().revision()));
    // What the operator wrote is written again; the workers' next heartbeats
    // do the same for their entries.
    target.put_config(make_state(2, true));
}

/// Returns true if requests with both keys are answered as expected at all
/// entries.
bool are_keys_answered(site& target, int kept_status, int revoked_status) {
    bool is_expected = true;
    for (int entry = 0; entry < target.entries(); ++entry) {
        const int kept =
            consume(target, entry, make_request(kept_key)).response.status;
        const int revoked =
            consume(target, entry, make_request(revoked_key)).response.status;
        is_expected =
            is_expected && kept == kept_status && revoked == revoked_status;
    }
    return is_expected;
}

/// Returns the number of requests with the revoked key that ran.
int observe(site& target, instant bound) {
    std::vector<int> ran(static_cast<std::size_t>(target.entries()));
    const instant until = steady::now() + observed_time;
    while (steady::now() < until) {
        for (int entry = 0; entry < target.entries(); ++entry) {
            const consumer_call made =
                consume(target, entry, make_request(revoked_key));
            if (made.sent > bound && made.response.status == 200)
                ++ran[static_cast<std::size_t>(entry)];
        }
        std::this_thread::sleep_for(call_interval);
    }
    int total = 0;
    for (int entry = 0; entry < target.entries(); ++entry) {
        const int count = ran[static_cast<std::size_t>(entry)];
        target.record().write(
            "entry " + std::to_string(1 + entry) + ": " +
            std::to_string(count) +
            " requests with the revoked key ran, sent later than " +
            std::to_string(config_apply_time.count()) + " ms after the ack");
        total += count;
    }
    return total;
}

} // namespace

verdict run_store_drill(const case_options& options) {
    site target({options.root, options.record_path});
    record_file& record = target.record();
    const endpoint store = target.store().local();
    target.put_config(make_state(1, true));
    std::vector<std::unique_ptr<plain_worker>> workers;
    workers.reserve(worker_count);
    for (int index = 0; index < worker_count; ++index)
        workers.push_back(std::make_unique<plain_worker>(
            target, "i-7f3a91c" + std::to_string(index), "desk", 201 + index));
    target.start(store);
    if (!target.await_ready())
        return verdict::not_run;
    record.write("all entries are ready");
    sleep_until(steady::now() + quiet_time);
    target.put_config(make_state(2, true));
    sleep_until(steady::now() + change_time);
    if (options.has_trouble)
        play_drill(target);
    sleep_until(steady::now() + stable_time);
    if (!are_keys_answered(target, 200, 200)) {
        record.write("the case needs both keys to be served before");
        return verdict::not_run;
    }
    const instant acknowledged = target.put_config(make_state(3, false));
    sleep_until(steady::now() + settled_time);
    const bool was_revoked = are_keys_answered(target, 200, 401);
    record.write(was_revoked ? "the key is revoked at all entries"
                             : "the key is not revoked at all entries");
    for (int entry = 0; entry < target.entries(); ++entry) {
        target.restart_entry(entry, store);
        if (!target.await_ready())
            return verdict::not_run;
        sleep_until(steady::now() + restart_gap);
    }
    const int ran = observe(target, acknowledged + config_apply_time);
    if (!target.are_all_running())
        return verdict::not_run;
    record.write(ran > 0 ? "CONFIG broken" : "CONFIG held");
    return ran > 0 ? verdict::broken : verdict::held;
}

} // namespace ospreystage::review
