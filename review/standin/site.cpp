#include "site.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <random>
#include <sstream>
#include <stdexcept>

namespace ospreystage::review {

namespace {

using nlohmann::json;

constexpr milliseconds ready_timeout{20'000};
constexpr milliseconds ready_interval{100};
/// Time between SIGTERM and SIGKILL, as in the settings (`bounds.grace_s`).
constexpr milliseconds grace_time{8000};
/// Time limit of a consumer's request, as on the users' sheets.
constexpr milliseconds consumer_timeout{1500};
constexpr int first_agent = 100;
constexpr int store_index = 250;
constexpr std::uint16_t min_port = 20'000;
constexpr std::uint16_t max_port = 30'000;

const instant process_start = steady::now();

std::string make_folder() {
    std::string path =
        (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("cannot make a temporary folder");
    return path;
}

bool can_bind(const std::string& ip, std::uint16_t port, int type) {
    const int descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in raw{};
    raw.sin_family = AF_INET;
    raw.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &raw.sin_addr);
    const bool is_free =
        bind(descriptor, reinterpret_cast<const sockaddr*>(&raw),
             sizeof(raw)) == 0;
    close(descriptor);
    return is_free;
}

/// Returns the first of `count` ports that are free on all addresses.
std::uint16_t find_ports(const std::vector<std::string>& ips, int count) {
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> draw(min_port, max_port);
    for (int attempt = 0; attempt < 1000; ++attempt) {
        const int first = draw(random);
        bool are_free = true;
        for (int port = first; port < first + count; ++port)
            for (const std::string& ip : ips)
                for (const int type : {SOCK_STREAM, SOCK_DGRAM})
                    are_free =
                        are_free &&
                        can_bind(ip, static_cast<std::uint16_t>(port), type);
        if (are_free)
            return static_cast<std::uint16_t>(first);
    }
    throw std::runtime_error("no free ports");
}

std::vector<std::string> split_words(const std::string& text) {
    std::istringstream input(text);
    std::vector<std::string> words;
    for (std::string word; input >> word;)
        words.push_back(word);
    return words;
}

std::string variable(const char* name) {
    const char* value = std::getenv(name);
    return std::string(name) + "=" + (value == nullptr ? "" : value);
}

} // namespace

// ---- record_file -----------------------------------------------------------

record_file::record_file(const std::string& path)
    : output_(path, std::ios::app) {}

milliseconds record_file::since_start(instant at) {
    return std::chrono::duration_cast<milliseconds>(at - process_start);
}

void record_file::write(const std::string& text) {
    const std::lock_guard lock(mutex_);
    std::array<char, 16> time{};
    std::snprintf(time.data(), time.size(), "%7lld ",
                  static_cast<long long>(since_start(steady::now()).count()));
    output_ << time.data() << text << std::endl;
}

// ---- system_process --------------------------------------------------------

system_process::system_process(const std::string& root,
                               const std::string& command,
                               const std::string& settings_file,
                               const std::string& output_file) {
    std::vector<std::string> words = split_words(command);
    std::vector<std::string> variables{
        variable("PATH"), variable("HOME"), variable("LANG"),
        "OSPREYSTAGE_NODE_FILE=" + settings_file};
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::vector<char*> environment;
    environment.reserve(variables.size() + 1);
    for (std::string& each : variables)
        environment.push_back(each.data());
    environment.push_back(nullptr);
    process_ = fork();
    if (process_ != 0)
        return;
    // The system ends with the stand-in, however that ends.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(output_file.c_str(),
                            O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    if (chdir(root.c_str()) == 0)
        execve(arguments[0], arguments.data(), environment.data());
    _exit(127);
}

system_process::~system_process() {
    if (process_ <= 0)
        return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
}

void system_process::stop(milliseconds grace) {
    constexpr milliseconds check_interval{20};
    const instant until = steady::now() + grace;
    kill(process_, SIGTERM);
    while (is_running() && steady::now() < until)
        std::this_thread::sleep_for(check_interval);
    if (process_ <= 0)
        return;
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    process_ = -1;
}

bool system_process::is_running() {
    if (process_ <= 0)
        return false;
    if (waitpid(process_, nullptr, WNOHANG) != process_)
        return true;
    process_ = -1;
    return false;
}

// ---- site ------------------------------------------------------------------

site::site(const site_options& options)
    : options_(options), folder_(make_folder()), network_(getpid()),
      record_(options.record_path), store_(ip(store_index)) {
    std::vector<std::string> ips;
    ips.reserve(static_cast<std::size_t>(options_.entries) +
                static_cast<std::size_t>(options_.agents));
    for (int entry = 0; entry < options_.entries; ++entry)
        ips.push_back(ip(1 + entry));
    for (int agent = 0; agent < options_.agents; ++agent)
        ips.push_back(ip(first_agent + 1 + agent));
    front_port_ = find_ports(ips, 6);
    ready_port_ = static_cast<std::uint16_t>(front_port_ + 1);
    directory_port_ = static_cast<std::uint16_t>(front_port_ + 2);
    internal_port_ = static_cast<std::uint16_t>(front_port_ + 3);
    app_port_ = static_cast<std::uint16_t>(front_port_ + 5);
}

site::~site() {
    entry_processes_.clear();
    agent_processes_.clear();
    const char* keeps = std::getenv("KEEP_LOGS");
    std::error_code ignored;
    if (keeps == nullptr)
        std::filesystem::remove_all(folder_, ignored);
    else
        std::fprintf(stderr, "logs: %s\n", folder_.c_str());
}

std::string site::ip(int index) const {
    constexpr int octet = 250;
    return "127." + std::to_string(1 + network_ / octet % octet) + "." +
           std::to_string(1 + network_ % octet) + "." + std::to_string(index);
}

endpoint site::front(int entry) const {
    return {ip(1 + entry), front_port_};
}

endpoint site::app(int agent) const {
    return {ip(first_agent + 1 + agent), app_port_};
}

/// Returns the `run` line of a role in the deploy file.
std::string site::command_of(const std::string& role) const {
    std::ifstream input(options_.root + "/deploy/system.toml");
    bool is_in_role = false;
    for (std::string line; std::getline(input, line);) {
        if (line.starts_with("["))
            is_in_role = line == "[roles." + role + "]";
        if (!is_in_role || !line.starts_with("run = \""))
            continue;
        const std::size_t first = line.find('"') + 1;
        return line.substr(first, line.rfind('"') - first);
    }
    throw std::runtime_error("no command of role " + role);
}

std::string site::common_settings(const endpoint& store) const {
    const std::string ports = std::to_string(internal_port_);
    return "zone=kol-hall-a\n"
           "region=kolkata\n"
           "zones.kol-hall-a=kolkata\n"
           "internal_ports=" +
           ports + "," + std::to_string(internal_port_ + 1) +
           "\n"
           "bootstrap=true\n"
           "limits.cpu_share=0.25\n"
           "limits.cores=1\n"
           "limits.memory_mb=260\n"
           "limits.max_fds=4100\n"
           "limits.link_mbps=1000.0\n"
           "limits.disk_mb=0\n"
           "discovery=platform\n"
           "entry=directory\n"
           "heartbeat_ms=1200\n"
           "bounds.seed_lag_s=3\n"
           "bounds.reuse_after_s=2\n"
           "bounds.contact_ms=3000\n"
           "bounds.ack_ms=4000\n"
           "bounds.catch_up_s=4\n"
           "bounds.drain_ms=2000\n"
           "bounds.grace_s=8\n"
           "bounds.loss_slack_ms=200\n"
           "bounds.config_apply_ms=2000\n"
           "bounds.rollback_slack_ms=250\n"
           "bounds.outer_ms=5000\n"
           "bounds.strict_revoke=false\n"
           "bounds.revoke_ms=5000\n"
           "bounds.retry_budget_ratio=0.2\n"
           "bounds.budget_window_s=10\n"
           "bounds.budget_slack=104\n"
           "bounds.recovery_s=12\n"
           "bounds.pass_ms=120\n"
           "bounds.retry_after_s=0\n"
           "bounds.version_ms=8000\n"
           "bounds.version_all_ms=0\n"
           "bounds.ttl_max_s=5\n"
           "platform.address=" +
           to_string(store) +
           "\n"
           "platform.form=kv\n"
           "platform.writes_per_s=400\n"
           "platform.reads_per_s=2000\n"
           "platform.history_s=20\n"
           "platform.value_bytes=1048576\n"
           "platform.ttl_min_ms=1000\n";
}

std::string site::entry_settings(int entry, const endpoint& store) const {
    const std::string own = ip(1 + entry);
    return "node=edge-kol-hall-a-" + std::to_string(1 + entry) +
           "\nrole=entry\nmachine_class=edge\nserves=edge,directory\nip=" +
           own + "\nlisten.front=" + own + ":" + std::to_string(front_port_) +
           "\nlisten.ready=" + own + ":" + std::to_string(ready_port_) +
           "\nlisten.directory=" + own + ":" + std::to_string(directory_port_) +
           "\n" + common_settings(store);
}

std::string site::agent_settings(int agent, const endpoint& store) const {
    return "node=side-kol-hall-a-" + std::to_string(1 + agent) +
           "\nrole=agent\nmachine_class=side\nserves=side\nip=" +
           app(agent).ip + "\napp=" + to_string(app(agent)) +
           "\nservice=" + options_.model_service + "\n" +
           common_settings(store);
}

std::unique_ptr<system_process>
site::start_process(const std::string& role, const std::string& name,
                    const std::string& settings) {
    const std::string file = folder_ + "/" + name + ".conf";
    std::ofstream(file) << settings;
    return std::make_unique<system_process>(
        options_.root, command_of(role), file, folder_ + "/" + name + ".log");
}

void site::start(const endpoint& store_address) {
    for (int agent = 0; agent < options_.agents; ++agent)
        agent_processes_.push_back(
            start_process("agent", "agent-" + std::to_string(1 + agent),
                          agent_settings(agent, store_address)));
    for (int entry = 0; entry < options_.entries; ++entry)
        entry_processes_.push_back(
            start_process("entry", "entry-" + std::to_string(1 + entry),
                          entry_settings(entry, store_address)));
}

void site::restart_entry(int entry, const endpoint& store_address) {
    auto& process = entry_processes_.at(static_cast<std::size_t>(entry));
    const std::string name = "entry-" + std::to_string(1 + entry);
    record_.write("platform: SIGTERM to " + name);
    process->stop(grace_time);
    record_.write("platform: " + name + " has ended and is started again");
    process =
        start_process("entry", name, entry_settings(entry, store_address));
}

bool site::await_ready() {
    const instant until = steady::now() + ready_timeout;
    int ready = 0;
    while (ready < options_.entries && steady::now() < until) {
        http_request request;
        request.target = "/v1/readyz";
        const endpoint address{front(ready).ip, ready_port_};
        if (call(address, request, ready_interval).status == 200)
            ++ready;
        else
            std::this_thread::sleep_for(ready_interval);
    }
    return ready == options_.entries;
}

bool site::are_all_running() {
    const auto is_running = [](const auto& each) { return each->is_running(); };
    return std::all_of(entry_processes_.begin(), entry_processes_.end(),
                       is_running) &&
           std::all_of(agent_processes_.begin(), agent_processes_.end(),
                       is_running);
}

instant site::put_config(const json& config) {
    constexpr milliseconds retry_interval{20};
    std::optional<std::int64_t> revision;
    while (!(revision = store_.put("op/config", config.dump())))
        std::this_thread::sleep_for(retry_interval);
    const instant acknowledged = steady::now();
    record_.write("operator: desired state " + config.at("version").dump() +
                  " acknowledged at revision " + std::to_string(*revision));
    return acknowledged;
}

// ---- Desired states --------------------------------------------------------

json make_route(const std::string& name, const std::string& prefix,
                const std::string& kind, const std::string& service) {
    return {
        {"name", name},    {"hostname", host_name}, {"path_prefix", prefix},
        {"kind", kind},    {"timeout_ms", 800},     {"target_latency_ms", 100},
        {"priority", 2},   {"service", service},    {"max_attempts", 2},
        {"public", false}, {"sticky", false},       {"stream_resume", false}};
}

json make_config(std::uint64_t version) {
    return {{"version", version},
            {"routes", json::array()},
            {"services", json::array()},
            {"limits",
             {{"max_header_bytes", 16384},
              {"max_body_bytes", 4194304},
              {"header_timeout_ms", 3000},
              {"idle_timeout_ms", 15000}}}};
}

// ---- Consumers -------------------------------------------------------------

consumer_call consume(site& target, int entry, http_request request) {
    static std::atomic<std::uint64_t> next{0x9c41d07be2a30000};
    std::array<char, 20> id{};
    std::snprintf(id.data(), id.size(), "%016llx",
                  static_cast<unsigned long long>(next++));
    request.fields.emplace_back("Host", host_name);
    request.fields.emplace_back("X-Request-Id", id.data());
    if (!find_field(request.fields, "X-Request-Deadline"))
        request.fields.emplace_back("X-Request-Deadline",
                                    std::to_string(consumer_timeout.count()));
    consumer_call result{id.data(), steady::now(), {}};
    const std::string sent = "consumer: " + result.id + " " + request.method +
                             " " + request.target + " key " +
                             request.field("Api-Key") + " to entry " +
                             std::to_string(1 + entry);
    target.record().write(sent + ", sent");
    result.response = call(target.front(entry), request, consumer_timeout);
    const bool is_worker =
        find_field(result.response.fields, "X-Server-Stamp").has_value();
    std::string body = is_worker ? "" : result.response.body;
    std::replace(body.begin(), body.end(), '\n', ' ');
    target.record().write("consumer: " + result.id + " answered " +
                          std::to_string(result.response.status) +
                          (is_worker ? " by a worker" : " by the entry: ") +
                          body);
    return result;
}

void sleep_until(instant at) {
    std::this_thread::sleep_until(at);
}

} // namespace ospreystage::review
