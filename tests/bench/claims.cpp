#include <ospreystage/requests/claim_table.hpp>
#include <ospreystage/requests/claim_tally.hpp>

#include <absl/random/distributions.h>
#include <fmt/format.h>
#include <tests/bench/claims.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

namespace ospreystage::bench {

namespace {

constexpr std::size_t witness_count = 5;
constexpr std::size_t agent_count = 12;
constexpr milliseconds duration{600'000};
constexpr milliseconds request_interval{20};
constexpr milliseconds down_time{2000};
constexpr milliseconds retention{600'000};
constexpr milliseconds mean_time_to_restart{300'000};
constexpr milliseconds kv_outage_period{300'000};
constexpr milliseconds kv_outage{15'000};
constexpr double repeat_share = 0.2;
constexpr double concurrent_share = 0.02;
constexpr double lost_answer_share = 0.01;

/// What one way came to.
struct claim_costs {
    std::uint64_t claims = 0;
    std::uint64_t messages = 0;
    std::uint64_t first_tries = 0;
    std::uint64_t refused = 0; ///< First tries of a key that did not run.
    std::uint64_t doubles = 0; ///< Keys that ran more than once.
};

/// A claim in the platform's key-value service, by compare-and-swap.
struct kv_claims {
    std::set<std::string> taken;

    bool claim(const std::string& key, instant now, std::mt19937_64& random,
               claim_costs& costs) {
        costs.messages += 1;
        if (now.time_since_epoch() % kv_outage_period < kv_outage)
            return false;
        costs.messages += 1;
        if (absl::Bernoulli(random, lost_answer_share))
            costs.messages += 2; // Reads back whether the write took effect.
        return taken.insert(key).second;
    }
    void fail(std::size_t, instant) {}
};

/// A claim at voters among the witnesses, by the classes of the product.
struct voter_claims {
    std::vector<std::string> names;
    std::vector<std::unique_ptr<claim_table>> tables;
    std::vector<instant> up_at;
    std::uint64_t incarnation = 1;
    std::uint64_t sequence = 1;

    voter_claims() : tables(witness_count), up_at(witness_count) {
        for (std::size_t index = 0; index < witness_count; ++index)
            names.push_back(fmt::format("w-{}", index));
        for (std::size_t index = 0; index < witness_count; ++index) {
            start(index, instant{});
            tables[index]->skip_recovery();
        }
    }

    void start(std::size_t index, instant now) {
        tables[index] = std::make_unique<claim_table>(
            process_id{names[index], incarnation++}, names, retention, now);
    }

    [[nodiscard]] std::size_t index_of(const std::string& name) const {
        return static_cast<std::size_t>(
            std::find(names.begin(), names.end(), name) - names.begin());
    }

    void recover(instant now, claim_costs& costs) {
        for (std::size_t index = 0; index < names.size(); ++index) {
            if (up_at[index] > now)
                continue;
            for (const auto& step : tables[index]->tick(now)) {
                ++costs.messages;
                const std::size_t peer = index_of(step.witness);
                if (up_at[peer] > now)
                    continue;
                for (const auto& page :
                     tables[peer]->on_recover_request(step.body, now)) {
                    ++costs.messages;
                    tables[index]->on_recover_reply(page, now);
                }
            }
        }
    }

    /// Two concurrent claims of a key if `both`; returns who won.
    std::pair<bool, bool> claim_pair(const std::string& key, bool both,
                                     instant now, std::mt19937_64& random,
                                     claim_costs& costs) {
        recover(now, costs);
        std::vector<claim_tally> tallies;
        tallies.reserve(2);
        const claim_key id{"board", key};
        const auto voters = claim_voters(id, names);
        for (int count = 0; count < (both ? 2 : 1); ++count)
            tallies.emplace_back(
                claim_record{
                    id, digest(64, 'd'), {{"entry", 1}, sequence++}, 0},
                voters);
        for (const std::string& voter : voters) {
            const std::size_t index = index_of(voter);
            if (both && absl::Bernoulli(random, 0.5))
                std::swap(tallies[0], tallies[1]);
            for (claim_tally& tally : tallies) {
                ++costs.messages;
                if (up_at[index] > now)
                    continue;
                ++costs.messages;
                tally.add(tables[index]->on_claim(
                    {tally.requested(), {voter, 0}}, now));
            }
        }
        std::vector<bool> won(2, false);
        for (std::size_t index = 0; index < tallies.size(); ++index) {
            won[index] = tallies[index].verdict() == claim_verdict::won;
            if (won[index])
                continue;
            for (const std::string& voter : voters) {
                ++costs.messages;
                if (up_at[index_of(voter)] <= now)
                    tables[index_of(voter)]->on_release(
                        {id, tallies[index].requested().attempt}, now);
            }
        }
        return {won[0], won[1]};
    }

    void fail(std::size_t process, instant now) {
        if (process >= witness_count)
            return;
        up_at[process] = now + down_time;
        start(process, up_at[process]);
    }
};

/// A home agent by hash of the key, fixed at the first try; its memory
/// decides. After a restart it refuses until the retention has passed.
struct home_claims {
    std::vector<std::string> names;
    std::vector<std::set<std::string>> taken;
    std::vector<instant> usable_at;

    home_claims() : taken(agent_count), usable_at(agent_count) {
        for (std::size_t index = 0; index < agent_count; ++index)
            names.push_back(fmt::format("vm-{}", index));
    }

    bool claim(const std::string& key, instant now) {
        const std::string home = rendezvous_order(key, names).front();
        const auto index = static_cast<std::size_t>(
            std::find(names.begin(), names.end(), home) - names.begin());
        return usable_at[index] <= now && taken[index].insert(key).second;
    }

    void fail(std::size_t process, instant now) {
        if (process >= agent_count)
            return;
        taken[process].clear();
        usable_at[process] = now + down_time + retention;
    }
};

/// Runs one way; `claim(key, both, now)` says whether the tries won.
template <typename Claim, typename Fail>
claim_costs run_way(std::uint64_t seed, Claim claim, Fail fail) {
    std::mt19937_64 random(seed);
    claim_costs costs;
    std::map<std::string, int> runs;
    const double fails_per_request =
        static_cast<double>(agent_count) *
        static_cast<double>(request_interval.count()) /
        static_cast<double>(mean_time_to_restart.count());
    const std::uint64_t count =
        static_cast<std::uint64_t>(duration / request_interval);
    for (std::uint64_t index = 0; index < count; ++index) {
        const instant now{retention + request_interval * index};
        if (absl::Bernoulli(random, fails_per_request))
            fail(absl::Uniform<std::size_t>(random, 0, agent_count), now);
        const bool repeat = index > 0 && absl::Bernoulli(random, repeat_share);
        const std::uint64_t chosen =
            repeat ? absl::Uniform<std::uint64_t>(random, 0, index) : index;
        const std::string key = std::to_string(chosen);
        const bool both = absl::Bernoulli(random, concurrent_share);
        const std::pair<bool, bool> won = claim(key, both, now, random, costs);
        costs.claims += both ? 2 : 1;
        runs[key] += static_cast<int>(won.first) + static_cast<int>(won.second);
        if (chosen != index)
            continue;
        ++costs.first_tries;
        costs.refused += runs[key] == 0 ? 1 : 0;
    }
    for (const auto& [key, number] : runs)
        costs.doubles += number > 1 ? 1 : 0;
    return costs;
}

void print(const std::string& way, const claim_costs& costs) {
    fmt::print(
        "{:<22} {:>8} {:>10.2f} {:>12} {:>9.3f}% {:>8}\n", way, costs.claims,
        static_cast<double>(costs.messages) / static_cast<double>(costs.claims),
        costs.first_tries,
        100.0 * static_cast<double>(costs.refused) /
            static_cast<double>(costs.first_tries),
        costs.doubles);
}

void compare(std::uint64_t seed) {
    fmt::print("{:<22} {:>8} {:>10} {:>12} {:>10} {:>8}\n", "way", "claims",
               "messages", "first tries", "refused", "doubles");
    kv_claims kv;
    print(
        "key-value service",
        run_way(
            seed,
            [&](const std::string& key, bool both, instant now,
                std::mt19937_64& random, claim_costs& costs) {
                const bool first = kv.claim(key, now, random, costs);
                const bool second = both && kv.claim(key, now, random, costs);
                return std::pair{first, second};
            },
            [&](std::size_t process, instant now) { kv.fail(process, now); }));
    voter_claims voters;
    print("voters", run_way(
                        seed,
                        [&](const std::string& key, bool both, instant now,
                            std::mt19937_64& random, claim_costs& costs) {
                            return voters.claim_pair(key, both, now, random,
                                                     costs);
                        },
                        [&](std::size_t process, instant now) {
                            voters.fail(process, now);
                        }));
    home_claims home;
    print("home at the first try",
          run_way(
              seed,
              [&](const std::string& key, bool both, instant now,
                  std::mt19937_64&, claim_costs&) {
                  const bool first = home.claim(key, now);
                  const bool second = both && home.claim(key, now);
                  return std::pair{first, second};
              },
              [&](std::size_t process, instant now) {
                  home.fail(process, now);
              }));
}

} // namespace

void add_claims(CLI::App& app, int& status) {
    CLI::App* command = app.add_subcommand(
        "claims", "Compare three ways to run a key at most once");
    auto seed = std::make_shared<std::uint64_t>(1);
    command->add_option("--seed", *seed, "Seed of the restarts and requests");
    command->callback([seed, &status] {
        compare(*seed);
        status = 0;
    });
}

} // namespace ospreystage::bench
