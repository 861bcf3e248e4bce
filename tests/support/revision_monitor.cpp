#include <httplib.h>
#include <tests/support/revision_monitor.hpp>

#include <algorithm>

namespace ospreystage::support {

namespace {

constexpr milliseconds call_timeout{1000};
constexpr milliseconds await_interval{10};

} // namespace

revision_monitor::revision_monitor(const fleet& system, milliseconds interval) {
    for (const fleet_member& member : system.members())
        records_[member.name] = {};
    for (const fleet_member& member : system.members())
        threads_.emplace_back([this, name = member.name,
                               url = system.url(member.name),
                               token = system.options().token,
                               interval] { poll(name, url, token, interval); });
}

revision_monitor::~revision_monitor() {
    stopping_ = true;
    for (std::thread& each : threads_)
        each.join();
}

std::optional<instant> revision_monitor::seen(const std::string& name,
                                              revision number,
                                              instant after) const {
    const absl::MutexLock lock(&mutex_);
    for (const observation& item : records_.at(name).observations) {
        if (item.time >= after && item.in_force >= number)
            return item.time;
    }
    return std::nullopt;
}

bool revision_monitor::await(const std::vector<std::string>& names,
                             revision number, instant after,
                             milliseconds timeout) const {
    const instant deadline = steady::now() + timeout;
    const auto is_seen = [&](const std::string& name) {
        return seen(name, number, after).has_value();
    };
    while (!std::all_of(names.begin(), names.end(), is_seen)) {
        if (steady::now() >= deadline)
            return false;
        std::this_thread::sleep_for(await_interval);
    }
    return true;
}

std::uint64_t revision_monitor::reverted() const {
    const absl::MutexLock lock(&mutex_);
    std::uint64_t total = 0;
    for (const auto& [name, known] : records_)
        total += known.reverted;
    return total;
}

std::uint64_t revision_monitor::sent_bytes(const std::string& name) const {
    const absl::MutexLock lock(&mutex_);
    return records_.at(name).sent;
}

void revision_monitor::poll(const std::string& name, const std::string& url,
                            const std::string& token, milliseconds interval) {
    httplib::Client client(url);
    client.set_keep_alive(true);
    client.set_connection_timeout(call_timeout);
    client.set_read_timeout(call_timeout);
    client.set_bearer_token_auth(token.c_str());
    while (!stopping_) {
        if (paused_) {
            std::this_thread::sleep_for(await_interval);
            continue;
        }
        const auto answer = client.Get("/admin/v1/dump");
        if (answer && answer->status == 200) {
            const auto dump =
                nlohmann::json::parse(answer->body, nullptr, false);
            const absl::MutexLock lock(&mutex_);
            if (dump.is_object())
                add_observation(records_.at(name), dump, steady::now());
        }
        std::this_thread::sleep_for(interval);
    }
}

void revision_monitor::add_observation(record& known,
                                       const nlohmann::json& dump,
                                       instant time) {
    const auto& services = dump.value("services", nlohmann::json::object());
    if (!services.contains("configuration") || !services.contains("network"))
        return;
    const revision in_force =
        services["configuration"]["state"].value("in_force", revision{0});
    const std::uint64_t sent =
        services["network"]["state"].value("sent_bytes", std::uint64_t{0});
    const std::string process = dump.value("process", "");
    if (process == known.process)
        known.sent += sent - known.last_sent;
    known.process = process;
    known.last_sent = sent;
    if (in_force != 0 && in_force < known.highest)
        ++known.reverted;
    known.highest = std::max(known.highest, in_force);
    known.observations.push_back({time, in_force});
}

} // namespace ospreystage::support
