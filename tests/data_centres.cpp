#include <ospreystage/fleet/evacuations.hpp>
#include <ospreystage/fleet/site_copy.hpp>
#include <ospreystage/serving/server_selector.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace ospreystage;

namespace {

constexpr const char* prefix = "op/evacuate/";
constexpr milliseconds step{100};
constexpr int steps_per_poll = 2;
/// `contact_ms` and `evacuate_ms` of the deployments, the time within which
/// servers register again, and the age of a state from which entries read the
/// store themselves.
constexpr milliseconds contact_time{3000};
constexpr milliseconds evacuation_time{5000};
constexpr milliseconds hold_time{2200};
constexpr milliseconds max_state_age{2000};

/// What a broken variant leaves out.
enum class fault : std::uint8_t {
    none,
    regions,           ///< The selector is not given the regions.
    second_check,      ///< A choice is not checked again after a wait.
    passed_removals,   ///< Entries do not pass removals on.
    snapshot_removals, ///< A full read does not show removals.
    hold,              ///< What an older copy lacks ends at once.
};

struct site_options {
    std::uint64_t seed = 1;
    fault left_out = fault::none;
    bool has_outages = false;
    bool has_starts = false; ///< Entries start anew.
    bool has_drill = false;
    bool is_compacted = false; ///< Readers read everything each time.
};

/// The operator's documents in the store.
struct store_model {
    std::map<std::string, site_document> documents;
    std::vector<site_document> history; ///< Removals have an empty text.
    store_position position{1, 1};

    void put(const std::string& key, const std::string& text) {
        history.push_back({key, text, ++position.revision});
        if (text.empty())
            documents.erase(key);
        else
            documents[key] = history.back();
    }
};

struct entry_model {
    std::size_t region = 0;
    site_copy copy;
    std::optional<evacuations> evacuated;
    instant started{};
};

/// Simulates how entries learn of evacuations, in virtual time, and lets each
/// of them choose servers.
class site_model {
  public:
    explicit site_model(const site_options& options)
        : options_(options), random_(options.seed), client_(core_),
          load_({}, options.seed), limits_(limit_options(), duties_, servers_,
                                           [](const entry_datagram&) {}),
          selector_(servers_, client_, load_, availability_, limits_, metrics_,
                    {region_of, [this](const std::string& data_centre) {
                         return current_->evacuated->contains(data_centre,
                                                              now_);
                     }}) {
        regions_ = 2 + random_() % 4;
        const double size = std::log(8) + draw() * std::log(200.0 / 8);
        entries_.resize(static_cast<std::size_t>(std::exp(size)));
        for (std::size_t index = 0; index < entries_.size(); ++index) {
            entries_[index].region = index % regions_;
            start(entries_[index], instant{});
        }
        std::vector<backend_server> listed;
        for (std::size_t zone = 0; zone < regions_ * 2; ++zone)
            for (std::size_t number = 0; number <= random_() % 3; ++number) {
                backend_server& server = listed.emplace_back();
                server.id = fmt::format("i-{}-{}", zone, number);
                server.service = "desk";
                server.data_centre = zone_name(zone);
            }
        servers_.on_list(std::move(listed), now_);
        service_.name = "desk";
        drill_at_ =
            options.has_drill ? 60 + static_cast<int>(random_() % 20) : -1;
        change_regions();
    }

    /// Returns the violations seen in 16 s.
    int run() {
        for (int count = 0; count < 160; ++count) {
            now_ += step;
            operate(count);
            for (std::size_t index = 0; index < entries_.size(); ++index)
                synchronise(index, count);
            for (int request = 0; request < 4; ++request)
                send_request();
            check_entries();
        }
        return violations_;
    }

    [[nodiscard]] int sent() const noexcept { return sent_; }

  private:
    struct waiting_request {
        entry_model* entry = nullptr;
        placement chosen;
        allowed_regions accepted;
        instant at{};
    };

    static limit_exchange::options limit_options() {
        limit_exchange::options options;
        options.self = "edge-1";
        options.region_of = region_of;
        options.site_age = [] { return milliseconds(100); };
        return options;
    }
    static std::string region_of(const std::string& data_centre) {
        return data_centre.substr(0, data_centre.find('-'));
    }
    [[nodiscard]] std::string zone_name(std::size_t zone) const {
        return fmt::format("r{}-z{}", zone % regions_, zone / regions_);
    }
    double draw() { return std::uniform_real_distribution<double>()(random_); }

    void start(entry_model& entry, instant at) const {
        entry.copy = site_copy();
        entry.evacuated.emplace(evacuations::options{
            options_.left_out == fault::hold ? milliseconds(0) : hold_time});
        entry.started = at;
    }

    void change_regions() {
        routing_configuration configuration;
        configuration.version = routes_.current().version + 1;
        const auto some = [this] {
            std::vector<std::string> names;
            for (std::size_t index = 0; index <= regions_; ++index)
                if (draw() < 0.6) // The last region has no server.
                    names.push_back(fmt::format("r{}", index));
            return draw() < 0.3 ? std::vector<std::string>() : names;
        };
        route& added = configuration.routes.emplace_back();
        added.host = "a.example";
        added.path_prefix = "/";
        added.regions = some();
        configuration.organisations = {{"mills", {"key"}, {}, some()}};
        const bool is_applied = routes_.apply(std::move(configuration));
        REQUIRE(is_applied);
    }

    void operate(int count) {
        if (count == drill_at_ - 20)
            copy_ = store_;
        if (count == drill_at_) {
            const std::int64_t era = store_.position.era + 1;
            store_ = copy_;
            store_.position.era = era;
            drilled_ = now_;
            for (std::size_t zone = 0; zone < regions_ * 2; ++zone)
                note_change(zone_name(zone));
        }
        // The drill tells an evacuation from its absence if both stay a while.
        const bool is_quiet =
            options_.has_drill && count > drill_at_ && count < drill_at_ + 60;
        if (!is_quiet && draw() < 0.03) {
            const std::string zone = zone_name(random_() % (regions_ * 2));
            const std::string key = prefix + zone;
            if (store_.documents.contains(key))
                store_.put(key, "");
            else if (store_.documents.size() < 2)
                store_.put(key, "{}");
            note_change(zone);
        }
        if (draw() < 0.05)
            store_.put("op/other", "x");
        if (draw() < 0.05)
            change_regions();
        if (options_.has_outages && draw() < 0.01)
            away_until_ = now_ + milliseconds(random_() % 3000);
        if (now_ < away_until_)
            back_at_ = now_;
        if (options_.has_starts && draw() < 0.1)
            start(entries_[random_() % entries_.size()], now_);
    }

    void note_change(const std::string& zone) { changed_[zone] = now_; }

    void synchronise(std::size_t index, int count) {
        entry_model& entry = entries_[index];
        const auto age = entry.copy.age(now_);
        const bool is_reader = index / regions_ < 2;
        if (is_reader || !age || *age > max_state_age)
            read_store(entry);
        const std::size_t turn = static_cast<std::size_t>(count) + index;
        if (!is_reader && turn % steps_per_poll == 0)
            poll(entry, entries_[entry.region + regions_ * (turn / 2 % 2)]);
        std::vector<std::string> listed;
        for (const std::string& key : entry.copy.document_keys(prefix))
            listed.push_back(key.substr(std::string(prefix).size()));
        const store_position& known = entry.copy.revisions().documents;
        if (known.revision > 0)
            entry.evacuated->update(listed, known.era, now_);
    }

    /// Reads the store as `site_watch` does: changes, or everything.
    void read_store(entry_model& entry) {
        if (now_ < away_until_)
            return;
        const store_position known = entry.copy.revisions().documents;
        const bool is_snapshot = known.revision == 0 ||
                                 known.era != store_.position.era ||
                                 options_.is_compacted;
        entry.copy.on_documents_era(store_.position.era);
        entry.copy.on_documents_read(store_.position, now_);
        entry.copy.on_servers_read({}, store_.position, now_);
        std::vector<site_document> documents;
        if (is_snapshot) {
            std::set<std::string> listed;
            for (const auto& [key, document] : store_.documents) {
                documents.push_back(document);
                listed.insert(key);
            }
            if (options_.left_out != fault::snapshot_removals)
                for (const site_document& removal : entry.copy.removals(
                         prefix, listed, store_.position.revision))
                    documents.push_back(removal);
        } else {
            for (const site_document& change : store_.history)
                if (change.revision > known.revision)
                    documents.push_back(change);
        }
        for (const site_document& document : documents)
            entry.copy.on_document(document);
    }

    void poll(entry_model& entry, const entry_model& source) {
        site_changes changes =
            source.copy.changes_since(entry.copy.revisions(), now_);
        if (options_.left_out == fault::passed_removals)
            std::erase_if(changes.documents, [](const site_document& each) {
                return each.text.empty();
            });
        entry.copy.apply(changes, now_);
    }

    [[nodiscard]] bool is_connected(const entry_model& entry) const {
        return now_ - std::max(entry.started, back_at_) > contact_time;
    }

    /// Returns whether a data centre has been evacuated for so long that every
    /// connected entry knows; nothing if it has changed since.
    [[nodiscard]] std::optional<bool> truth(const std::string& zone) const {
        const auto changed = changed_.find(zone);
        if (changed != changed_.end() &&
            now_ - changed->second <= evacuation_time)
            return std::nullopt;
        return store_.documents.contains(prefix + zone);
    }

    void check_entries() {
        for (const entry_model& entry : entries_) {
            if (!is_connected(entry))
                continue;
            for (std::size_t zone = 0; zone < regions_ * 2; ++zone) {
                const std::string name = zone_name(zone);
                const bool is_in_force = entry.evacuated->contains(name, now_);
                const auto expected = truth(name);
                if (expected && *expected != is_in_force)
                    ++violations_;
                check_hold(entry, name, is_in_force);
            }
        }
    }

    /// What was known before a drill holds for the time of registrations.
    void check_hold(const entry_model& entry, const std::string& zone,
                    bool is_in_force) {
        const auto id = std::pair(&entry, zone);
        if (!drilled_ || now_ == *drilled_) {
            known_[id] = is_in_force;
            return;
        }
        if (known_[id] && now_ - *drilled_ < hold_time && !is_in_force)
            ++violations_;
    }

    void send_request() {
        while (!waiting_.empty() && waiting_.front().at <= now_) {
            deliver(waiting_.front());
            waiting_.pop_front();
        }
        current_ = &entries_[random_() % entries_.size()];
        const allowed_regions accepted =
            regions_of(routes_.find_route("a.example", "/"),
                       routes_.organisation("mills"));
        const selection_result result =
            selector_.choose(request_of(accepted), now_);
        if (const auto* chosen = std::get_if<placement>(&result))
            waiting_.push_back({current_, *chosen, accepted,
                                now_ + milliseconds(random_() % 900)});
    }

    selection_request request_of(const allowed_regions& accepted) {
        selection_request request;
        request.service = "desk";
        request.placement.service = &service_;
        request.placement.tried = &tried_;
        if (options_.left_out != fault::regions)
            request.regions =
                current_regions(accepted, "a.example", "/", "mills", routes_);
        return request;
    }

    void deliver(const waiting_request& request) {
        current_ = request.entry;
        if (options_.left_out != fault::second_check &&
            !selector_.may_send(request_of(request.accepted), request.chosen,
                                now_))
            return;
        ++sent_;
        const std::string& zone =
            servers_.find(request.chosen.server)->data_centre;
        const std::string region = region_of(zone);
        const allowed_regions current =
            regions_of(routes_.find_route("a.example", "/"),
                       routes_.organisation("mills"));
        if (!request.accepted.allows(region) || !current.allows(region))
            ++violations_;
        if (is_connected(*request.entry) && truth(zone) == true)
            ++violations_;
    }

    site_options options_;
    std::mt19937_64 random_;
    kernel core_;
    web_client client_;
    backend_registry servers_;
    backend_load load_;
    backend_availability availability_{{}};
    entry_duties duties_;
    limit_exchange limits_;
    metrics metrics_;
    server_selector selector_;
    service_description service_;
    absl::flat_hash_set<std::string> tried_;
    route_table routes_;
    std::size_t regions_ = 1;
    std::vector<entry_model> entries_;
    entry_model* current_ = nullptr;
    store_model store_;
    store_model copy_;
    std::map<std::string, instant> changed_; ///< Last change by data centre.
    std::deque<waiting_request> waiting_;
    std::map<std::pair<const entry_model*, std::string>, bool> known_;
    std::optional<instant> drilled_;
    int drill_at_ = -1;
    instant now_{};
    instant away_until_{};
    instant back_at_{};
    int violations_ = 0;
    int sent_ = 0;
};

/// Runs random sites; returns their violations.
int violations(site_options options, int rounds) {
    int result = 0;
    int sent = 0;
    for (int round = 1; round <= rounds; ++round) {
        options.seed = static_cast<std::uint64_t>(round);
        site_model site(options);
        const int seen = site.run();
        if (options.left_out == fault::none) {
            CAPTURE(options.seed);
            CHECK(seen == 0);
        }
        result += seen;
        sent += site.sent();
    }
    CHECK(sent > rounds * 50);
    return result;
}

} // namespace

TEST_CASE("data centres - no request runs outside its regions or in a data "
          "centre that has been evacuated for the bound") {
    CHECK(violations({}, 100) == 0);
    CHECK(violations({.left_out = fault::regions}, 20) > 0);
    CHECK(violations({.left_out = fault::second_check}, 20) > 0);
    CHECK(violations({.left_out = fault::passed_removals}, 20) > 0);
}

TEST_CASE("data centres - evacuations hold and end in time at entries that "
          "read everything instead of the changes") {
    site_options options{.is_compacted = true};
    CHECK(violations(options, 60) == 0);
    options.left_out = fault::snapshot_removals;
    CHECK(violations(options, 20) > 0);
}

TEST_CASE("data centres - entries that have the store again after an outage "
          "have the evacuations in force in time") {
    CHECK(violations({.has_outages = true}, 60) == 0);
}

TEST_CASE("data centres - an entry that starts during an evacuation has it in "
          "force in time") {
    CHECK(violations({.has_starts = true}, 60) == 0);
}

TEST_CASE("data centres - an evacuation that an older copy of the store lacks "
          "holds while servers register again, and then ends") {
    site_options options{.has_drill = true};
    CHECK(violations(options, 60) == 0);
    options.left_out = fault::hold;
    CHECK(violations(options, 40) > 0);
}
