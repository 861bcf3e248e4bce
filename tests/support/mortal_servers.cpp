#include "tests/support/mortal_servers.hpp"

#include <utility>
#include <vector>

namespace ospreystage::testing {

namespace {

constexpr milliseconds check_interval{1};
constexpr milliseconds recovery_time{80};

} // namespace

mortal_servers::mortal_servers(gateway_fixture& fixture, int count,
                               crash_predicate is_fatal, scripted_answer sound,
                               std::uint64_t version)
    : fixture_(fixture), is_fatal_(std::move(is_fatal)),
      sound_(std::move(sound)), version_(version) {
    for (int index = 0; index < count; ++index)
        lives_.push_back(start());
    list();
    fixture_.core.every("test", check_interval, [this] { check(); });
}

mortal_servers::~mortal_servers() = default;

mortal_servers::life mortal_servers::start() {
    life result;
    result.is_ending = std::make_shared<std::atomic<bool>>(false);
    result.server = std::make_unique<scripted_server>(
        [this, is_ending = result.is_ending](const std::string& request) {
            if (!is_fatal_(request))
                return sound_;
            ++crashes_;
            *is_ending = true;
            return scripted_answer{"", true};
        });
    result.endpoint = result.server->endpoint();
    return result;
}

void mortal_servers::check() {
    const instant now = steady::now();
    bool is_changed = false;
    for (life& item : lives_) {
        if (item.server && *item.is_ending) {
            item.server.reset();
            item.ended_at = steady::now();
        } else if (!item.server && now - item.ended_at >= recovery_time) {
            item = start();
            is_changed = true;
        }
    }
    if (is_changed)
        list();
}

void mortal_servers::list() {
    std::vector<std::pair<address, std::uint64_t>> listed;
    listed.reserve(lives_.size());
    for (const life& item : lives_)
        listed.emplace_back(item.endpoint, version_);
    fixture_.add_engines(listed);
}

} // namespace ospreystage::testing
