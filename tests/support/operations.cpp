#include <fmt/format.h>
#include <httplib.h>
#include <tests/support/http_json.hpp>
#include <tests/support/operations.hpp>

#include <algorithm>
#include <thread>

namespace ospreystage::support {

namespace {

constexpr milliseconds poll_interval{20};
constexpr seconds submit_limit{20};
constexpr int small_organisations = 9;

http_headers operator_headers(const fleet& system) {
    return {{"Authorization",
             "Bearer " + system.options().operators.front().token}};
}

std::vector<std::string> vms_of_kind(const fleet& system,
                                     const std::string& kind) {
    std::vector<std::string> names;
    for (const fleet_member& member : system.members()) {
        if (member.agent && member.backend_kind == kind)
            names.push_back(member.name);
    }
    return names;
}

std::vector<organisation> ten_organisations() {
    std::vector<organisation> out{{"head-office", 4, 0, 0}};
    for (int index = 1; index <= small_organisations; ++index)
        out.push_back({fmt::format("branch-{}", index), 1, 0, 0});
    return out;
}

} // namespace

rollout_document basic_rollout(const fleet& system,
                               const std::vector<digest>& versions) {
    rollout_document out;
    const auto engines = vms_of_kind(system, "engine");
    const auto plain = vms_of_kind(system, "plain");
    out.services.push_back(
        {engine_service_name, service_kind::engine, engines, {}});
    if (!plain.empty())
        out.services.push_back({plain_service_name,
                                service_kind::plain,
                                plain,
                                {plain_non_idempotent_route}});
    for (std::size_t index = 0; index < versions.size(); ++index) {
        const bool last = index + 1 == versions.size();
        out.deployments.push_back({fmt::format("desk-llm-{}", index + 1),
                                   engine_service_name,
                                   "",
                                   versions[index],
                                   10,
                                   engines,
                                   {{"*", last ? 100U : 0U}}});
    }
    out.organisations = ten_organisations();
    out.classes = {{"counter", milliseconds(350), seconds(10), 20},
                   {"desk", seconds(1), seconds(30), 10}};
    return out;
}

nlohmann::json submit_rollout(fleet& system, const std::string& entry,
                              const rollout_document& document,
                              const std::string& operation_id) {
    const nlohmann::json body{
        {"operation_id", operation_id},
        {"document", nlohmann::json::parse(to_json_text(document))}};
    const instant limit = steady::now() + submit_limit;
    http_answer answer;
    do {
        answer =
            post_json(system.url(entry), "/admin/v1/rollout", body,
                      operator_headers(system),
                      std::chrono::duration_cast<milliseconds>(submit_limit));
        if (answer.status == 200 || answer.status == 409 ||
            answer.status == 422)
            break;
        std::this_thread::sleep_for(poll_interval);
    } while (steady::now() < limit);
    return answer.body;
}

std::size_t live_replicas(const fleet& system, const digest& version) {
    std::size_t count = 0;
    for (const fleet_member& member : system.members()) {
        if (member.backend_kind != "engine")
            continue;
        const http_answer state = get_json(member.backend_url, "/state");
        if (state.status != 200)
            continue;
        const auto& held = state.body["held"];
        if (std::find(held.begin(), held.end(), version) != held.end())
            ++count;
    }
    return count;
}

bool await_live(const fleet& system, const digest& version, std::size_t count,
                milliseconds timeout) {
    const instant limit = steady::now() + timeout;
    while (steady::now() < limit) {
        if (live_replicas(system, version) >= count)
            return true;
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

double origin_copies(const fleet& system, const digest& version) {
    const http_answer stats = get_json(system.url("origin"), "/control/stats");
    if (stats.status != 200 || !stats.body["versions"].contains(version))
        return 0;
    return stats.body["versions"][version]["copies"].get<double>();
}

nlohmann::json dump_of(const fleet& system, const std::string& name) {
    httplib::Client client(system.url(name));
    client.set_bearer_token_auth(system.options().token.c_str());
    const auto answer = client.Get("/admin/v1/dump");
    if (!answer || answer->status != 200)
        return nullptr;
    return nlohmann::json::parse(answer->body, nullptr, false);
}

} // namespace ospreystage::support
