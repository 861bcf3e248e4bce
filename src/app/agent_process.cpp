#include <ospreystage/app/commands.hpp>
#include <ospreystage/app/process.hpp>
#include <ospreystage/core/log.hpp>
#include <ospreystage/fleet/membership_service.hpp>
#include <ospreystage/requests/attempt_service.hpp>
#include <ospreystage/rollout/configuration.hpp>
#include <ospreystage/weights/distribution.hpp>
#include <ospreystage/weights/engine_service.hpp>

#include <algorithm>
#include <filesystem>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

namespace ospreystage {

namespace {

bool contains(const std::vector<std::string>& list, const std::string& item) {
    return std::find(list.begin(), list.end(), item) != list.end();
}

/// Returns the bytes from `read` as a response, or 404 with the error.
template <typename Read>
http_response bytes_response(const char* content_type, Read read) {
    error failure;
    auto bytes = value_or_error(read, failure);
    if (bytes)
        return text_response(content_type, std::move(*bytes));
    return json_response(404, {{"error", to_string(failure)}});
}

/// Creates the services of one agent and applies the rollout document's
/// requirements for this VM to them.
class agent {
  public:
    agent(process& self, const settings& values);

    void add_routes(api_server& server);
    void start();
    void stop();
    void drain();
    [[nodiscard]] bool is_idle() const;

  private:
    [[nodiscard]] bool has_engine() const;
    [[nodiscard]] std::vector<deployment> requested_deployments() const;
    void apply_document();
    void publish_served_versions(const std::vector<digest>& held);
    [[nodiscard]] engine_target target(const engine_state& state) const;
    void handle_engine_report(const engine_state& state,
                              std::vector<std::uint64_t> prefixes);

    process& self_;
    const settings& values_;
    membership_service& members_;
    configuration& configuration_;
    attempt_service& attempts_;
    distribution* distribution_ = nullptr;
    engine_service* engine_ = nullptr;
};

membership_service& add_membership(process& self, const settings& values) {
    kernel& core = self.core();
    return core.add("membership", std::make_unique<membership_service>(
                                      core, values, self.link_layer()));
}

configuration& add_configuration(process& self, const settings& values,
                                 membership_service& members) {
    kernel& core = self.core();
    return core.add("configuration",
                    std::make_unique<configuration>(
                        core, values, self.link_layer(), members));
}

agent::agent(process& self, const settings& values)
    : self_(self), values_(values), members_(add_membership(self, values)),
      configuration_(add_configuration(self, values, members_)),
      attempts_(self.core().add(
          "attempts", std::make_unique<attempt_service>(self.core(), values))) {
    attempts_.start();
    members_.on_superseded([this](const process_id& by) {
        self_.stop_now("replaced by " + to_string(by));
    });
    configuration_.on_in_force([this](const auto&) { apply_document(); });
    if (!has_engine())
        return;
    kernel& core = self.core();
    distribution_ =
        &core.add("distribution", std::make_unique<distribution>(core, values));
    distribution_->start();
    members_.on_change([this](const member&) {
        distribution_->set_members(members_.members());
    });
    engine_service::dependencies needs;
    needs.target = [this](const engine_state& state) { return target(state); };
    needs.observed = [this](const engine_state& state,
                            std::vector<std::uint64_t> prefixes) {
        handle_engine_report(state, std::move(prefixes));
    };
    needs.unreachable = [this] { publish_served_versions({}); };
    engine_ = &core.add(
        "engine", std::make_unique<engine_service>(
                      core, values, self.self().incarnation, std::move(needs)));
}

void agent::add_routes(api_server& server) {
    if (distribution_ == nullptr)
        return;
    server.route_blocking("GET", R"(/weights/([0-9a-f]{64})/manifest)",
                          [this](const api_request& request) {
                              return bytes_response("application/json", [&] {
                                  return distribution_->manifest_text(
                                      request.captures[0]);
                              });
                          });
    server.route_blocking(
        "GET", R"(/weights/([0-9a-f]{64})/chunks/(\d{1,9}))",
        [this](const api_request& request) {
            const auto index =
                static_cast<std::uint32_t>(std::stoul(request.captures[1]));
            return bytes_response("application/octet-stream", [&] {
                return distribution_->read_chunk(request.captures[0], index);
            });
        });
}

void agent::start() {
    if (engine_ != nullptr)
        engine_->start();
}

void agent::stop() {
    if (engine_ != nullptr)
        engine_->stop();
}

void agent::drain() {
    members_.set_leaving();
    attempts_.set_leaving();
}

bool agent::is_idle() const {
    return attempts_.idle();
}

bool agent::has_engine() const {
    return values_.backend_server.kind == "engine";
}

std::vector<deployment> agent::requested_deployments() const {
    std::vector<deployment> out;
    const auto document = configuration_.document();
    if (!document)
        return out;
    for (const deployment& item : document->deployments) {
        if (contains(item.vms, values_.process.vm))
            out.push_back(item);
    }
    std::stable_sort(out.begin(), out.end(),
                     [](const deployment& left, const deployment& right) {
                         return left.priority > right.priority;
                     });
    return out;
}

void agent::apply_document() {
    if (!has_engine()) {
        publish_served_versions({});
        return;
    }
    std::vector<requested_version> versions;
    for (const deployment& item : requested_deployments())
        versions.push_back({item.version, item.priority});
    distribution_->request_versions(versions);
}

void agent::publish_served_versions(const std::vector<digest>& held) {
    scheduled_service served;
    served.engine = has_engine();
    served.versions = held;
    const auto document = configuration_.document();
    if (document) {
        for (const service& item : document->services) {
            if (!contains(item.vms, values_.process.vm))
                continue;
            served.name = item.name;
            served.in_force = true;
        }
    }
    attempts_.set_service(std::move(served));
}

engine_target agent::target(const engine_state& state) const {
    engine_target out;
    for (const digest& version : state.held) {
        if (attempts_.is_version_in_use(version))
            out.in_use.insert(version);
    }
    for (const deployment& item : requested_deployments()) {
        out.requested.push_back(item.version);
        if (distribution_->complete(item.version))
            out.complete.insert(item.version);
    }
    return out;
}

void agent::handle_engine_report(const engine_state& state,
                                 std::vector<std::uint64_t> prefixes) {
    std::vector<digest> offered;
    bool all_held = true;
    for (const deployment& item : requested_deployments()) {
        if (state.held.contains(item.version))
            offered.push_back(item.version);
        else
            all_held = false;
    }
    // Continue to offer superseded versions until the engine holds every
    // requested version.
    if (!all_held)
        offered.assign(state.held.begin(), state.held.end());
    publish_served_versions(offered);
    back_end_load load;
    load.running = state.running;
    load.queued = state.queued;
    load.capacity = state.capacity;
    load.measured_at = steady::now() - state.age;
    load.prefixes = std::move(prefixes);
    attempts_.set_load(std::move(load));
}

/// Creates the chunk folder if one is configured; prints the error and returns
/// false on failure.
bool make_chunk_folder(const std::string& folder) {
    std::error_code problem;
    if (!folder.empty())
        std::filesystem::create_directories(folder, problem);
    if (problem)
        std::cerr << "distribution.chunk_folder " << folder << ": "
                  << problem.message() << '\n';
    return !problem;
}

} // namespace

exit_code run_agent(const settings& values) {
    if (!make_chunk_folder(values.distribution.chunk_folder))
        return exit_code::usage;
    process self(values);
    agent services(self, values);
    services.add_routes(self.http());
    self.core().post("attempts", [&services] { services.start(); });
    self.on_stop([&services] { services.drain(); },
                 [&services] { return services.is_idle(); });
    const exit_code code = self.run();
    services.stop();
    return code;
}

} // namespace ospreystage
