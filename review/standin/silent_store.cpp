#include "cases.hpp"
#include "engine.hpp"
#include "proxy.hpp"

#include <algorithm>

namespace ospreystage::review {

namespace {

using nlohmann::json;

constexpr const char* key = "jnbanfqasnmgkcuyj8pj";
constexpr const char* service = "osprey-llm";
constexpr const char* model = "daka510000";
constexpr const char* prefix = "/lepu270/";

/// Bound of the rule, as in the settings.
constexpr milliseconds version_time{8000};

constexpr milliseconds quiet_time{8000};
/// From the change of the desired state to the silence, and from there to the
/// new weights.
constexpr milliseconds silence_time{50};
constexpr milliseconds publication_time{50};
constexpr milliseconds observed_time{14'000};
constexpr milliseconds request_interval{40};
constexpr int consumers = 12;
constexpr int workers = 3;

json make_state(std::uint64_t version, const endpoint& origin) {
    json config = make_config(version);
    json route = make_route("r-1", prefix, "streaming", service);
    route.update({{"timeout_ms", 6000},
                  {"target_latency_ms", 500},
                  {"target_gap_ms", 400},
                  {"sticky", true},
                  {"stream_resume", true}});
    config["routes"] = {route};
    config["services"] = {make_model_service(service, model),
                          {{"name", "board-misc"},
                           {"origin", to_string(origin)},
                           {"zone", "kol-hall-a"},
                           {"link_mbps", 9.9},
                           {"max_connections", 48}}};
    config["tenants"] = {{{"name", "bozi300"}, {"api_keys", {key}}}};
    return config;
}

http_request make_request(int number) {
    http_request request;
    request.method = "POST";
    request.target = std::string(prefix) + "2f";
    request.fields = {{"Api-Key", key},
                      {"X-Request-Deadline", "6000"},
                      {"X-Model", model},
                      {"X-Token-Usage", "300,25"},
                      {"X-Prompt-Prefix",
                       "5c1e07a2:40,e440" + std::to_string(number) + ":260"}};
    request.body = "prompt";
    return request;
}

/// Consumers that ask for streams until the end.
class streams {
  public:
    explicit streams(site& target) {
        for (int first = 0; first < consumers; ++first)
            threads_.emplace_back([this, &target, first] {
                for (int number = first; !is_stopping_; ++number) {
                    const consumer_call made =
                        consume(target, number % target.entries(),
                                make_request(10'000 + number));
                    if (made.response.status == 200)
                        ++served_;
                    std::this_thread::sleep_for(request_interval);
                }
            });
    }
    ~streams() {
        is_stopping_ = true;
        for (std::thread& each : threads_)
            each.join();
    }
    streams(const streams&) = delete;
    streams& operator=(const streams&) = delete;

    [[nodiscard]] int served() const { return served_; }

  private:
    std::atomic<bool> is_stopping_{false};
    std::atomic<int> served_{0};
    std::vector<std::thread> threads_;
};

} // namespace

verdict run_silent_store(const case_options& options) {
    site target({options.root, options.record_path, 2, workers, service});
    record_file& record = target.record();
    weights_origin origin(target.ip(240), model);
    silent_proxy proxy(target.ip(241), target.store().local());
    target.put_config(make_state(1, origin.local()));
    std::vector<std::unique_ptr<model_worker>> engines;
    engines.reserve(workers);
    for (int agent = 0; agent < workers; ++agent)
        engines.push_back(std::make_unique<model_worker>(
            target, "i-7f3a91c" + std::to_string(agent), service, model,
            agent));
    target.start(proxy.local());
    if (!target.await_ready())
        return verdict::not_run;
    record.write("all entries are ready");
    instant acknowledged;
    int served = 0;
    {
        const streams traffic(target);
        sleep_until(steady::now() + quiet_time);
        target.put_config(make_state(2, origin.local()));
        sleep_until(steady::now() + silence_time);
        if (options.has_trouble)
            record.write("proxy: " + std::to_string(proxy.silence()) +
                         " connections to the store fall silent");
        sleep_until(steady::now() + publication_time);
        target.store().put(std::string("op/version/") + model,
                           json{{"model", model}, {"version", 2}}.dump());
        acknowledged = steady::now();
        record.write("operator: version 2 is named, acknowledged");
        sleep_until(acknowledged + observed_time);
        served = traffic.served();
    }
    if (!target.are_all_running() || served == 0)
        return verdict::not_run;
    int late = 0;
    for (const auto& engine : engines)
        for (const model_run& run : engine->runs()) {
            if (run.version >= 2 || run.begun <= acknowledged + version_time)
                continue;
            ++late;
            record.write(
                "late: " + run.request + " began on version 1 at " +
                run.worker + " " +
                std::to_string(std::chrono::duration_cast<milliseconds>(
                                   run.begun - acknowledged)
                                   .count()) +
                " ms after the ack of version 2");
        }
    const bool has_loaded =
        std::all_of(engines.begin(), engines.end(),
                    [](const auto& each) { return each->version() == 2; });
    record.write("served " + std::to_string(served) + " requests; version 2 " +
                 (has_loaded ? "is" : "is not") + " on all workers");
    record.write(std::to_string(late) +
                 " requests began on version 1 later than 8000 ms after the "
                 "ack of version 2");
    record.write(late > 0 ? "VERSION broken" : "VERSION held");
    return late > 0 ? verdict::broken : verdict::held;
}

} // namespace ospreystage::review
