#include <fmt/format.h>
#include <tests/bench/distribution.hpp>
#include <tests/support/http_json.hpp>
#include <tests/support/load.hpp>
#include <tests/support/operations.hpp>

#include <algorithm>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <thread>

namespace ospreystage::bench {

namespace {

using namespace support;

/// Copies that the origin's and a VM's link carry within the window.
constexpr double origin_copies_per_window = 4;
constexpr double vm_copies_per_window = 2;
constexpr std::size_t data_centres = 3;
constexpr milliseconds poll_interval{50};
/// Windows after which a run is given up.
constexpr int most_windows = 6;
constexpr seconds gap_baseline_time{4};
constexpr double most_token_gap_ms = 36;

struct run_options {
    std::string name = "steady"; ///< Case.
    std::string setting = "board";
    std::string baseline = "none";
    std::size_t vms = 8;
    bool shared = false; ///< Both directions share a VM's link.
    std::uint64_t megabytes = 16;
    std::uint32_t chunk_kilobytes = 128;
    seconds window{20};
    std::uint64_t seed = 1;
};

/// Bars of the figures; a baseline has none.
struct bars {
    double time_ratio = 0;
    double origin_copies = 0;
};

std::optional<bars> bars_of(const run_options& run) {
    if (run.baseline != "none")
        return std::nullopt;
    if (run.name == "failures")
        return bars{2, 1.25};
    if (run.name == "origin-gone")
        return bars{static_cast<double>(most_windows), 1.05};
    if (run.setting == "board")
        return bars{1.25, 4};
    return bars{1.5, 1.05};
}

double window_seconds(const run_options& run) {
    return static_cast<double>(run.window.count());
}

/// Shortest time that the links allow, in seconds.
double limit_seconds(const run_options& run, double copies_read) {
    const double window = window_seconds(run);
    const auto count = static_cast<double>(run.vms);
    const double origin = origin_copies_per_window / window;
    const double link = vm_copies_per_window / window;
    if (run.shared)
        return window * (1 - copies_read / (2 * count));
    return std::max({1 / origin, 1 / link, count / (origin + count * link)});
}

fleet_options options_of(const run_options& run) {
    const double bytes = static_cast<double>(run.megabytes) * 1024 * 1024;
    fleet_options options;
    options.data_centres = data_centres;
    options.entries = 3;
    options.agents = run.vms;
    options.origin_bytes_per_second = static_cast<std::uint64_t>(
        bytes * origin_copies_per_window / window_seconds(run));
    options.link_bytes_per_second = static_cast<std::uint64_t>(
        bytes * vm_copies_per_window / window_seconds(run));
    options.shared_directions = run.shared;
    options.origin_copies = run.setting == "board" ? 4 : 1;
    options.baseline = run.baseline;
    options.log_level = "warn";
    return options;
}

/// One run: a fleet, a version, the faults of the case.
class distribution_run {
  public:
    explicit distribution_run(run_options run)
        : run_(std::move(run)), system_(options_of(run_)) {}

    /// Returns the JSON line, or nothing if the fleet did not start.
    [[nodiscard]] std::optional<nlohmann::json> measure();

  private:
    [[nodiscard]] bool publish_and_accept();
    void wait_until_live();
    void cause_failures();
    void cut_origin_after_one_copy();
    [[nodiscard]] std::size_t live_survivors() const;
    [[nodiscard]] nlohmann::json report();
    /// Adds up a counter of the survivors' distribution service.
    [[nodiscard]] double counter_sum(const char* name) const;
    [[nodiscard]] double remote_copies() const;

    run_options run_;
    fleet system_;
    weights_version version_;
    instant accepted_{};
    std::optional<double> live_seconds_;
    std::set<std::string> not_survivors_;
    bool failures_caused_ = false;
    bool origin_cut_ = false;
    double copies_at_cut_ = 0;
};

bool distribution_run::publish_and_accept() {
    version_ = system_.publish({"bench", run_.megabytes * 1024 * 1024,
                                run_.chunk_kilobytes * 1024, run_.seed});
    const auto answer =
        submit_rollout(system_, "entry-1",
                       basic_rollout(system_, {version_.version}), "bench-1");
    accepted_ = steady::now();
    return answer.value("result", "") == "accepted";
}

std::size_t distribution_run::live_survivors() const {
    std::size_t count = 0;
    for (const fleet_member& member : system_.members()) {
        if (!member.agent || not_survivors_.contains(member.name))
            continue;
        const http_answer state = get_json(member.backend_url, "/state");
        if (state.status != 200)
            continue;
        const auto& held = state.body["held"];
        if (std::find(held.begin(), held.end(), version_.version) != held.end())
            ++count;
    }
    return count;
}

void distribution_run::cause_failures() {
    failures_caused_ = true;
    const auto names = system_.agent_names();
    const std::size_t tenth = std::max<std::size_t>(1, names.size() / 10);
    for (std::size_t index = 0; index < tenth; ++index) {
        const std::string& stalled = names[index * names.size() / tenth];
        system_.freeze(stalled);
        not_survivors_.insert(stalled);
    }
    for (std::size_t index = 0; index < tenth; ++index) {
        const std::string& killed = names[index * names.size() / tenth + 1];
        not_survivors_.insert(killed);
        if (!system_.replace_vm(killed))
            std::cerr << "could not replace " << killed << '\n';
    }
}

void distribution_run::cut_origin_after_one_copy() {
    // The origin's own count includes chunks that are still on their way.
    const auto chunks = version_.description.chunks.size();
    if (counter_sum("from_origin") < static_cast<double>(chunks))
        return;
    system_.set_faults("origin", {{"down", true}});
    copies_at_cut_ = origin_copies(system_, version_.version);
    origin_cut_ = true;
}

void distribution_run::wait_until_live() {
    const instant give_up = accepted_ + most_windows * run_.window;
    while (steady::now() < give_up) {
        const auto spent = steady::now() - accepted_;
        if (run_.name == "failures" && !failures_caused_ &&
            spent > run_.window / 5)
            cause_failures();
        if (run_.name == "origin-gone" && !origin_cut_)
            cut_origin_after_one_copy();
        if (live_survivors() >= run_.vms - not_survivors_.size()) {
            live_seconds_ =
                std::chrono::duration<double>(steady::now() - accepted_)
                    .count();
            return;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

double distribution_run::counter_sum(const char* name) const {
    double sum = 0;
    for (const std::string& agent : system_.agent_names()) {
        if (not_survivors_.contains(agent))
            continue;
        const auto dump = dump_of(system_, agent);
        if (dump.is_object())
            sum += dump["services"]["distribution"]["state"].value(name, 0.0);
    }
    return sum;
}

double distribution_run::remote_copies() const {
    return counter_sum("from_remote") /
           static_cast<double>(version_.description.chunks.size());
}

nlohmann::json distribution_run::report() {
    const double copies = run_.name == "origin-gone"
                              ? copies_at_cut_
                              : origin_copies(system_, version_.version);
    const double limit = limit_seconds(run_, copies);
    nlohmann::json line{{"case", run_.name},
                        {"setting", run_.setting},
                        {"baseline", run_.baseline},
                        {"reading", run_.shared ? "shared" : "duplex"},
                        {"vms", run_.vms},
                        {"survivors", run_.vms - not_survivors_.size()},
                        {"window_seconds", window_seconds(run_)},
                        {"megabytes", run_.megabytes},
                        {"seed", run_.seed},
                        {"limit_seconds", limit},
                        {"origin_copies", copies},
                        {"cross_data_centre_copies", remote_copies()}};
    const auto bar = bars_of(run_);
    if (live_seconds_) {
        line["live_seconds"] = *live_seconds_;
        line["time_ratio"] = *live_seconds_ / limit;
    }
    line["met"] =
        live_seconds_ && (!bar || (*live_seconds_ / limit <= bar->time_ratio &&
                                   copies <= bar->origin_copies));
    return line;
}

std::optional<nlohmann::json> distribution_run::measure() {
    if (!system_.start()) {
        std::cerr << system_.problem() << '\n';
        return std::nullopt;
    }
    std::unique_ptr<caller> client;
    std::unique_ptr<load> callers;
    std::optional<microseconds> gap_before;
    const auto begin_load = [&] {
        load_options options;
        options.threads = run_.vms;
        options.stream_percent = 100;
        options.non_idempotent_percent = 0;
        options.max_tokens = 64;
        callers = std::make_unique<load>(system_, *client, options);
        callers->start();
    };
    rollout_document document;
    if (run_.name == "with-requests") {
        const auto base = system_.publish({"base", 1024 * 1024, 128 * 1024, 9});
        document = basic_rollout(system_, {base.version});
        submit_rollout(system_, "entry-1", document, "bench-0");
        if (!await_live(system_, base.version, run_.vms, seconds(60)))
            return std::nullopt;
        client = std::make_unique<caller>(
            system_.entry_urls(),
            std::map<digest, digest>{{base.version, base.weights_digest}});
        begin_load();
        std::this_thread::sleep_for(gap_baseline_time);
        gap_before = percentile(callers->finish().token_gaps, 95);
        begin_load();
        version_ = system_.publish({"bench", run_.megabytes * 1024 * 1024,
                                    run_.chunk_kilobytes * 1024, run_.seed});
        client->add_version(version_.version, version_.weights_digest);
        document = basic_rollout(system_, {version_.version});
        document.based_on = 1;
        submit_rollout(system_, "entry-1", document, "bench-1");
        accepted_ = steady::now();
    } else {
        if (run_.name == "failures")
            system_.set_faults("origin", {{"corrupt_percent", 1}});
        if (!publish_and_accept())
            return std::nullopt;
    }
    wait_until_live();
    std::optional<load_summary> summary;
    if (callers)
        summary = callers->finish();
    nlohmann::json line = report();
    if (summary && gap_before) {
        const auto gap = percentile(summary->token_gaps, 95);
        const auto in_ms = [](microseconds value) {
            return static_cast<double>(value.count()) / 1000.0;
        };
        line["token_gap_p95_ms"] = in_ms(gap);
        line["added_token_gap_p95_ms"] = in_ms(gap) - in_ms(*gap_before);
        line["requests"] = to_json(*summary);
        line["met"] = line["met"].get<bool>() && summary->is_clean() &&
                      in_ms(gap) <= most_token_gap_ms;
    }
    return line;
}

void check_choice(const std::string& value, const char* option,
                  const std::set<std::string>& choices) {
    if (!choices.contains(value))
        throw CLI::ValidationError(option, "unknown value " + value);
}

int run_once(const run_options& run) {
    check_choice(run.name, "--case",
                 {"steady", "failures", "origin-gone", "with-requests"});
    check_choice(run.setting, "--setting", {"board", "tokachi"});
    check_choice(run.baseline, "--baseline", {"none", "direct", "tree"});
    distribution_run experiment(run);
    const auto line = experiment.measure();
    if (!line)
        return 1;
    std::cout << line->dump() << std::endl;
    return (*line)["met"].get<bool>() ? 0 : 1;
}

} // namespace

void add_distribution(CLI::App& app, int& status) {
    CLI::App* sub = app.add_subcommand(
        "distribution", "Time and origin bytes until N replicas are live");
    const auto run = std::make_shared<run_options>();
    const auto window = std::make_shared<std::uint32_t>(20);
    sub->add_option("--case", run->name, "Case to run");
    sub->add_option("--setting", run->setting, "board or tokachi");
    sub->add_option("--baseline", run->baseline, "none, direct or tree");
    sub->add_option("--vms", run->vms, "VMs with an engine");
    sub->add_flag("--shared", run->shared, "Both directions share a VM's link");
    sub->add_option("--megabytes", run->megabytes, "Size of the version");
    sub->add_option("--chunk-kilobytes", run->chunk_kilobytes,
                    "Size of a chunk");
    sub->add_option("--window", *window,
                    "Seconds in which the origin's link carries four copies");
    sub->add_option("--seed", run->seed, "Seed of the version's bytes");
    sub->callback([run, window, &status] {
        run->window = seconds(*window);
        status = run_once(*run);
    });
}

} // namespace ospreystage::bench
