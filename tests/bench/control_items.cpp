#include <ospreystage/network/codec.hpp>
#include <ospreystage/serving/load_exchange.hpp>

#include <fmt/format.h>
#include <tests/bench/control_items.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace ospreystage::bench {

namespace {

/// A fleet of VMs, of which most run entries, and what they do each second.
struct item_options {
    std::vector<int> vms{30, 100, 300};
    int regions = 5;
    int seconds = 4;
    double entry_share = 0.55;
    int reports_per_engine = 12; ///< A second; a report a read that differs.
    int attempts_per_entry = 7;  ///< A second.
    int digests_per_second = 20;
    std::uint64_t seed = 1;
};

/// Datagrams and items of one entry, or the time of all of them.
struct item_tally {
    std::uint64_t received = 0;
    std::uint64_t received_items = 0;
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
};

class control_site {
  public:
    control_site(const item_options& options, int vms)
        : options_(options), random_(options.seed) {
        const int entries =
            std::max(1, static_cast<int>(vms * options.entry_share));
        for (int number = 0; number < entries; ++number) {
            const std::string name = fmt::format("entry-{}", number);
            entries_[name] = {
                name,
                {fmt::format("10.{}.1.{}", number / 200, number % 200), 80},
                fmt::format("region-{}", number % options.regions)};
        }
        duties_.set_entries(entries_);
        std::vector<backend_server> listed;
        for (int number = 0; number < vms - entries; ++number) {
            backend_server server;
            server.id = fmt::format("i-{:010x}", number);
            server.endpoint = {
                fmt::format("10.{}.2.{}", number / 200, number % 200), 8080};
            engines_.push_back(server.endpoint);
            listed.push_back(std::move(server));
        }
        servers_.on_list(std::move(listed), now_);
        for (const auto& [name, entry] : entries_) {
            loads_.try_emplace(name, backend_load::options{}, 1);
            exchanges_.try_emplace(name, name, entry.region, duties_, servers_,
                                   loads_.at(name));
        }
    }

    void run() {
        const int rounds = options_.seconds * options_.digests_per_second;
        const auto interval =
            std::chrono::nanoseconds(std::chrono::seconds(1)) /
            options_.digests_per_second;
        for (int round = 0; round < rounds; ++round) {
            now_ += interval;
            for (const address& engine : engines_)
                if (is_due(options_.reports_per_engine))
                    report(engine);
            for (auto& [name, exchange] : exchanges_)
                if (is_due(options_.attempts_per_entry))
                    attempt(name, exchange);
            for (auto& [name, exchange] : exchanges_)
                if (const auto digest = exchange.take_digest())
                    deliver(name, *digest);
        }
    }

    void print(int vms) const {
        std::uint64_t items = 0;
        std::uint64_t sent = 0;
        item_tally busiest;
        for (const auto& [name, tally] : tallies_) {
            items += tally.received_items;
            sent += tally.sent;
            if (tally.sent + tally.received > busiest.sent + busiest.received)
                busiest = tally;
        }
        const auto seconds = static_cast<std::uint64_t>(options_.seconds);
        const auto per_item = time_ / std::max<std::uint64_t>(1, items);
        fmt::print("{:>4} VMs ({} entries): {} ns an item; a second: {} "
                   "datagrams in all, of which agents send {}; busiest entry "
                   "{} received with {} items, {} sent with {} bytes\n",
                   vms, entries_.size(), per_item.count(),
                   (sent + reports_sent_) / seconds, reports_sent_ / seconds,
                   busiest.received / seconds, busiest.received_items / seconds,
                   busiest.sent / seconds, busiest.sent_bytes / seconds);
    }

  private:
    /// Returns true in one of the rounds of a second, on average, for each of
    /// `per_second`.
    bool is_due(int per_second) {
        return std::uniform_int_distribution<int>(
                   0, options_.digests_per_second - 1)(random_) < per_second;
    }

    template <typename Body>
    void measure(const Body& body) {
        const instant started = steady::now();
        body();
        time_ += steady::now() - started;
    }

    void report(const address& engine) {
        const engine_report sent{engine, 5, 1, 2, false};
        for (auto& item : exchanges_) {
            load_exchange& exchange = item.second;
            if (!exchange.deals_with(engine.host))
                continue;
            ++reports_sent_;
            receive(item.first, 1);
            measure([&] { exchange.on_report(sent, now_); });
        }
    }

    void attempt(const std::string& name, load_exchange& exchange) {
        const std::size_t index = std::uniform_int_distribution<std::size_t>(
            0, engines_.size() - 1)(random_);
        const auto ids = servers_.ids_at(engines_[index]);
        for (const auto& notice : exchange.on_attempt(
                 *servers_.find(ids.front()), milliseconds(60), now_))
            deliver(name, notice);
    }

    void deliver(const std::string& sender,
                 const load_exchange::outgoing& datagram) {
        const std::size_t bytes = encode_payload(datagram.value).size();
        tallies_[sender].sent += datagram.receivers.size();
        tallies_[sender].sent_bytes += bytes * datagram.receivers.size();
        for (const site_entry* entry : datagram.receivers) {
            load_exchange& receiver = exchanges_.at(entry->name);
            if (const auto* notice =
                    std::get_if<attempt_notice>(&datagram.value)) {
                receive(entry->name, 1);
                measure([&] { receiver.on_notice(*notice, now_); });
            } else {
                const auto& digest = std::get<load_digest>(datagram.value);
                receive(entry->name,
                        digest.reports.size() + digest.notices.size());
                measure([&] { receiver.on_digest(digest, now_); });
            }
        }
    }

    void receive(const std::string& name, std::size_t items) {
        ++tallies_[name].received;
        tallies_[name].received_items += items;
    }

    item_options options_;
    std::mt19937_64 random_;
    instant now_{std::chrono::seconds(1000)};
    std::map<std::string, site_entry> entries_;
    std::vector<address> engines_;
    entry_duties duties_;
    backend_registry servers_;
    std::map<std::string, backend_load> loads_;
    std::map<std::string, load_exchange> exchanges_;
    std::map<std::string, item_tally> tallies_;
    std::uint64_t reports_sent_ = 0;
    std::chrono::nanoseconds time_{};
};

} // namespace

void add_control_items(CLI::App& app, int& status) {
    auto* command = app.add_subcommand(
        "control-items", "Cost and number of the messages on engines' load");
    auto options = std::make_shared<item_options>();
    command->add_option("--vms", options->vms, "Sizes of the fleet");
    command->add_option("--regions", options->regions, "Regions");
    command->add_option("--seconds", options->seconds, "Simulated time, s");
    command->add_option("--seed", options->seed, "Seed");
    command->callback([options, &status] {
        for (const int vms : options->vms) {
            control_site site(*options, vms);
            site.run();
            site.print(vms);
        }
        status = 0;
    });
}

} // namespace ospreystage::bench
