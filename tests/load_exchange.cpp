#include <ospreystage/serving/load_exchange.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace ospreystage;

namespace {

const instant now{seconds(1000)};
const address engine{"10.0.0.1", 8284};

/// Entries of two regions, each with its own view of one engine.
class site {
  public:
    explicit site(int entries_per_region, int engines = 1) {
        for (const char* region : {"north", "south"})
            for (int number = 0; number < entries_per_region; ++number) {
                const std::string name = fmt::format("{}-{}", region, number);
                entries_[name] = {name, {name, 8000}, region};
            }
        duties_.set_entries(entries_);
        std::vector<backend_server> listed;
        for (int number = 1; number <= engines; ++number) {
            backend_server server;
            server.id = fmt::format("i-{}", number);
            server.endpoint = {fmt::format("10.0.0.{}", number), engine.port};
            listed.push_back(server);
        }
        servers_.on_list(std::move(listed), now);
        for (const auto& [name, entry] : entries_) {
            loads_.try_emplace(name, backend_load::options{}, 1);
            exchanges_.try_emplace(name, name, entry.region, duties_, servers_,
                                   loads_.at(name));
        }
    }

    [[nodiscard]] const backend_server& server() const {
        return *servers_.find("i-1");
    }
    [[nodiscard]] load_exchange& at(const std::string& name) {
        return exchanges_.at(name);
    }
    [[nodiscard]] const backend_load& load_of(const std::string& name) const {
        return loads_.at(name);
    }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// Delivers a datagram; returns the number of its receivers.
    std::size_t deliver(const load_exchange::outgoing& datagram) {
        for (const site_entry* entry : datagram.receivers) {
            load_exchange& receiver = at(entry->name);
            if (const auto* notice =
                    std::get_if<attempt_notice>(&datagram.value))
                receiver.on_notice(*notice, now);
            else if (const auto* conditions =
                         std::get_if<condition_digest>(&datagram.value))
                receiver.on_conditions(*conditions, now);
            else
                receiver.on_digest(std::get<load_digest>(datagram.value), now);
        }
        return datagram.receivers.size();
    }

    /// Delivers the digests of all entries; returns how many there were.
    std::size_t deliver_digests() {
        std::size_t count = 0;
        for (auto& [name, exchange] : exchanges_)
            if (const auto digest = exchange.take_digest()) {
                ++count;
                deliver(*digest);
            }
        return count;
    }

    [[nodiscard]] std::set<std::string>
    dealing_with_engine(const std::string& host = engine.host) const {
        std::set<std::string> names;
        for (const auto& [name, exchange] : exchanges_)
            if (exchange.deals_with(host))
                names.insert(name);
        return names;
    }
    /// Returns the entries of a region that deal with the engine, best first.
    [[nodiscard]] const std::vector<const site_entry*>&
    responsible(const std::string& region) const {
        return duties_.responsible(region, engine.host);
    }
    /// Delivers an agent's report to the entries that deal with its engine.
    void report(const engine_report& sent) {
        for (const std::string& name : dealing_with_engine(sent.engine.host))
            at(name).on_report(sent, now);
    }
    [[nodiscard]] bool knows_all_engines() const {
        const auto servers = servers_.all();
        return std::all_of(loads_.begin(), loads_.end(), [&](const auto& load) {
            return std::all_of(
                servers.begin(), servers.end(),
                [&](const backend_server* server) {
                    return load.second.status(server->id, now).has_value();
                });
        });
    }
    /// Returns the entries that know a report of the engine.
    [[nodiscard]] std::size_t with_report() const {
        return count([](const backend_load& load) {
            return load.status("i-1", now).has_value();
        });
    }
    /// Delivers an agent's condition, and then the digests with it.
    void report(const server_condition& sent) {
        for (const std::string& name : dealing_with_engine(sent.server.host))
            at(name).on_condition(sent, now);
        for (auto& [name, exchange] : exchanges_)
            while (const auto digest = exchange.take_conditions()) {
                ++condition_digests;
                deliver(*digest);
            }
    }
    /// Returns the entries that take the engine for slower by `factor`.
    [[nodiscard]] std::size_t with_pace(double factor) const {
        return count([&](const backend_load& load) {
            return load.pace().estimate(server().start(), now).factor == factor;
        });
    }
    std::size_t condition_digests = 0;

    /// Returns the entries that expect the engine to prefill for `time`.
    [[nodiscard]] std::size_t with_backlog(milliseconds time) const {
        return count([&](const backend_load& load) {
            return load.backlog("i-1", now) == time;
        });
    }

  private:
    template <typename Condition>
    [[nodiscard]] std::size_t count(Condition condition) const {
        std::size_t result = 0;
        for (const auto& [name, load] : loads_)
            if (condition(load))
                ++result;
        return result;
    }

    std::map<std::string, site_entry> entries_;
    entry_duties duties_;
    backend_registry servers_;
    std::map<std::string, backend_load> loads_;
    std::map<std::string, load_exchange> exchanges_;
};

} // namespace

TEST_CASE("load exchange - a report to a few entries reaches all of them") {
    site entries(8);
    const auto dealing = entries.dealing_with_engine();
    CHECK(dealing.size() == 2 * entry_duties::entries_per_vm);
    entries.report({engine, 3, 1, 2, false});
    CHECK(entries.with_report() == dealing.size());
    entries.deliver_digests();
    CHECK(entries.with_report() == entries.size());
    CHECK(entries.deliver_digests() == 0);
}

TEST_CASE("load exchange - once an entry passes reports on, the others that "
          "deal with the engine do not") {
    site entries(8);
    entries.report({engine, 3, 1, 2, false});
    entries.deliver_digests();
    entries.report({engine, 4, 1, 2, false});
    CHECK(entries.deliver_digests() == 2); // One a region.
    CHECK(entries.with_report() == entries.size());
}

TEST_CASE("load exchange - an entry stands in for the first one if that passes "
          "no reports on") {
    site entries(8);
    const auto& order = entries.responsible("north");
    load_exchange& second = entries.at(order[1]->name);
    load_exchange& third = entries.at(order[2]->name);
    second.on_digest({{{engine, 1, 0, 2, false}}, {}}, now);
    third.on_digest({{{engine, 1, 0, 2, false}}, {}}, now);
    const engine_report report{engine, 2, 0, 2, false};
    second.on_report(report, now + milliseconds(250));
    CHECK_FALSE(second.take_digest());
    second.on_report(report, now + milliseconds(350));
    third.on_report(report, now + milliseconds(350));
    CHECK(second.take_digest());
    CHECK_FALSE(third.take_digest());
    third.on_report(report, now + milliseconds(650));
    CHECK(third.take_digest());
}

TEST_CASE("load exchange - the digests of a region grow with its entries, not "
          "with their square") {
    constexpr int engines = 120;
    for (const int entries_per_region : {15, 30, 100}) {
        site entries(entries_per_region, engines);
        // The second round: entries know by then who passes reports on.
        for (int round = 0; round < 2; ++round) {
            for (int number = 1; number <= engines; ++number)
                entries.report({{fmt::format("10.0.0.{}", number), engine.port},
                                3,
                                1,
                                2,
                                false});
            const std::size_t senders = entries.deliver_digests();
            CHECK(senders <= 2 * entry_duties::relays_per_region);
        }
        CHECK(entries.knows_all_engines());
    }
}

TEST_CASE("load exchange - a notice reaches all other entries once") {
    const int entries_per_region = GENERATE(8, 12, 30);
    site entries(entries_per_region);
    constexpr milliseconds prefill_time{40};
    std::size_t receivers = 0;
    for (const auto& notice :
         entries.at("north-0").on_attempt(entries.server(), prefill_time, now))
        receivers += entries.deliver(notice);
    // Directly in a small region, and through relays in a large one.
    const std::size_t others = entries.size() / 2 - 1;
    CHECK(receivers <=
          std::min<std::size_t>(others, 15) + entry_duties::entries_per_vm);
    entries.deliver_digests();
    CHECK(entries.with_backlog(milliseconds(0)) == 1);
    CHECK(entries.with_backlog(prefill_time) == entries.size() - 1);
}

TEST_CASE("load exchange - an entry's own notices that come back do not hide "
          "those of others") {
    site entries(30);
    constexpr milliseconds prefill_time{40};
    std::string sender;
    for (int number = 0; sender.empty(); ++number) {
        const std::string name = fmt::format("north-{}", number);
        if (!entries.at(name).deals_with(engine.host))
            sender = name;
    }
    const auto own =
        entries.at(sender).on_attempt(entries.server(), prefill_time, now);
    REQUIRE(own.size() == 1);
    const auto notice = std::get<attempt_notice>(own.front().value);
    // The same engine and prefill time twice, once from another entry.
    entries.at(sender).on_digest({{}, {notice, notice}}, now);
    CHECK(entries.load_of(sender).backlog("i-1", now) == prefill_time);
}

TEST_CASE("load exchange - a digest does not replace a newer report") {
    site entries(8);
    const auto dealing = entries.dealing_with_engine();
    const std::string first = *dealing.begin();
    const std::string second = *std::next(dealing.begin());
    entries.at(first).on_report({engine, 9, 0, 2, false}, now);
    entries.at(second).on_report({engine, 9, 0, 2, false}, now);
    const auto digest = entries.at(first).take_digest();
    entries.at(second).on_report({engine, 4, 0, 2, false}, now);
    REQUIRE(digest);
    entries.deliver(*digest);
    CHECK(entries.load_of(second).status("i-1", now)->running == 4);
}

TEST_CASE("load exchange - regions of up to three entries need no digests") {
    site entries(3);
    constexpr milliseconds prefill_time{40};
    for (const auto& notice :
         entries.at("south-1").on_attempt(entries.server(), prefill_time, now))
        entries.deliver(notice);
    for (const std::string& name : entries.dealing_with_engine())
        entries.at(name).on_report({engine, 3, 1, 2, false}, now);
    CHECK(entries.with_report() == entries.size());
    CHECK(entries.deliver_digests() == 0);
    CHECK(entries.with_backlog(prefill_time) == entries.size() - 1);
}

TEST_CASE("load exchange - a digest is full before it exceeds an IP packet") {
    site entries(8);
    load_exchange& exchange =
        entries.at(entries.responsible("north").front()->name);
    int reports = 0;
    while (!exchange.is_digest_full()) {
        exchange.on_report({engine, 99, 99, 99, true}, now);
        ++reports;
    }
    CHECK(reports > 1);
    const auto digest = exchange.take_digest();
    REQUIRE(digest);
    CHECK(digest->receivers.size() == 7);
    CHECK_FALSE(exchange.take_digest());
}

// Guards against entries that go on sending to a slow engine because its agent
// reports to a few entries only.
TEST_CASE("load exchange - the pace that an agent reports reaches all entries, "
          "in one digest a region") {
    site entries(8);
    // The entries find out which of them passes reports on.
    entries.report({engine, 3, 1, 2, false});
    entries.deliver_digests();
    entries.report(server_condition{engine, 300});
    CHECK(entries.with_pace(3) == entries.size());
    CHECK(entries.condition_digests == 2);
    site small(2);
    small.report(server_condition{engine, 300});
    CHECK(small.with_pace(3) == small.size());
    CHECK(small.condition_digests == 0);
}

// Guards against a list of conditions that does not fit into a datagram.
TEST_CASE("load exchange - many conditions are passed on in several digests") {
    site entries(8, 60);
    const auto name = entries.responsible("north").front()->name;
    load_exchange& relay = entries.at(name);
    for (int repetition = 0; repetition < 40; ++repetition)
        relay.on_condition(server_condition{engine, 300}, now);
    std::size_t total = 0;
    while (const auto digest = relay.take_conditions()) {
        const auto size =
            std::get<condition_digest>(digest->value).conditions.size();
        CHECK(size <= 16);
        total += size;
    }
    CHECK(total == 40);
}
