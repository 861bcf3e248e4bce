#include <tests/support/fleet.hpp>
#include <tests/support/free_ports.hpp>
#include <tests/support/http_json.hpp>
#include <tests/support/text_file.hpp>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <filesystem>
#include <stdexcept>
#include <utility>

namespace ospreystage::support {

namespace {

constexpr std::size_t platform_processes = 3;
constexpr std::size_t ports_per_entry = 2;
constexpr std::size_t ports_per_agent = 3;
constexpr std::size_t log_tail_bytes = 2000;
constexpr const char* loopback = "127.0.0.1";
constexpr const char* shared_backend = "backend-plain";

std::string to_url(const address& endpoint) {
    return "http://" + to_string(endpoint);
}

std::size_t port_count(const fleet_options& options) {
    return platform_processes + ports_per_entry * options.entries +
           ports_per_agent * (options.agents + options.plain_agents);
}

std::string milliseconds_text(milliseconds value) {
    return std::to_string(value.count());
}

std::string tail(const std::string& text) {
    return text.size() <= log_tail_bytes
               ? text
               : text.substr(text.size() - log_tail_bytes);
}

} // namespace

std::string product_binary() {
    return std::string(OSPREYSTAGE_BINARY_DIR) + "/ospreystage";
}

std::string standin_binary() {
    return std::string(OSPREYSTAGE_BINARY_DIR) + "/ospreystage_standin";
}

std::string make_run_folder() {
    static std::atomic<int> next{1};
    std::string folder = std::string(OSPREYSTAGE_BINARY_DIR) + "/run/" +
                         std::to_string(getpid()) + "-" +
                         std::to_string(next.fetch_add(1));
    std::filesystem::create_directories(folder);
    return folder;
}

fleet::fleet(fleet_options options) : options_(std::move(options)) {
    if (options_.run_folder.empty())
        options_.run_folder = make_run_folder();
    std::filesystem::create_directories(options_.run_folder);
    ports_ = free_ports(port_count(options_));
    if (ports_.size() < port_count(options_))
        throw std::runtime_error("not enough free ports");
    add_standin("kv", {"kv"});
    add_standin("vms",
                {"vms", "--lag-ms", milliseconds_text(options_.vm_list_lag)});
    add_standin("origin", {"origin", "--bytes-per-second",
                           std::to_string(options_.origin_bytes_per_second)});
    platform_ = {url("kv"), url("vms"), url("origin")};
    add_members();
}

bool fleet::start() {
    return start_standins() && start_members();
}

bool fleet::start_standins() {
    return start_all(standins_) && list_vms();
}

bool fleet::start_members() {
    std::vector<std::string> names;
    for (const fleet_member& member : members_) {
        const std::string file =
            options_.run_folder + "/" + member.name + ".toml";
        if (!write_text_file(file, settings_of(member))) {
            problem_ = "cannot write " + file;
            return false;
        }
        commands_[member.name] = {product_binary(),
                                  member.agent ? "agent" : "entry",
                                  "--settings", file};
        names.push_back(member.name);
    }
    return start_all(names);
}

std::vector<std::string> fleet::entry_urls() const {
    std::vector<std::string> found;
    for (const fleet_member& member : members_) {
        if (!member.agent)
            found.push_back(url(member.name));
    }
    return found;
}

std::vector<std::string> fleet::agent_names() const {
    std::vector<std::string> found;
    for (const fleet_member& member : members_) {
        if (member.agent)
            found.push_back(member.name);
    }
    return found;
}

const std::string& fleet::url(const std::string& name) const {
    return urls_.at(name);
}

child_process& fleet::process(const std::string& name) {
    return processes_.at(name);
}

std::string fleet::settings_of(const fleet_member& member) const {
    return settings_text(options_, member, witnesses_, platform_);
}

void fleet::kill(const std::string& name) {
    process(name).kill();
}

void fleet::terminate(const std::string& name) {
    process(name).terminate();
}

void fleet::freeze(const std::string& name) {
    process(name).freeze();
}

void fleet::thaw(const std::string& name) {
    process(name).thaw();
}

bool fleet::replace(const std::string& name) {
    processes_.erase(name);
    return launch(name) && await_ready(name);
}

bool fleet::replace_vm(const std::string& vm) {
    const std::string backend = "backend-" + vm;
    processes_.erase(vm);
    return replace(backend) && replace(vm);
}

bool fleet::set_faults(const std::string& name, const nlohmann::json& faults) {
    return post_json(url(name), "/control/faults", faults).status == 200;
}

bool fleet::set_vm(const std::string& vm, const std::string& state) {
    return post_json(url("vms"), "/control/vm", {{"vm", vm}, {"state", state}})
               .status == 200;
}

weights_version fleet::publish(const weights_spec& spec) {
    weights_version expected = describe(spec);
    const http_answer answer = post_json(url("origin"), "/control/publish",
                                         {{"name", spec.name},
                                          {"bytes", spec.bytes},
                                          {"chunk_bytes", spec.chunk_bytes},
                                          {"seed", spec.seed}});
    if (answer.status != 200 || answer.body["version"] != expected.version)
        throw std::runtime_error("origin failed to publish " + spec.name);
    return expected;
}

void fleet::add_standin(const std::string& name,
                        std::vector<std::string> arguments) {
    const address endpoint = next_address();
    arguments.insert(arguments.begin(), standin_binary());
    arguments.insert(arguments.end(), {"--listen", to_string(endpoint)});
    commands_[name] = std::move(arguments);
    urls_[name] = to_url(endpoint);
    standins_.push_back(name);
}

std::string fleet::backend_of(const fleet_member& member) const {
    const bool shared =
        options_.share_plain_backend && member.backend_kind == "plain";
    return shared ? shared_backend : "backend-" + member.name;
}

void fleet::add_backend(const fleet_member& member) {
    const std::string capacity = std::to_string(options_.capacity);
    if (member.backend_kind == "plain") {
        add_standin(backend_of(member), {"plain", "--work-ms",
                                         milliseconds_text(options_.plain_work),
                                         "--capacity", capacity});
        return;
    }
    std::vector<std::string> arguments = {
        "engine",
        "--capacity",
        capacity,
        "--step-ms",
        milliseconds_text(options_.engine_step),
        "--load-lag-ms",
        milliseconds_text(options_.load_lag)};
    if (options_.fencing)
        arguments.emplace_back("--fencing");
    add_standin("backend-" + member.name, arguments);
}

void fleet::add_members() {
    const std::size_t agents = options_.agents + options_.plain_agents;
    for (std::size_t index = 0; index < options_.entries + agents; ++index) {
        fleet_member member;
        member.agent = index >= options_.entries;
        const std::size_t number =
            member.agent ? index - options_.entries : index;
        member.name =
            (member.agent ? "vm-" : "entry-") + std::to_string(number + 1);
        member.data_centre =
            "dc-" + std::to_string(number % options_.data_centres + 1);
        member.http = next_address();
        member.peer = next_address();
        urls_[member.name] = to_url(member.http);
        if (!member.agent && witnesses_.size() < max_fleet_witnesses)
            witnesses_.push_back({member.name, member.peer});
        if (member.agent) {
            member.backend_kind = number < options_.agents ? "engine" : "plain";
            if (!urls_.contains(backend_of(member)))
                add_backend(member);
            member.backend_url = url(backend_of(member));
        }
        members_.push_back(std::move(member));
    }
}

address fleet::next_address() {
    const std::uint16_t port = ports_.back();
    ports_.pop_back();
    return {loopback, port};
}

bool fleet::launch(const std::string& name) {
    const std::string log_file = options_.run_folder + "/" + name + "." +
                                 std::to_string(++start_counts_[name]) + ".log";
    error failure;
    auto started = value_or_error(
        [&] { return child_process::start(commands_.at(name), log_file); },
        failure);
    if (!started) {
        problem_ = to_string(failure);
        return false;
    }
    processes_.insert_or_assign(name, std::move(*started));
    return true;
}

bool fleet::await_ready(const std::string& name) {
    child_process& started = process(name);
    if (started.await_line("ready", options_.start_timeout))
        return true;
    problem_ = name + " did not become ready: " + tail(started.log_text());
    return false;
}

bool fleet::start_all(const std::vector<std::string>& names) {
    return std::all_of(names.begin(), names.end(),
                       [this](const auto& name) { return launch(name); }) &&
           std::all_of(names.begin(), names.end(),
                       [this](const auto& name) { return await_ready(name); });
}

bool fleet::list_vms() {
    for (const fleet_member& member : members_) {
        if (!set_vm(member.name, "live")) {
            problem_ = "cannot add to the VM list: " + member.name;
            return false;
        }
    }
    return true;
}

} // namespace ospreystage::support
