#include <tests/bench/path_costs.hpp>
#include <tests/support/http_json.hpp>
#include <tests/support/load.hpp>
#include <tests/support/operations.hpp>
#include <tests/support/serving_fleet.hpp>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

namespace ospreystage::bench {

namespace {

using namespace support;

constexpr milliseconds short_step{1}; ///< Engine steps blur less than 9 ms.
constexpr std::size_t latency_pairs = 300;
constexpr std::size_t entry_callers = 48;
constexpr seconds rest_time{5};
/// Fields of /proc/PID/stat after the command that precede `utime`.
constexpr int fields_before_times = 11;

fleet_options path_fleet() {
    fleet_options options;
    options.entries = 1;
    options.agents = 4;
    options.capacity = 16;
    options.engine_step = short_step;
    return options;
}

chat_call one_token() {
    chat_call call;
    call.service = engine_service_name;
    call.organisation = "head-office";
    call.prompt = "note";
    call.max_tokens = 1;
    call.stream = false;
    return call;
}

/// Time of one answer that the engine gives without the product.
microseconds call_directly(serving_fleet& running) {
    const nlohmann::json message = {{"role", "user"}, {"content", "note"}};
    const nlohmann::json body = {{"model", running.version().version},
                                 {"messages", nlohmann::json::array({message})},
                                 {"max_tokens", 1},
                                 {"stream", false}};
    const instant began = steady::now();
    const http_answer answer = post_json(running.system().url("backend-vm-1"),
                                         "/v1/chat/completions", body);
    if (answer.status != 200)
        throw std::runtime_error("the engine does not answer");
    return std::chrono::duration_cast<microseconds>(steady::now() - began);
}

nlohmann::json measure_latency(serving_fleet& running) {
    std::vector<microseconds> direct;
    std::vector<microseconds> through;
    for (std::size_t pair = 0; pair < latency_pairs; ++pair) {
        direct.push_back(call_directly(running));
        const call_outcome outcome = running.client().chat(one_token());
        if (outcome.result == call_result::served)
            through.push_back(outcome.total);
    }
    std::sort(direct.begin(), direct.end());
    std::sort(through.begin(), through.end());
    return {{"case", "path-latency"},
            {"pairs", latency_pairs},
            {"served", through.size()},
            {"engine_step_ms", short_step.count()},
            {"direct_p50_us", percentile(direct, 50).count()},
            {"direct_p99_us", percentile(direct, 99).count()},
            {"through_p50_us", percentile(through, 50).count()},
            {"through_p99_us", percentile(through, 99).count()},
            {"added_p50_us",
             (percentile(through, 50) - percentile(direct, 50)).count()},
            {"added_p99_us",
             (percentile(through, 99) - percentile(direct, 99)).count()}};
}

/// CPU time that a process has used so far.
milliseconds cpu_time(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 1));
    std::string skipped;
    for (int index = 0; index < fields_before_times; ++index)
        fields >> skipped;
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return milliseconds((user + system) * 1000 / sysconf(_SC_CLK_TCK));
}

/// Resident memory in KiB.
std::int64_t resident_kib(pid_t pid) {
    std::ifstream file("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stoll(line.substr(line.find_first_of("0123456789")));
    }
    return 0;
}

nlohmann::json measure_rate(serving_fleet& running,
                            const case_options& options) {
    load_options requests;
    requests.threads = entry_callers;
    requests.seed = options.seed;
    requests.non_idempotent_percent = 0;
    requests.max_tokens = 4;
    fleet& system = running.system();
    std::map<std::string, milliseconds> before;
    for (const fleet_member& member : system.members())
        before[member.name] = cpu_time(system.process(member.name).pid());
    load callers(running.system(), running.client(), requests);
    callers.start();
    std::this_thread::sleep_for(options.window);
    nlohmann::json line = to_json(callers.finish());
    line["case"] = "entry-rate";
    line["callers"] = entry_callers;
    line["seconds"] = options.window.count();
    line["requests_per_second"] = line["served"].get<double>() /
                                  static_cast<double>(options.window.count());
    milliseconds entry_time{};
    milliseconds agent_time{};
    for (const auto& [name, used] : before) {
        const milliseconds spent = cpu_time(system.process(name).pid()) - used;
        (name.starts_with("entry") ? entry_time : agent_time) += spent;
    }
    const double served = line["served"].get<double>();
    line["requests_per_entry_core_second"] =
        served / std::chrono::duration<double>(entry_time).count();
    line["requests_per_agent_core_second"] =
        served / std::chrono::duration<double>(agent_time).count();
    return line;
}

nlohmann::json measure_rest(serving_fleet& running) {
    fleet& system = running.system();
    std::map<std::string, milliseconds> before;
    for (const fleet_member& member : system.members())
        before[member.name] = cpu_time(system.process(member.name).pid());
    std::this_thread::sleep_for(rest_time);
    nlohmann::json processes = nlohmann::json::object();
    for (const auto& [name, used] : before) {
        const pid_t pid = system.process(name).pid();
        const milliseconds spent = cpu_time(pid) - used;
        processes[name] = {
            {"resident_kib", resident_kib(pid)},
            {"cpu_ms_per_second", static_cast<double>(spent.count()) /
                                      static_cast<double>(rest_time.count())}};
    }
    return {{"case", "at-rest"},
            {"seconds", rest_time.count()},
            {"processes", processes}};
}

} // namespace

void measure_path(const case_options& options) {
    serving_fleet running(path_fleet());
    std::cout << measure_rest(running).dump() << std::endl;
    std::cout << measure_latency(running).dump() << std::endl;
    std::cout << measure_rate(running, options).dump() << std::endl;
    nlohmann::json after = measure_rest(running);
    after["case"] = "at-rest-after-load";
    std::cout << after.dump() << std::endl;
}

} // namespace ospreystage::bench
