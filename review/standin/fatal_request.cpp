#include "cases.hpp"
#include "worker.hpp"

#include <algorithm>
#include <cstdlib>

namespace ospreystage::review {

namespace {

using nlohmann::json;

constexpr const char* key = "jnbanfqasnmgkcuyj8pj";
constexpr const char* fatal_path = "/boye614/bo77/2f";
constexpr const char* sound_path = "/filo73/de11/2f";

/// Bound of the rule, as in the settings.
constexpr milliseconds contact_time{3000};

constexpr milliseconds quiet_time{3000};
constexpr milliseconds down_time{2000};
/// From one arrival of the request to the next one.
constexpr milliseconds arrival_interval{2500};
constexpr int arrivals = 16;
constexpr milliseconds sound_interval{20};
/// Crashes of workers from which the rule counts, and retries that it allows.
constexpr std::size_t counted_crashes = 3;
constexpr std::size_t allowed_retries = 3;
constexpr int workers = 2;

json make_state() {
    json config = make_config(1);
    config["routes"] = {make_route("r-1", "/boye614/", "safe", "records"),
                        make_route("r-2", "/filo73/", "unsafe", "records")};
    config["services"] = {{{"name", "records"},
                           {"health_path", "/healthz"},
                           {"max_connections", 110},
                           {"protocol", "h1"},
                           {"tls", false}}};
    config["tenants"] = {{{"name", "bozi300"}, {"api_keys", {key}}}};
    return config;
}

http_request make_request(const char* method, const char* path) {
    http_request request;
    request.method = method;
    request.target = path;
    request.fields = {{"Api-Key", key}};
    return request;
}

} // namespace

verdict run_fatal_request(const case_options& options) {
    site target({options.root, options.record_path});
    record_file& record = target.record();
    target.put_config(make_state());
    std::vector<std::unique_ptr<plain_worker>> servers;
    servers.reserve(workers);
    for (int index = 0; index < workers; ++index)
        servers.push_back(std::make_unique<plain_worker>(
            target, "i-02d9e6b" + std::to_string(index), "records",
            201 + index));
    target.start(target.store().local());
    if (!target.await_ready())
        return verdict::not_run;
    record.write("all entries are ready");
    std::atomic<bool> is_stopping{false};
    std::thread sound([&] {
        for (int number = 0; !is_stopping; ++number) {
            static_cast<void>(consume(target, number % target.entries(),
                                      make_request("POST", sound_path)));
            std::this_thread::sleep_for(sound_interval);
        }
    });
    sleep_until(steady::now() + quiet_time);
    if (options.has_trouble)
        for (const auto& server : servers)
            server->crash_on(fatal_path, down_time,
                             std::getenv("NEW_IDS") != nullptr);
    for (int number = 0; number < arrivals; ++number) {
        const instant next = steady::now() + arrival_interval;
        static_cast<void>(consume(target, number % target.entries(),
                                  make_request("GET", fatal_path)));
        sleep_until(next);
    }
    is_stopping = true;
    sound.join();
    if (!target.are_all_running())
        return verdict::not_run;
    std::vector<instant> crashes;
    for (const auto& server : servers)
        for (const worker_run& run : server->runs())
            if (run.path == fatal_path && options.has_trouble)
                crashes.push_back(run.at);
    std::sort(crashes.begin(), crashes.end());
    std::size_t retries = 0;
    if (crashes.size() >= counted_crashes) {
        const instant bound = crashes[counted_crashes - 1] + contact_time;
        retries = static_cast<std::size_t>(
            std::count_if(crashes.begin(), crashes.end(),
                          [&](instant at) { return at > bound; }));
    }
    record.write("the request has crashed workers " +
                 std::to_string(crashes.size()) + " times; " +
                 std::to_string(retries) +
                 " times later than 3000 ms after the third");
    const bool is_broken = retries > allowed_retries;
    record.write(is_broken ? "BUDGET broken" : "BUDGET held");
    return is_broken ? verdict::broken : verdict::held;
}

} // namespace ospreystage::review
