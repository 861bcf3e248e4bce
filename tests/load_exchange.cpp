#include <ospreystage/serving/load_exchange.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <iterator>
#include <map>
#include <set>
#include <string>
#include <variant>

using namespace ospreystage;

namespace {

const instant now{seconds(1000)};
const address engine{"10.0.0.1", 8284};

/// Entries of two regions, each with its own view of one engine.
class site {
  public:
    explicit site(int entries_per_region) {
        for (const char* region : {"north", "south"})
            for (int number = 0; number < entries_per_region; ++number) {
                const std::string name = fmt::format("{}-{}", region, number);
                entries_[name] = {name, {name, 8000}, region};
            }
        duties_.set_entries(entries_);
        backend_server server;
        server.id = "i-1";
        server.endpoint = engine;
        servers_.on_list({server}, now);
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

    [[nodiscard]] std::set<std::string> dealing_with_engine() const {
        std::set<std::string> names;
        for (const auto& [name, exchange] : exchanges_)
            if (exchange.deals_with(engine.host))
                names.insert(name);
        return names;
    }
    /// Returns the entries that know a report of the engine.
    [[nodiscard]] std::size_t with_report() const {
        return count([](const backend_load& load) {
            return load.status("i-1", now).has_value();
        });
    }
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
    for (const std::string& name : dealing)
        entries.at(name).on_report({engine, 3, 1, 2, false}, now);
    CHECK(entries.with_report() == dealing.size());
    CHECK(entries.deliver_digests() == dealing.size());
    CHECK(entries.with_report() == entries.size());
    CHECK(entries.deliver_digests() == 0);
}

TEST_CASE("load exchange - a notice reaches all other entries once") {
    site entries(8);
    constexpr milliseconds prefill_time{40};
    const auto notices =
        entries.at("north-0").announce(entries.server(), prefill_time);
    std::size_t sent = 0;
    for (const auto& notice : notices)
        sent += entries.deliver(notice);
    CHECK(sent == 7 + entry_duties::entries_per_vm);
    CHECK(entries.deliver_digests() == 1);
    CHECK(entries.with_backlog(milliseconds(0)) == 1);
    CHECK(entries.with_backlog(prefill_time) == entries.size() - 1);
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
         entries.at("south-1").announce(entries.server(), prefill_time))
        entries.deliver(notice);
    for (const std::string& name : entries.dealing_with_engine())
        entries.at(name).on_report({engine, 3, 1, 2, false}, now);
    CHECK(entries.with_report() == entries.size());
    CHECK(entries.deliver_digests() == 0);
    CHECK(entries.with_backlog(prefill_time) == entries.size() - 1);
}

TEST_CASE("load exchange - a digest is full before it exceeds an IP packet") {
    site entries(8);
    load_exchange& exchange = entries.at("north-0");
    int reports = 0;
    while (!exchange.is_digest_full()) {
        exchange.on_report({{"10.100.200.250", 65535}, 99, 99, 99, true}, now);
        ++reports;
    }
    CHECK(reports > 1);
    const auto digest = exchange.take_digest();
    REQUIRE(digest);
    CHECK(digest->receivers.size() == 7);
    CHECK_FALSE(exchange.take_digest());
}
