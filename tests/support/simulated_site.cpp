#include "simulated_site.hpp"

#include "free_ports.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace ospreystage::testing {

namespace {

constexpr milliseconds store_timeout{1000};
constexpr milliseconds observation_interval{10};
constexpr milliseconds reregistration_time{2200};
constexpr const char* service = "desk";

platform::node_settings settings_of(std::size_t index,
                                    const simulated_site::options& site) {
    platform::node_settings settings;
    settings.name = fmt::format("edge-{}", index + 1);
    settings.data_centre = "hall-a";
    settings.ip = fmt::format("127.0.9.{}", index + 1);
    settings.front = {settings.ip, 8005};
    settings.drain_time = site.bound;
    settings.configuration_time = site.bound;
    settings.max_silence = site.contact;
    return settings;
}

/// Returns the latest of the times that all entries have, as the time from
/// `since`.
milliseconds last_after(const std::map<std::size_t, instant>& times,
                        std::size_t entries, instant since) {
    if (times.size() < entries)
        return milliseconds::max();
    const auto last = std::ranges::max_element(
        times, {}, [](const auto& each) { return each.second; });
    return std::chrono::ceil<milliseconds>(last->second - since);
}

} // namespace

struct simulated_site::entry_record {
    entry_record(kernel& core, const address& store, std::uint16_t feed_port,
                 platform::node_settings own)
        : settings(std::move(own)), web(core),
          client(web, store, store_timeout),
          servers(platform::registry_options(settings)), versions(seconds(8)),
          entries(reregistration_time),
          watch(core, client, settings, {routes, servers, versions, entries},
                {[] {}, [] {}, [] {}, [this] { feed.on_entries_changed(); }}),
          feed(core, web, watch.copy(),
               {settings.name,
                settings.data_centre,
                {settings.ip, feed_port},
                platform::feed_options(settings)},
               [this](const site_copy::applied_parts& applied) {
                   watch.on_feed(applied);
               }) {}

    platform::node_settings settings;
    web_client web;
    platform::store_client client;
    route_table routes;
    backend_registry servers;
    published_versions versions;
    entry_list entries;
    platform::site_watch watch;
    site_feed feed;
};

simulated_site::simulated_site(const options& site)
    : options_(site),
      store_(std::make_unique<simulated_store>(core_, site.entries)),
      feed_port_(support::free_ports(1).at(0)), entries_(site.entries) {
    for (std::size_t index = 0; index < site.entries - site.late_entries;
         ++index)
        start(index);
    core_.every("observer", observation_interval, [this] { observe(); });
}

simulated_site::~simulated_site() = default;

void simulated_site::start(std::size_t index) {
    entries_[index] = std::make_unique<entry_record>(
        core_, store_->endpoint(index), feed_port_,
        settings_of(index, options_));
    entry_record& entry = *entries_[index];
    error problem;
    if (!value_or_error(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(entry.feed.start());
                return true;
            },
            problem))
        throw std::runtime_error(to_string(problem));
    entry.watch.set_selection(entry.feed.selection());
    entry.watch.start();
}

std::vector<std::size_t> simulated_site::by_rank() const {
    std::vector<std::size_t> readers;
    std::vector<std::size_t> others;
    for (std::size_t index = 0; index < entries_.size(); ++index)
        if (entries_[index])
            (entries_[index]->feed.selection().is_reader() ? readers : others)
                .push_back(index);
    readers.insert(readers.end(), others.begin(), others.end());
    return readers;
}

void simulated_site::run_for(milliseconds duration) {
    core_.run_simulated(clock_, clock_.now() + duration);
}

// ---- Changes ---------------------------------------------------------------

void simulated_site::put_configuration(std::uint64_t version,
                                       std::size_t padding) {
    store_->put(
        "op/config",
        fmt::format(R"({{"version":{},"routes":[],"services":[],"note":"{}"}})",
                    version, std::string(padding, 'x')));
}

void simulated_site::put_server(const std::string& id, bool is_draining) {
    store_->put("servers/" + id,
                fmt::format(R"({{"service":"{}","address":"10.0.0.1:80",)"
                            R"("zone":"hall-a","slots":4,"state":"{}",)"
                            R"("born":1793055298024}})",
                            service, is_draining ? "draining" : "ready"));
}

// ---- Observations ----------------------------------------------------------

void simulated_site::observe() {
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        if (!entries_[index])
            continue;
        const entry_record& entry = *entries_[index];
        const std::uint64_t version = entry.routes.current().version;
        configured_[version].try_emplace(index, clock_.now());
        for (const backend_server* server : entry.servers.all())
            unused_[server->id];
        const auto serving = entry.servers.serving(service);
        for (auto& known : unused_) {
            const bool is_used =
                std::ranges::any_of(serving, [&](const backend_server* server) {
                    return server->id == known.first;
                });
            if (is_used)
                known.second.erase(index);
            else
                known.second.try_emplace(index, clock_.now());
        }
    }
}

milliseconds simulated_site::configured_after(std::uint64_t version,
                                              instant since) const {
    std::map<std::size_t, instant> first;
    for (const auto& [applied, times] : configured_)
        if (applied >= version)
            for (const auto& [entry, time] : times) {
                const auto [found, is_new] = first.try_emplace(entry, time);
                if (!is_new)
                    found->second = std::min(found->second, time);
            }
    return last_after(first, entries_.size(), since);
}

milliseconds simulated_site::unused_after(const std::string& id,
                                          instant since) const {
    const auto found = unused_.find(id);
    return found == unused_.end()
               ? milliseconds::max()
               : last_after(found->second, entries_.size(), since);
}

} // namespace ospreystage::testing
