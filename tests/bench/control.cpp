#include <absl/synchronization/mutex.h>
#include <fmt/format.h>
#include <tests/bench/control.hpp>
#include <tests/support/http_json.hpp>
#include <tests/support/operations.hpp>
#include <tests/support/process_usage.hpp>
#include <tests/support/revision_monitor.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>

namespace ospreystage::bench {

namespace {

using namespace support;

constexpr std::size_t data_centres = 3;
constexpr std::size_t entry_count = 6;
constexpr std::size_t default_nodes = 20;
constexpr milliseconds poll_interval{50};
constexpr seconds first_limit{30};
constexpr seconds settle_time{8};
constexpr seconds quiet_time{6};
constexpr milliseconds fresh_poll_time{300};
constexpr double bytes_per_megabyte = 1024 * 1024;
constexpr seconds in_force_limit{20};
/// Sizes of `--scale`; the larger ones are polled less often.
struct scale_step {
    std::size_t nodes = 0;
    milliseconds poll{};
};
constexpr std::array<scale_step, 3> scale_steps = {{{20, milliseconds(50)},
                                                    {60, milliseconds(250)},
                                                    {180, milliseconds(1000)}}};
constexpr milliseconds edit_interval{2000};
constexpr milliseconds retry_interval{50};
constexpr int steady_edits = 10;
constexpr int fault_edits = 5;
constexpr int raced_edits = 100;
constexpr int shared_field_period = 3; ///< One raced edit in so many clashes.
constexpr seconds cut_off_time{30};
constexpr std::int64_t slow_call_milliseconds = 800;
constexpr double most_in_force_seconds = 4;
constexpr double most_control_bytes = 18 * 1024;

struct run_options {
    std::string name = "steady"; ///< Case.
    std::size_t nodes = default_nodes;
    seconds freeze{60}; ///< How long `frozen-entry` freezes the entry.
    milliseconds poll = poll_interval;
};

/// An edit that was answered with `accepted`.
struct accepted_edit {
    revision number = 0;
    std::string operation_id;
    instant time{};
    std::set<std::string> unreachable; ///< Not expected to be in time.
};

double to_seconds(steady::duration value) {
    return std::chrono::duration<double>(value).count();
}

fleet_options options_of(const run_options& run) {
    fleet_options options;
    options.data_centres = data_centres;
    options.entries = entry_count;
    options.agents = 0;
    options.plain_agents =
        run.nodes > entry_count ? run.nodes - entry_count : 1;
    options.share_plain_backend = true;
    options.log_level = "warn";
    options.start_timeout = seconds(60);
    return options;
}

/// Returns a document with plain services only; `basic_rollout` without its
/// engine service.
rollout_document plain_rollout(const fleet& system) {
    rollout_document out = basic_rollout(system, {});
    std::erase_if(out.services, [](const service& item) {
        return item.name == engine_service_name;
    });
    return out;
}

organisation& organisation_of(rollout_document& document,
                              const std::string& name) {
    return *std::find_if(
        document.organisations.begin(), document.organisations.end(),
        [&](const organisation& item) { return item.name == name; });
}

struct platform_counts {
    double calls = 0;
    double open_watches = 0;
};

platform_counts counts_of(const fleet& system) {
    const auto stats = get_json(system.url("kv"), "/control/stats").body;
    return {stats.value("reads", 0.0) + stats.value("writes", 0.0),
            stats.value("open_watches", 0.0)};
}

/// One case: a fleet, edits, the faults of the case, and what was seen.
class control_run {
  public:
    explicit control_run(run_options run)
        : run_(std::move(run)), system_(options_of(run_)) {}

    /// Returns the JSON line, or nothing if the fleet did not start.
    [[nodiscard]] std::optional<nlohmann::json> measure();

  private:
    [[nodiscard]] bool begin();
    [[nodiscard]] bool run_case();
    void note_sent();
    /// Measures the cost without edits, while nothing is polled.
    void measure_quiet();
    [[nodiscard]] std::map<std::string, process_usage> usages();
    [[nodiscard]] nlohmann::json describe_usage(
        bool agent, const std::map<std::string, process_usage>& before,
        const std::map<std::string, process_usage>& after, double spent) const;

    void run_steady();
    void run_platform_down();
    void run_platform_slow();
    void run_answers_lost();
    void run_racing();
    void run_replaced();
    void run_cut_off();
    void run_frozen_entry();

    /// Makes `count` edits through the entries in turn.
    void make_edits(int count, const std::set<std::string>& unreachable = {});
    void make_edit(const std::set<std::string>& unreachable);
    /// Submits until the outcome is known; returns true if it was accepted.
    bool submit(std::size_t entry, const rollout_document& document,
                const std::string& operation_id,
                const std::set<std::string>& unreachable);
    void race(std::size_t entry, int first);
    void note_accepted(const nlohmann::json& body,
                       const std::string& operation_id,
                       const std::set<std::string>& unreachable);
    [[nodiscard]] rollout_document newest(std::size_t entry,
                                          revision at_least) const;
    [[nodiscard]] http_answer call_entry(std::size_t entry,
                                         const std::string& path) const;
    [[nodiscard]] http_headers operator_headers() const;
    /// Returns the highest accepted revision once the first one is.
    [[nodiscard]] revision last_accepted() const;
    [[nodiscard]] std::string entry_name(std::size_t entry) const;

    [[nodiscard]] std::vector<std::string>
    names_without(const std::set<std::string>& left_out) const;
    [[nodiscard]] double in_force_seconds();
    [[nodiscard]] std::size_t lost_accepted() const;
    [[nodiscard]] double control_bytes(std::uint64_t& largest) const;
    [[nodiscard]] nlohmann::json report();

    run_options run_;
    fleet system_;
    std::unique_ptr<revision_monitor> monitor_;
    mutable absl::Mutex mutex_;
    std::vector<accepted_edit> edits_;
    rollout_document document_;
    std::size_t next_entry_ = 0;
    int rejected_ = 0;
    int not_yet_known_ = 0;
    platform_counts counts_before_;
    std::map<std::string, std::uint64_t> sent_before_;
    instant begun_{};
    std::size_t not_in_force_ = 0; ///< Pairs of edit and process.
    nlohmann::json extra_ = nlohmann::json::object();
};

std::optional<nlohmann::json> control_run::measure() {
    if (!begin()) {
        std::cerr << system_.problem() << '\n';
        return std::nullopt;
    }
    if (!run_case()) {
        std::cerr << "no case " << run_.name << '\n';
        return std::nullopt;
    }
    return report();
}

bool control_run::begin() {
    if (!system_.start())
        return false;
    monitor_ = std::make_unique<revision_monitor>(system_, run_.poll);
    document_ = plain_rollout(system_);
    const instant begun = steady::now();
    if (!submit(0, document_, "control-first", {}) ||
        !monitor_->await(names_without({}), 1, begun, first_limit)) {
        std::cerr << "the first revision is not in force\n";
        return false;
    }
    std::this_thread::sleep_for(settle_time);
    measure_quiet();
    edits_.clear();
    counts_before_ = counts_of(system_);
    note_sent();
    begun_ = steady::now();
    return true;
}

void control_run::measure_quiet() {
    note_sent();
    begun_ = steady::now();
    monitor_->set_paused(true);
    std::this_thread::sleep_for(fresh_poll_time);
    const instant paused = steady::now();
    const double calls = counts_of(system_).calls;
    const auto before = usages();
    std::this_thread::sleep_for(quiet_time);
    const auto after = usages();
    const double spent = to_seconds(steady::now() - paused);
    extra_["quiet_platform_calls_per_second"] =
        (counts_of(system_).calls - calls) / spent;
    for (const bool agent : {false, true})
        extra_[agent ? "agents" : "entries"] =
            describe_usage(agent, before, after, spent);
    monitor_->set_paused(false);
    std::this_thread::sleep_for(run_.poll + fresh_poll_time);
    std::uint64_t largest = 0;
    extra_["quiet_bytes_per_second_per_node"] =
        std::round(control_bytes(largest));
}

std::map<std::string, process_usage> control_run::usages() {
    std::map<std::string, process_usage> out;
    for (const fleet_member& member : system_.members()) {
        const auto usage = usage_of(system_.process(member.name).pid());
        if (usage)
            out[member.name] = *usage;
    }
    return out;
}

/// Means and maxima over the entries or the agents.
nlohmann::json control_run::describe_usage(
    bool agent, const std::map<std::string, process_usage>& before,
    const std::map<std::string, process_usage>& after, double spent) const {
    double processor = 0;
    double most_processor = 0;
    double memory = 0;
    double count = 0;
    for (const fleet_member& member : system_.members()) {
        if (member.agent != agent || !before.contains(member.name) ||
            !after.contains(member.name))
            continue;
        const process_usage& last = after.at(member.name);
        const double percent =
            100 *
            to_seconds(last.processor - before.at(member.name).processor) /
            spent;
        processor += percent;
        most_processor = std::max(most_processor, percent);
        memory += static_cast<double>(last.resident_bytes) / bytes_per_megabyte;
        ++count;
    }
    return {{"count", count},
            {"cpu_percent", processor / count},
            {"cpu_percent_largest", most_processor},
            {"resident_megabytes", memory / count}};
}

void control_run::note_sent() {
    for (const fleet_member& member : system_.members())
        sent_before_[member.name] = monitor_->sent_bytes(member.name);
}

bool control_run::run_case() {
    const std::map<std::string, void (control_run::*)()> cases = {
        {"steady", &control_run::run_steady},
        {"platform-down", &control_run::run_platform_down},
        {"platform-slow", &control_run::run_platform_slow},
        {"answers-lost", &control_run::run_answers_lost},
        {"racing", &control_run::run_racing},
        {"replaced", &control_run::run_replaced},
        {"cut-off", &control_run::run_cut_off},
        {"frozen-entry", &control_run::run_frozen_entry}};
    const auto found = cases.find(run_.name);
    if (found == cases.end())
        return false;
    (this->*found->second)();
    return true;
}

void control_run::run_steady() {
    make_edits(steady_edits);
}

void control_run::run_platform_down() {
    for (int index = 0; index < fault_edits; ++index) {
        make_edit({});
        system_.set_faults("kv", {{"down", true}});
        std::ignore = in_force_seconds();
        std::this_thread::sleep_for(edit_interval);
        system_.set_faults("kv", {{"down", false}});
    }
}

void control_run::run_platform_slow() {
    system_.set_faults("kv", {{"delay_ms", slow_call_milliseconds}});
    extra_["delay_ms"] = slow_call_milliseconds;
    make_edits(fault_edits);
    std::ignore = in_force_seconds();
    system_.set_faults("kv", {{"delay_ms", 0}});
}

void control_run::run_answers_lost() {
    for (int index = 0; index < 2 * fault_edits; ++index) {
        system_.set_faults("kv", {{"lose_answers", 1 + index % 2}});
        make_edits(1);
    }
    system_.set_faults("kv", {{"lose_answers", 0}});
}

void control_run::run_racing() {
    std::vector<std::thread> operators;
    for (std::size_t entry = 0; entry < 2; ++entry)
        operators.emplace_back(
            [this, entry] { race(entry, static_cast<int>(entry)); });
    for (std::thread& each : operators)
        each.join();
}

void control_run::run_replaced() {
    make_edits(1);
    system_.set_faults("kv", {{"down", true}});
    std::this_thread::sleep_for(in_force_limit / 10);
    const accepted_edit edit = edits_.back();
    double slowest = 0;
    std::size_t without = 0;
    std::vector<std::pair<std::string, instant>> started;
    const auto& members = system_.members();
    for (std::size_t index = 0; index < members.size(); index += 3)
        system_.kill(members[index].name);
    for (std::size_t index = 0; index < members.size(); index += 3) {
        const bool ready = system_.replace(members[index].name);
        if (!ready)
            std::cerr << system_.problem() << '\n';
        started.emplace_back(members[index].name, steady::now());
    }
    for (const auto& [name, time] : started) {
        std::ignore =
            monitor_->await({name}, edit.number, time, in_force_limit);
        const auto seen = monitor_->seen(name, edit.number, time);
        if (seen)
            slowest = std::max(slowest, to_seconds(*seen - time));
        else
            ++without;
    }
    extra_["replaced"] = started.size();
    extra_["replaced_in_force_seconds"] = slowest;
    extra_["replaced_not_in_force"] = without;
    system_.set_faults("kv", {{"down", false}});
    std::this_thread::sleep_for(settle_time);
    make_edits(fault_edits);
}

void control_run::run_cut_off() {
    extra_["method"] =
        "every process of dc-3 is frozen (SIGSTOP) and thawed; no packets of "
        "the others are filtered";
    std::set<std::string> away;
    for (const fleet_member& member : system_.members()) {
        if (member.data_centre == "dc-3")
            away.insert(member.name);
    }
    for (const std::string& name : away)
        system_.freeze(name);
    const instant frozen = steady::now();
    make_edits(fault_edits, away);
    std::this_thread::sleep_until(frozen + cut_off_time);
    const instant thawed = steady::now();
    for (const std::string& name : away)
        system_.thaw(name);
    std::ignore = monitor_->await(names_without({}), last_accepted(), thawed,
                                  in_force_limit);
    extra_["cut_off"] = away.size();
    double slowest = 0;
    for (const std::string& name : away) {
        const auto seen = monitor_->seen(name, last_accepted(), thawed);
        slowest = std::max(slowest, seen ? to_seconds(*seen - thawed)
                                         : to_seconds(in_force_limit));
    }
    extra_["catch_up_seconds"] = slowest;
    std::this_thread::sleep_for(settle_time);
    make_edits(fault_edits);
}

void control_run::run_frozen_entry() {
    const std::string name = entry_name(0);
    extra_["method"] = "the entry is frozen (SIGSTOP) and thawed";
    extra_["freeze_seconds"] = run_.freeze.count();
    system_.freeze(name);
    const instant frozen = steady::now();
    make_edits(fault_edits, {name});
    std::this_thread::sleep_until(frozen + run_.freeze);
    const instant thawed = steady::now();
    system_.thaw(name);
    std::ignore =
        monitor_->await({name}, last_accepted(), thawed, in_force_limit);
    const auto seen = monitor_->seen(name, last_accepted(), thawed);
    extra_["catch_up_seconds"] =
        seen ? to_seconds(*seen - thawed) : to_seconds(in_force_limit);
    extra_["exited"] = !system_.process(name).running();
    std::this_thread::sleep_for(settle_time);
    make_edits(fault_edits);
}

void control_run::make_edits(int count,
                             const std::set<std::string>& unreachable) {
    for (int index = 0; index < count; ++index) {
        make_edit(unreachable);
        std::this_thread::sleep_for(edit_interval);
    }
}

void control_run::make_edit(const std::set<std::string>& unreachable) {
    std::size_t entry = next_entry_++ % entry_count;
    while (unreachable.contains(entry_name(entry)))
        entry = next_entry_++ % entry_count;
    rollout_document draft = document_;
    draft.based_on = last_accepted();
    ++organisation_of(draft, "branch-1").weight;
    const std::string id = fmt::format("control-{}", draft.based_on);
    if (submit(entry, draft, id, unreachable))
        document_ = draft;
}

bool control_run::submit(std::size_t entry, const rollout_document& document,
                         const std::string& operation_id,
                         const std::set<std::string>& unreachable) {
    const nlohmann::json body{
        {"operation_id", operation_id},
        {"document", nlohmann::json::parse(to_json_text(document))}};
    const instant limit = steady::now() + first_limit;
    while (steady::now() < limit) {
        const http_answer answer =
            post_json(system_.url(entry_name(entry)), "/admin/v1/rollout", body,
                      operator_headers(), in_force_limit);
        if (answer.status == 200) {
            note_accepted(answer.body, operation_id, unreachable);
            return true;
        }
        const absl::MutexLock lock(&mutex_);
        if (answer.status == 409 || answer.status == 422) {
            ++rejected_;
            return false;
        }
        if (answer.status == 202)
            ++not_yet_known_;
        std::this_thread::sleep_for(retry_interval);
    }
    return false;
}

void control_run::race(std::size_t entry, int first) {
    revision at_least = last_accepted();
    for (int index = first; index < raced_edits; index += 2) {
        rollout_document draft = newest(entry, at_least);
        const bool shared = index / 2 % shared_field_period == 0;
        const std::string field =
            shared ? "branch-9" : fmt::format("branch-{}", entry + 1);
        draft.based_on = draft.number;
        organisation_of(draft, field).weight =
            static_cast<std::uint32_t>(index + 2);
        const std::string id = fmt::format("race-{}", index);
        if (!submit(entry, draft, id, {})) {
            at_least = draft.number + 1;
            continue;
        }
        at_least = std::max(at_least, draft.number + 1);
    }
}

rollout_document control_run::newest(std::size_t entry,
                                     revision at_least) const {
    const instant limit = steady::now() + in_force_limit;
    rollout_document out;
    while (steady::now() < limit) {
        const http_answer answer = call_entry(entry, "/admin/v1/rollout");
        error ignored;
        const auto document =
            value_or_error([&] { return parse_rollout(answer.text); }, ignored);
        if (document)
            out = *document;
        if (document && document->number >= at_least)
            break;
        std::this_thread::sleep_for(retry_interval);
    }
    return out;
}

void control_run::note_accepted(const nlohmann::json& body,
                                const std::string& operation_id,
                                const std::set<std::string>& unreachable) {
    const absl::MutexLock lock(&mutex_);
    edits_.push_back({body.value("revision", revision{0}), operation_id,
                      steady::now(), unreachable});
}

http_answer control_run::call_entry(std::size_t entry,
                                    const std::string& path) const {
    return get_json(system_.url(entry_name(entry)), path, operator_headers());
}

http_headers control_run::operator_headers() const {
    return {{"Authorization",
             "Bearer " + system_.options().operators.front().token}};
}

revision control_run::last_accepted() const {
    const absl::MutexLock lock(&mutex_);
    revision highest = 1;
    for (const accepted_edit& edit : edits_)
        highest = std::max(highest, edit.number);
    return highest;
}

std::string control_run::entry_name(std::size_t entry) const {
    return fmt::format("entry-{}", entry + 1);
}

std::vector<std::string>
control_run::names_without(const std::set<std::string>& left_out) const {
    std::vector<std::string> names;
    for (const fleet_member& member : system_.members()) {
        if (!left_out.contains(member.name))
            names.push_back(member.name);
    }
    return names;
}

/// Waits until every edit is in force on the processes that were reachable;
/// returns the longest time that took.
double control_run::in_force_seconds() {
    double slowest = 0;
    not_in_force_ = 0;
    for (const accepted_edit& edit : edits_) {
        const auto names = names_without(edit.unreachable);
        std::ignore =
            monitor_->await(names, edit.number, begun_, in_force_limit);
        for (const std::string& name : names) {
            const auto seen = monitor_->seen(name, edit.number, begun_);
            if (seen)
                slowest = std::max(slowest, to_seconds(*seen - edit.time));
            else
                ++not_in_force_;
        }
    }
    return slowest;
}

/// Counts the accepted edits that are not in the history with their
/// operation, including breaks of the chain of revisions.
std::size_t control_run::lost_accepted() const {
    std::size_t lost = 0;
    for (const accepted_edit& edit : edits_) {
        const http_answer past = call_entry(
            1, fmt::format("/admin/v1/rollout/history/{}", edit.number));
        const http_answer current = call_entry(1, "/admin/v1/rollout");
        const auto is_it = [&](const http_answer& answer) {
            return answer.status == 200 &&
                   answer.body.value("revision", revision{0}) == edit.number &&
                   answer.body.value("operation_id", "") == edit.operation_id;
        };
        if (!is_it(past) && !is_it(current))
            ++lost;
    }
    return lost;
}

/// Returns the mean bytes a second of a node, and sets the largest.
double control_run::control_bytes(std::uint64_t& largest) const {
    const double spent = to_seconds(steady::now() - begun_);
    double total = 0;
    largest = 0;
    for (const auto& [name, before] : sent_before_) {
        const std::uint64_t sent = monitor_->sent_bytes(name) - before;
        const double rate = static_cast<double>(sent) / spent;
        largest = std::max(largest, static_cast<std::uint64_t>(rate));
        total += rate;
    }
    return total / static_cast<double>(sent_before_.size());
}

nlohmann::json control_run::report() {
    const double in_force = in_force_seconds();
    const platform_counts counts = counts_of(system_);
    const double spent = to_seconds(steady::now() - begun_);
    std::uint64_t largest = 0;
    const double bytes = control_bytes(largest);
    nlohmann::json line = extra_;
    line["case"] = run_.name;
    line["poll_ms"] = run_.poll.count();
    line["nodes"] = system_.members().size();
    line["seconds"] = spent;
    line["accepted"] = edits_.size();
    line["rejected"] = rejected_;
    line["not_yet_known"] = not_yet_known_;
    line["in_force_seconds"] = in_force;
    line["not_in_force"] = not_in_force_;
    line["document_bytes"] = to_json_text(document_).size();
    line["reverted"] = monitor_->reverted();
    line["lost_accepted"] = lost_accepted();
    line["platform_calls_per_second"] =
        (counts.calls - counts_before_.calls) / spent;
    line["open_watches"] = counts.open_watches;
    line["control_bytes_per_second_per_node"] = std::round(bytes);
    line["control_bytes_per_second_largest"] = largest;
    return line;
}

/// Names the figures of a line that miss their bar.
std::vector<std::string> failures_of(const nlohmann::json& line) {
    std::vector<std::string> out;
    for (const char* name : {"reverted", "lost_accepted", "not_in_force",
                             "replaced_not_in_force"}) {
        if (line.value(name, 0) != 0)
            out.emplace_back(name);
    }
    if (line["accepted"] == 0)
        out.emplace_back("accepted");
    if (line["in_force_seconds"] > most_in_force_seconds)
        out.emplace_back("in_force_seconds");
    if (line.value("replaced_in_force_seconds", 0.0) > most_in_force_seconds)
        out.emplace_back("replaced_in_force_seconds");
    if (line["control_bytes_per_second_largest"] > most_control_bytes)
        out.emplace_back("control_bytes_per_second_largest");
    return out;
}

int run_one(const run_options& run) {
    auto line = control_run(run).measure();
    if (!line)
        return 1;
    const auto failures = failures_of(*line);
    (*line)["failed"] = failures;
    std::cout << line->dump() << std::endl;
    return failures.empty() ? 0 : 1;
}

const std::vector<std::string> all_cases = {
    "steady", "platform-down", "platform-slow", "answers-lost",
    "racing", "replaced",      "cut-off",       "frozen-entry"};

int run_all(run_options run, const std::string& only) {
    int status = 0;
    for (const std::string& name : all_cases) {
        if (!only.empty() && name != only)
            continue;
        run.name = name;
        status |= run_one(run);
    }
    return status;
}

int run_scale(run_options run) {
    int status = 0;
    for (const scale_step& step : scale_steps) {
        run.name = "steady";
        run.nodes = step.nodes;
        run.poll = step.poll;
        status |= run_one(run);
    }
    return status;
}

} // namespace

void add_control(CLI::App& app, int& status) {
    struct options {
        run_options run;
        std::string only;
        int freeze_seconds = 60;
        bool scale = false;
    };
    auto* command = app.add_subcommand(
        "control", "Accepted edits under faults in separate processes");
    auto chosen = std::make_shared<options>();
    command->add_option("--case", chosen->only, "One case instead of all")
        ->check(CLI::IsMember(all_cases));
    command->add_option("--nodes", chosen->run.nodes, "Entries and agents");
    command->add_option("--freeze-seconds", chosen->freeze_seconds,
                        "Time for which frozen-entry freezes the entry");
    command->add_flag("--scale", chosen->scale,
                      "Run steady at 20, 60 and 180 nodes");
    command->callback([chosen, &status] {
        chosen->run.freeze = seconds(chosen->freeze_seconds);
        status = chosen->scale ? run_scale(chosen->run)
                               : run_all(chosen->run, chosen->only);
    });
}

} // namespace ospreystage::bench
