#include "cases.hpp"
#include "worker.hpp"

#include <algorithm>

namespace ospreystage::review {

namespace {

using nlohmann::json;

constexpr const char* key = "jnbanfqasnmgkcuyj8pj";

/// Bounds of the settings.
constexpr milliseconds drain_time{2000};
constexpr milliseconds contact_time{3000};
constexpr milliseconds config_apply_time{2000};

constexpr milliseconds quiet_time{3000};
/// From the report of a leaving worker to its end, and from there to its next
/// start.
constexpr milliseconds leave_time = drain_time + milliseconds(500);
constexpr milliseconds restart_time{700};
/// From one restart to that of the next worker.
constexpr milliseconds restart_gap{1500};
/// Workers of each service, and releases of one half of those of a service.
constexpr int worker_count = 4;
constexpr int released = 2;
constexpr int releases = 4;
constexpr milliseconds call_interval{100};
/// Consumers that use the first routes, and the pause between two requests of
/// one of them.
constexpr int consumers = 8;
constexpr milliseconds traffic_interval{10};
/// Requests on each of the routes, at machines in touch.
constexpr int judged_requests = 60;

constexpr const char* first_path = "/boye614/";
constexpr const char* restarted_path = "/filo73/";
constexpr const char* added_path = "/lepu270/";

json make_state(std::uint64_t version, bool has_added_route) {
    json config = make_config(version);
    config["routes"] = {
        make_route("r-1", first_path, "safe", "desk"),
        make_route("r-2", restarted_path, "safe", "records"),
    };
    if (has_added_route)
        config["routes"].push_back(
            make_route("r-3", added_path, "safe", "records"));
    for (const char* name : {"desk", "records"})
        config["services"].push_back({{"name", name},
                                      {"health_path", "/healthz"},
                                      {"max_connections", 110},
                                      {"protocol", "h1"},
                                      {"tls", false}});
    config["tenants"] = {{{"name", "bozi300"}, {"api_keys", {key}}}};
    return config;
}

http_request make_request(const char* path) {
    http_request request;
    request.target = std::string(path) + "2f";
    request.fields = {{"Api-Key", key}};
    return request;
}

/// Consumers that use the first routes until the end.
class steady_traffic {
  public:
    explicit steady_traffic(site& target) {
        for (int first = 0; first < consumers; ++first)
            threads_.emplace_back([this, &target, first] {
                for (int next = first; !is_stopping_; ++next) {
                    const char* path =
                        next % 4 == 0 ? first_path : restarted_path;
                    const int entry = next % target.entries();
                    static_cast<void>(
                        consume(target, entry, make_request(path)));
                    std::this_thread::sleep_for(traffic_interval);
                }
            });
    }
    ~steady_traffic() {
        is_stopping_ = true;
        for (std::thread& each : threads_)
            each.join();
    }
    steady_traffic(const steady_traffic&) = delete;
    steady_traffic& operator=(const steady_traffic&) = delete;

  private:
    std::atomic<bool> is_stopping_{false};
    std::vector<std::thread> threads_;
};

/// Has a worker leave as announced and start again under its id.
void restart(plain_worker& worker) {
    worker.leave();
    sleep_until(steady::now() + leave_time);
    worker.stop();
    sleep_until(steady::now() + restart_time);
    worker.start();
    sleep_until(steady::now() + restart_gap);
}

} // namespace

verdict run_restart_in_place(const case_options& options) {
    site target({options.root, options.record_path});
    record_file& record = target.record();
    target.put_config(make_state(1, false));
    std::vector<std::unique_ptr<plain_worker>> desk;
    std::vector<std::unique_ptr<plain_worker>> records;
    for (int index = 0; index < worker_count; ++index) {
        const std::string number = std::to_string(index);
        desk.push_back(std::make_unique<plain_worker>(
            target, "i-7f3a91c" + number, "desk", 201 + index));
        records.push_back(std::make_unique<plain_worker>(
            target, "i-02d9e6b" + number, "records", 211 + index));
    }
    target.start(target.store().local());
    if (!target.await_ready())
        return verdict::not_run;
    record.write("all entries are ready");
    int first_served = 0;
    int added_served = 0;
    {
        const steady_traffic traffic(target);
        sleep_until(steady::now() + quiet_time);
        for (int release = 0; options.has_trouble && release < releases;
             ++release) {
            record.write("release of one half of the workers of records");
            const auto first = records.begin() + release % 2 * released;
            std::for_each(first, first + released,
                          [](const auto& worker) { restart(*worker); });
        }
        sleep_until(steady::now() + contact_time);
        target.put_config(make_state(2, true));
        sleep_until(steady::now() + config_apply_time + contact_time);
        record.write("judged from here");
        for (int number = 0; number < judged_requests; ++number) {
            const int entry = number % target.entries();
            const auto is_served = [&](const char* path) {
                return consume(target, entry, make_request(path))
                           .response.status == 200;
            };
            first_served += is_served(first_path) ? 1 : 0;
            added_served += is_served(added_path) ? 1 : 0;
            std::this_thread::sleep_for(call_interval);
        }
    }
    if (!target.are_all_running() || first_served == 0)
        return verdict::not_run;
    const bool is_broken = 4 * added_served < first_served;
    record.write("served on the first route: " + std::to_string(first_served) +
                 " of " + std::to_string(judged_requests) +
                 ", on the added route: " + std::to_string(added_served) +
                 " of " + std::to_string(judged_requests));
    record.write(is_broken ? "CONFIG broken" : "CONFIG held");
    return is_broken ? verdict::broken : verdict::held;
}

} // namespace ospreystage::review
