#include "common.hpp"

#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <vector>

namespace ospreystage::standin {

namespace {

/// List of VMs whose changes become visible after a lag.
class vm_list {
  public:
    explicit vm_list(std::chrono::milliseconds lag) : lag_(lag) {}

    void set(const std::string& vm, const std::string& state) {
        const absl::MutexLock lock(&mutex_);
        changes_.push_back({steady::now() + lag_, vm, state});
    }

    [[nodiscard]] json visible() {
        const absl::MutexLock lock(&mutex_);
        std::map<std::string, std::string> states;
        for (const change& next : changes_) {
            if (next.visible_at <= steady::now())
                states[next.vm] = next.state;
        }
        json list = json::array();
        for (const auto& [vm, state] : states) {
            if (state != "absent")
                list.push_back({{"vm", vm}, {"state", state}});
        }
        return list;
    }

  private:
    struct change {
        steady::time_point visible_at;
        std::string vm;
        std::string state;
    };

    std::chrono::milliseconds lag_;
    absl::Mutex mutex_;
    std::vector<change> changes_;
};

void set_vm(vm_list& list, const json& body, httplib::Response& answer) {
    const auto state = body.at("state").get<std::string>();
    if (state != "live" && state != "leaving" && state != "absent") {
        reply(answer, {{"error", "unknown state"}}, 400);
        return;
    }
    list.set(body.at("vm"), state);
    reply(answer, json::object());
}

int run_vms(const std::string& listen, std::chrono::milliseconds lag) {
    httplib::Server server;
    prepare(server);
    vm_list list(lag);
    on_get(server, "/vms", [&list] { return list.visible(); });
    on_post(server, "/control/vm",
            [&list](const json& body, httplib::Response& answer) {
                set_vm(list, body, answer);
            });
    return serve(server, listen);
}

} // namespace

void add_vms_command(CLI::App& app, int& status) {
    struct options {
        std::string listen;
        int lag_ms = 0;
    };
    auto* command = app.add_subcommand("vms", "List of VMs");
    auto chosen = std::make_shared<options>();
    add_listen_option(*command, chosen->listen);
    command->add_option("--lag-ms", chosen->lag_ms, "Delay of changes");
    command->callback([chosen, &status] {
        status =
            run_vms(chosen->listen, std::chrono::milliseconds(chosen->lag_ms));
    });
}

} // namespace ospreystage::standin
