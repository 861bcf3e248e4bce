#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <tests/support/shortage_site.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <string>
#include <vector>

using namespace ospreystage;
using support::shortage_options;
using support::shortage_result;

namespace {

/// Sites of one size and the number of seeds that they are simulated with.
struct site_size {
    std::size_t entries;
    std::size_t slots;
    std::uint64_t seeds;
};
const site_size small{8, 60, 150};
const site_size medium{36, 160, 15};
const site_size large{200, 400, 2};

shortage_options of_size(const site_size& size) {
    shortage_options options;
    options.entries = size.entries;
    options.slots = size.slots;
    return options;
}

/// Means over the simulated seeds, unless stated otherwise.
struct summary {
    double in_time = 0; ///< Parts of all callers.
    double late = 0;
    double refused = 0;
    double idle = 0;
    /// Served units of each organisation in relation to its max-min share.
    std::vector<double> served_to_fair;
    std::vector<double> kinds; ///< Served part of the callers of each kind.
    std::vector<double> kinds_over_share; ///< Of the large organisations.
    /// Largest deviation of an organisation, averaged over the seeds.
    double deviation = 0;

    [[nodiscard]] double worst_organisation() const {
        return *std::min_element(served_to_fair.begin(), served_to_fair.end());
    }
    [[nodiscard]] double best_organisation() const {
        return *std::max_element(served_to_fair.begin(), served_to_fair.end());
    }
    [[nodiscard]] double worst_kind() const {
        return *std::min_element(kinds.begin(), kinds.end());
    }
    [[nodiscard]] bool is_max_min() const {
        return worst_organisation() >= 0.95 && best_organisation() <= 1.05;
    }
    /// Returns true if no kind is served more often than a more urgent one.
    [[nodiscard]] bool is_in_order() const {
        return std::is_sorted(kinds.rbegin(), kinds.rend());
    }
    /// Returns true if the kind that is served least often is served at least
    /// a fourth as often as the one that is served most often.
    [[nodiscard]] bool is_none_starved() const {
        const auto [worst, best] = std::minmax_element(kinds_over_share.begin(),
                                                       kinds_over_share.end());
        return *worst >= *best / 4;
    }
    /// Returns the share that all organisations but the last one get of theirs.
    [[nodiscard]] double mean_of_others() const {
        return std::accumulate(served_to_fair.begin(), served_to_fair.end() - 1,
                               0.0) /
               static_cast<double>(served_to_fair.size() - 1);
    }
};

summary simulate(shortage_options options, std::uint64_t seeds) {
    summary result;
    const auto count = static_cast<double>(seeds);
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        options.seed = seed;
        const shortage_result one = simulate_shortage(options);
        const auto asked = static_cast<double>(one.all.asked);
        result.in_time += static_cast<double>(one.all.in_time) / asked / count;
        result.late += static_cast<double>(one.all.late) / asked / count;
        result.refused += static_cast<double>(one.all.refused) / asked / count;
        result.idle += one.idle_part / count;
        const std::vector<double> ratios = one.served_to_fair();
        result.served_to_fair.resize(ratios.size());
        double deviation = 0;
        for (std::size_t index = 0; index < ratios.size(); ++index) {
            result.served_to_fair[index] += ratios[index] / count;
            deviation = std::max(deviation, std::abs(ratios[index] - 1));
        }
        result.deviation += deviation / count;
        result.kinds.resize(one.kinds.size());
        result.kinds_over_share.resize(one.kinds.size());
        for (std::size_t index = 0; index < one.kinds.size(); ++index) {
            result.kinds[index] += one.kinds[index].served_part() / count;
            result.kinds_over_share[index] +=
                one.kinds_over_share[index].served_part() / count;
        }
    }
    return result;
}

void print(const std::string& name, const summary& value) {
    fmt::print("{:<20} {:>7.3f} {:>5.3f} {:>7.3f} {:>18.3f} {:>10.3f}\n", name,
               value.in_time, value.late, value.refused,
               value.worst_organisation(), value.worst_kind());
}

} // namespace

TEST_CASE("fair admission - served shares are max-min within 5 % over 10 s, "
          "whichever entries are used") {
    for (const site_size& size : {small, medium, large}) {
        const summary result = simulate(of_size(size), size.seeds);
        INFO(size.entries << " entries, organisations "
                          << result.worst_organisation() << " to "
                          << result.best_organisation());
        CHECK(result.is_max_min());
        CHECK(result.idle < 0.03);
    }
}

TEST_CASE("fair admission - shares stay max-min when digests are lost or an "
          "entry is killed") {
    shortage_options losing = of_size(small);
    losing.digest_loss = 0.3;
    CHECK(simulate(losing, 50).is_max_min());
    shortage_options killed = of_size(small);
    killed.is_entry_killed = true;
    CHECK(simulate(killed, 50).is_max_min());
}

TEST_CASE("fair admission - each half of a divided site goes on sharing") {
    shortage_options options = of_size(small);
    options.is_half_cut_off = true;
    const summary result = simulate(options, 50);
    INFO(result.worst_organisation() << " to " << result.best_organisation());
    CHECK(result.worst_organisation() > 0.6);
    CHECK(result.idle < 0.03);
}

// Guards against a test that passes whatever the shares are.
TEST_CASE("fair admission - shares without digests, without sizes or with "
          "demand that is counted twice are not max-min") {
    shortage_options alone = of_size(small);
    alone.has_digests = false;
    CHECK_FALSE(simulate(alone, 20).is_max_min());
    shortage_options sizeless = of_size(small);
    sizeless.counts_size = false;
    CHECK_FALSE(simulate(sizeless, 20).is_max_min());
    shortage_options repeating = of_size(small);
    repeating.tells_repeats = false;
    CHECK_FALSE(simulate(repeating, 20).is_max_min());
}

TEST_CASE("fair admission - an organisation that asks for ten times its share "
          "costs the others at most 2 % of theirs") {
    for (const site_size& size : {small, medium}) {
        shortage_options options = of_size(size);
        options.greedy = 10;
        const double kept = simulate(options, size.seeds / 3).mean_of_others();
        INFO(size.entries << " entries, others get " << kept);
        CHECK(kept >= 0.98);
        options.is_former = true;
        CHECK(simulate(options, 20).mean_of_others() < 0.98);
    }
}

TEST_CASE("fair admission - no kind is served more often than a more urgent "
          "one") {
    shortage_options options = of_size(small);
    CHECK(simulate(options, 50).is_in_order());
    shortage_options reversed = options;
    reversed.reverses_ranks = true;
    CHECK_FALSE(simulate(reversed, 20).is_in_order());
    options.is_former = true;
    CHECK_FALSE(simulate(options, 20).is_in_order());
}

TEST_CASE("fair admission - no kind of an organisation over its share "
          "starves") {
    shortage_options options = of_size(small);
    options.cool_down_s = 20;
    CHECK(simulate(options, 20).is_none_starved());
    options.ages_callers = false;
    options.common_part = 0;
    CHECK_FALSE(simulate(options, 20).is_none_starved());
}

// Guards against shares that keep to a capacity which has risen since.
TEST_CASE("fair admission - servers that return are used at once") {
    shortage_options options = of_size(small);
    options.servers_gone = 0.5;
    options.overload = 1.3;
    CHECK(simulate(options, 50).idle < 0.03);
    options.uses_spare = false;
    CHECK(simulate(options, 20).idle > 0.03);
}

TEST_CASE("fair admission - without shortage every request is served in time") {
    shortage_options options = of_size(small);
    options.overload = 0.7;
    const summary result = simulate(options, 20);
    CHECK(result.in_time == Approx(1));
    CHECK(result.refused == 0);
}

TEST_CASE("fair admission - more callers are served in time than before") {
    fmt::print("entries              in time  late refused worst organisation "
               "worst kind\n");
    for (const site_size& size : {small, medium, large}) {
        shortage_options options = of_size(size);
        options.cool_down_s = 20;
        const std::uint64_t seeds = size.entries > 50 ? 1 : 10;
        const summary fair = simulate(options, seeds);
        options.is_former = true;
        const summary former = simulate(options, seeds);
        print(fmt::format("{} fair shares", size.entries), fair);
        print(fmt::format("{} former", size.entries), former);
        CHECK(fair.in_time > former.in_time);
        CHECK(fair.refused < former.refused);
        CHECK(fair.worst_organisation() > former.worst_organisation());
        CHECK(fair.worst_kind() > former.worst_kind());
    }
}
