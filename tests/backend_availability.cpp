#include <ospreystage/serving/backend_availability.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace ospreystage;

namespace {

constexpr instant start{seconds(1000)};

backend_server make_server(const std::string& id) {
    backend_server server;
    server.id = id;
    return server;
}

const availability_statement leaving{true, std::nullopt, false};

availability_statement pause(milliseconds length) {
    return {false, length, false};
}

} // namespace

TEST_CASE("backend availability - a server that starts again under its id is "
          "free of what its last start has stated") {
    backend_availability tested;
    backend_server server;
    server.id = "a";
    server.started_unix_ms = 1000;
    tested.on_answer(server.start(), {true, seconds(60), false}, start);
    const instant later = start + seconds(3);
    REQUIRE(tested.select({&server}, later).available.empty());
    backend_server restarted = server;
    restarted.started_unix_ms = 2000;
    CHECK(tested.select({&restarted}, later).available.size() == 1);
    CHECK_FALSE(tested.select({&restarted}, later).has_leaving);
    CHECK(tested.may_send(restarted.start(), later));
    // What the last start says late does not concern the new one.
    tested.on_answer(restarted.start(), {false, milliseconds(10), false},
                     later);
    tested.on_answer(server.start(), {true, seconds(60), false}, later);
    CHECK(tested.may_send(restarted.start(), later + seconds(1)));
}

// The entry knows the start of an answer only from the list, which may still
// show the one before.
TEST_CASE("backend availability - a pause that a server states after a new "
          "start is not forgotten when the list shows that start") {
    backend_availability tested({.listing_delay = milliseconds(1200)});
    backend_server server;
    server.id = "a";
    server.started_unix_ms = 1000;
    backend_server restarted = server;
    restarted.started_unix_ms = 2000;
    instant now = start;
    tested.on_list({&server}, now);
    // Stated by the new start.
    tested.on_answer(server.start(), pause(seconds(4)), now);
    const instant end = now + seconds(4);
    now += milliseconds(700);
    SECTION("soon listed") {
        tested.on_list({&server}, now);
        now += milliseconds(200);
    }
    SECTION("listed after an outage of the store") {
        now += seconds(2);
    }
    tested.on_list({&restarted}, now);
    CHECK_FALSE(tested.may_send(restarted.start(), end - milliseconds(1)));
    CHECK(tested.select({&restarted}, end - milliseconds(1)).next_available ==
          end);
    CHECK(tested.may_send(restarted.start(), end));
}

TEST_CASE("backend availability - a pause and leaving of a start that ended "
          "before the next one do not hold for that one") {
    backend_availability tested({.listing_delay = milliseconds(1200)});
    backend_server server;
    server.id = "a";
    server.started_unix_ms = 1000;
    backend_server restarted = server;
    restarted.started_unix_ms = 2000;
    instant now = start;
    tested.on_list({&server}, now);
    SECTION("a pause that was stated too early") {
        tested.on_answer(server.start(), pause(seconds(30)), now);
        now += milliseconds(1400);
        tested.on_list({&server}, now);
    }
    SECTION("leaving, which is never taken over") {
        tested.on_answer(server.start(), {true, milliseconds(100), false}, now);
    }
    now += milliseconds(100);
    tested.on_list({&restarted}, now);
    CHECK(tested.select({&restarted}, now).available.size() == 1);
    CHECK_FALSE(tested.select({&restarted}, now).has_leaving);
}

TEST_CASE("backend availability - leaving and pauses are kept per server") {
    backend_availability tested({.last_resort_time = seconds(1)});
    const std::vector<backend_server> servers{
        make_server("a"), make_server("b"), make_server("c")};
    const std::vector<const backend_server*> listed{&servers[0], &servers[1],
                                                    &servers[2]};
    tested.on_answer({"a"}, leaving, start);
    tested.on_answer({"b"}, pause(milliseconds(500)), start);
    auto selected = tested.select(listed, start + milliseconds(499));
    CHECK(selected.available == std::vector{&servers[2]});
    CHECK(selected.last_resort == std::vector{&servers[0]});
    CHECK(selected.next_available == start + milliseconds(500));
    CHECK(selected.has_leaving);
    CHECK_FALSE(tested.may_send({"b"}, start + milliseconds(499)));
    CHECK(tested.may_send({"b"}, start + milliseconds(500)));
    CHECK(tested.leaving() == 1);
    CHECK(tested.pausing(start) == 1);
    selected = tested.select(listed, start + seconds(1));
    CHECK(selected.available == std::vector{&servers[1], &servers[2]});
    CHECK(selected.last_resort.empty());
    CHECK_FALSE(tested.may_send({"a"}, start + seconds(1)));
}

TEST_CASE("backend availability - a later answer neither shortens a pause nor "
          "ends leaving") {
    backend_availability tested({.last_resort_time = milliseconds(0)});
    tested.on_answer({"a"}, pause(seconds(2)), start);
    tested.on_answer({"a"}, pause(milliseconds(10)), start + milliseconds(5));
    tested.on_answer({"a"}, {}, start + milliseconds(6));
    CHECK_FALSE(tested.may_send({"a"}, start + milliseconds(1999)));
    tested.on_answer({"a"}, leaving, start);
    tested.on_answer({"a"}, {}, start + seconds(3));
    CHECK_FALSE(tested.may_send({"a"}, start + seconds(3)));
}

TEST_CASE("backend availability - a leaving server that pauses is no last "
          "resort and no reason to return") {
    backend_availability tested({.last_resort_time = seconds(1)});
    const backend_server server = make_server("a");
    tested.on_answer({"a"}, {true, milliseconds(500), false}, start);
    const auto selected = tested.select({&server}, start);
    CHECK(selected.last_resort.empty());
    CHECK_FALSE(selected.next_available);
    CHECK(selected.has_leaving);
}

TEST_CASE("backend availability - a server that is listed again is still "
          "leaving until it was off the list for long") {
    backend_availability tested(
        {.last_resort_time = milliseconds(0), .retention = seconds(60)});
    tested.on_answer({"a"}, leaving, start);
    tested.retain({}, start + seconds(59));
    CHECK_FALSE(tested.may_send({"a"}, start + seconds(59)));
    tested.retain({"a"}, start + seconds(60));
    tested.retain({}, start + seconds(119));
    CHECK_FALSE(tested.may_send({"a"}, start + seconds(119)));
    tested.retain({}, start + seconds(121));
    CHECK(tested.leaving() == 0);
}

TEST_CASE("backend availability - callers return after the pause and spread "
          "over a time that grows with it") {
    backend_availability tested;
    for (const milliseconds remaining :
         {milliseconds(100), milliseconds(4000)}) {
        std::vector<milliseconds> waits;
        waits.reserve(200);
        for (int caller = 0; caller < 200; ++caller)
            waits.push_back(tested.retry_after(start + remaining, start));
        const auto [first, last] =
            std::minmax_element(waits.begin(), waits.end());
        CHECK(*first >= remaining);
        CHECK(*last - *first >= std::max(remaining / 3, milliseconds(100)));
        CHECK(*last <= remaining + std::max(remaining / 2, milliseconds(250)));
    }
}

// ---- Property --------------------------------------------------------------

namespace {

constexpr milliseconds drain_time{2000};
constexpr milliseconds step{5};
/// Time after a refusal from which its pause binds.
constexpr milliseconds pause_grace{500};
constexpr std::size_t allowed_in_pause = 2;

/// Entries that send requests to servers which leave and ask for pauses, in
/// virtual time, with accounts of its own of what the servers may expect.
class random_site {
  public:
    explicit random_site(std::uint64_t seed) : random_(seed) {
        entries_.resize(static_cast<std::size_t>(draw(2, 6)));
        for (entry_state& entry : entries_)
            restart(entry);
        const int servers = draw(2, 8);
        for (int index = 0; index < servers; ++index)
            add_server();
    }

    void run() {
        for (; now_ < start + seconds(20); now_ += step) {
            if (chance(0.01))
                servers_[pick(servers_.size())].is_leaving = true;
            if (chance(0.005))
                add_server();
            for (entry_state& entry : entries_)
                advance(entry);
        }
    }

    std::size_t late_after_leaving = 0;
    std::size_t max_in_pause = 0;
    std::size_t refused_with_server_left = 0;
    std::size_t served = 0;

  private:
    struct server_state {
        backend_server listed;
        bool is_leaving = false;
    };
    /// What an entry has been told by one server.
    struct server_account {
        std::optional<instant> passed_on_leaving;
        bool is_excused = false; ///< Of what was passed on before a freeze.
        struct span {
            instant from{};
            instant to{};
            std::size_t arrivals = 0;
        };
        std::vector<span> pauses;
        instant paused_until{};
    };
    struct answer {
        instant at{};
        std::size_t server = 0;
        availability_statement statement;
    };
    struct entry_state {
        backend_availability tested;
        std::map<std::size_t, server_account> accounts;
        std::vector<std::size_t> listed; ///< May be older than the servers.
        std::deque<answer> answers;
        instant frozen_until{};
    };

    int draw(int low, int high) {
        return std::uniform_int_distribution<int>(low, high)(random_);
    }
    bool chance(double share) {
        return std::uniform_real_distribution<double>(0, 1)(random_) < share;
    }
    std::size_t pick(std::size_t count) {
        return static_cast<std::size_t>(draw(0, static_cast<int>(count) - 1));
    }
    void add_server() {
        servers_.push_back(
            {make_server("i-" + std::to_string(servers_.size())), false});
    }
    static void restart(entry_state& entry) {
        entry = {};
        entry.tested =
            backend_availability({.last_resort_time = drain_time / 2});
    }

    void advance(entry_state& entry) {
        if (chance(0.0005))
            restart(entry);
        if (chance(0.0005)) {
            // A freeze excuses what was known before it.
            entry.frozen_until = now_ + milliseconds(draw(100, 3000));
            for (auto& [server, account] : entry.accounts) {
                account.is_excused = true;
                account.pauses.clear();
            }
        }
        if (now_ < entry.frozen_until)
            return;
        if (entry.listed.empty() || chance(0.02))
            read_list(entry);
        while (!entry.answers.empty() && entry.answers.front().at <= now_) {
            on_answer(entry, entry.answers.front());
            entry.answers.pop_front();
        }
        if (chance(0.3))
            send(entry);
    }

    /// Any list may come, from old to current: each shows a random part of all
    /// servers that ever were, leaving or not.
    void read_list(entry_state& entry) {
        entry.listed.clear();
        absl::flat_hash_set<std::string> ids;
        for (std::size_t index = 0; index < servers_.size(); ++index)
            if (chance(0.7)) {
                entry.listed.push_back(index);
                ids.insert(servers_[index].listed.id);
            }
        entry.tested.retain(ids, now_);
    }

    void on_answer(entry_state& entry, const answer& received) {
        server_account& account = entry.accounts[received.server];
        if (received.statement.is_leaving &&
            (!account.passed_on_leaving || account.is_excused)) {
            account.passed_on_leaving = now_;
            account.is_excused = false;
        }
        if (received.statement.pause) {
            const instant end = now_ + *received.statement.pause;
            account.pauses.push_back({now_ + pause_grace, end});
            account.paused_until = std::max(account.paused_until, end);
        }
        entry.tested.on_answer({servers_[received.server].listed.id},
                               received.statement, now_);
    }

    void send(entry_state& entry) {
        std::vector<const backend_server*> listed;
        for (const std::size_t index : entry.listed)
            listed.push_back(&servers_[index].listed);
        available_servers selected = entry.tested.select(listed, now_);
        const auto& candidates = selected.available.empty()
                                     ? selected.last_resort
                                     : selected.available;
        if (candidates.empty()) {
            refused_with_server_left += static_cast<std::size_t>(
                std::any_of(entry.listed.begin(), entry.listed.end(),
                            [&](std::size_t index) {
                                const auto& account = entry.accounts[index];
                                return !account.passed_on_leaving &&
                                       account.paused_until <= now_;
                            }));
            return;
        }
        ++served;
        const backend_server* chosen = candidates[pick(candidates.size())];
        const auto index =
            static_cast<std::size_t>(std::stoi(chosen->id.substr(2)));
        account_for(entry.accounts[index]);
        answer reply{now_ + milliseconds(draw(5, 200)), index, {}};
        reply.statement.is_leaving = servers_[index].is_leaving;
        if (chance(0.05))
            reply.statement.pause = milliseconds(draw(1, 3000));
        entry.answers.push_back(reply);
        std::sort(entry.answers.begin(), entry.answers.end(),
                  [](const answer& left, const answer& right) {
                      return left.at < right.at;
                  });
    }

    /// Accounts for a request that arrives now.
    void account_for(server_account& account) {
        if (account.passed_on_leaving && !account.is_excused &&
            now_ > *account.passed_on_leaving + drain_time)
            ++late_after_leaving;
        for (auto& span : account.pauses)
            if (now_ >= span.from && now_ < span.to)
                max_in_pause = std::max(max_in_pause, ++span.arrivals);
    }

    std::mt19937_64 random_;
    instant now_ = start;
    std::deque<server_state> servers_;
    std::vector<entry_state> entries_;
};

} // namespace

TEST_CASE("backend availability - under random answers, lists, restarts and "
          "freezes no server gets what it has not to get, and servers that are "
          "well are used") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        INFO("seed " << seed);
        random_site site(seed);
        site.run();
        CHECK(site.late_after_leaving == 0);
        CHECK(site.max_in_pause <= allowed_in_pause);
        CHECK(site.refused_with_server_left == 0);
        CHECK(site.served > 1000);
    }
}
