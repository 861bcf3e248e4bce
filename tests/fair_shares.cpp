#include <ospreystage/serving/fair_shares.hpp>

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <random>

using namespace ospreystage;

namespace {

const instant start{seconds(1000)};
constexpr std::uint64_t service = 7;
const std::uint64_t harbour = organisation_key("harbour");
const std::uint64_t museum = organisation_key("museum");

organisation_demand demand_of(double received, double served,
                              std::uint32_t rank = 0) {
    organisation_demand result;
    result.received.at(rank) = received;
    result.served = served;
    result.own_received = received / 4;
    return result;
}

/// Shares of which the last update has the given demand.
fair_shares shares_of(const std::map<std::uint64_t, organisation_demand>& all,
                      const fair_shares::options& limits = {}) {
    fair_shares result(limits, 1);
    service_demand demand;
    demand.organisations = all;
    demand.entries = 4;
    demand.oldest_age = milliseconds(300);
    for (int number = 0; number < 2; ++number)
        result.update(service, demand, start + milliseconds(500) * number);
    return result;
}

/// Returns the part of 1,000 requests that is admitted.
double admitted(fair_shares& shares, std::uint64_t organisation,
                server_room room = server_room::tight, std::uint32_t rank = 0) {
    int count = 0;
    for (int number = 0; number < 1000; ++number)
        if (std::holds_alternative<share_admitted>(shares.decide(
                {service, organisation, rank, 1}, room, start + seconds(1))))
            ++count;
    return count / 1000.0;
}

} // namespace

TEST_CASE("fair shares - the max-min level shares what is left evenly") {
    CHECK(max_min_level({1, 2, 9}, 6) == Approx(3));
    CHECK(max_min_level({10, 10}, 6) == Approx(3));
    CHECK(std::isinf(max_min_level({1, 2}, 3)));
    CHECK(std::isinf(max_min_level({}, 0)));
    // The level of random demands uses the whole capacity.
    std::mt19937_64 random(1);
    std::uniform_real_distribution<double> draw(0, 100);
    for (int round = 0; round < 1000; ++round) {
        std::vector<double> demands(24);
        double total = 0;
        for (double& demand : demands)
            total += demand = draw(random);
        const double capacity = total * 0.6;
        const double level = max_min_level(demands, capacity);
        double used = 0;
        for (const double demand : demands)
            used += std::min(demand, level);
        CHECK(used == Approx(capacity));
    }
}

TEST_CASE("fair shares - an organisation over its share is refused while "
          "another one is under its own") {
    fair_shares shares =
        shares_of({{harbour, demand_of(900, 80)}, {museum, demand_of(20, 20)}});
    CHECK(admitted(shares, museum) == 1);
    CHECK(admitted(shares, harbour) == Approx(80.0 / 900).margin(0.02));
    share_verdict verdict = share_admitted{};
    while (std::holds_alternative<share_admitted>(verdict))
        verdict = shares.decide({service, harbour, 0, 1}, server_room::tight,
                                start + seconds(1));
    const auto refused = std::get<share_refused>(verdict);
    CHECK(refused.is_over_share);
    CHECK(refused.figures.received == Approx(900));
    CHECK(refused.figures.capacity == Approx(100));
    CHECK(refused.figures.share <= 80);
    CHECK(refused.figures.entries == 4);
    CHECK(refused.figures.age == milliseconds(800));
}

// Guards against idle servers: the unused share has to go to the others.
TEST_CASE("fair shares - spare room is open to all, no room to none") {
    fair_shares shares =
        shares_of({{harbour, demand_of(900, 80)}, {museum, demand_of(20, 20)}});
    CHECK(admitted(shares, harbour, server_room::spare) == 1);
    CHECK(admitted(shares, museum, server_room::none) == 0);
    CHECK(admitted(shares, harbour, server_room::none) == 0);
}

TEST_CASE("fair shares - a single organisation may use everything") {
    fair_shares alone = shares_of({{harbour, demand_of(200, 100)}});
    CHECK(admitted(alone, harbour) == Approx(0.5).margin(0.03));
    fair_shares enough = shares_of({{harbour, demand_of(100, 100)}});
    CHECK(admitted(enough, harbour) == 1);
}

TEST_CASE("fair shares - an organisation without known demand is admitted") {
    fair_shares shares = shares_of({{harbour, demand_of(900, 80)}});
    CHECK(admitted(shares, museum) == 1);
    fair_shares unknown({}, 1);
    CHECK(admitted(unknown, museum) == 1);
}

TEST_CASE("fair shares - within a share the more urgent ranks come first and "
          "none starves") {
    organisation_demand demand = demand_of(100, 150, 0);
    demand.received.at(2) = 100;
    demand.received.at(5) = 100;
    fair_shares shares =
        shares_of({{harbour, demand}, {museum, demand_of(50, 50)}});
    const double first = admitted(shares, harbour, server_room::tight, 0);
    const double second = admitted(shares, harbour, server_room::tight, 2);
    const double third = admitted(shares, harbour, server_room::tight, 5);
    CHECK(first == 1);
    CHECK(second < first);
    CHECK(second > third);
    CHECK(third > 0.03);
    CHECK(first + second + third == Approx(1.45).margin(0.1));
}

// Guards against an organisation that is always served a little less.
TEST_CASE("fair shares - what an organisation got too little is balanced") {
    const std::map<std::uint64_t, organisation_demand> demand{
        {harbour, demand_of(200, 70)}, {museum, demand_of(200, 30)}};
    fair_shares shares = shares_of(demand);
    CHECK(admitted(shares, museum) > admitted(shares, harbour) + 0.03);
}

// Guards against the capacity of an earlier shortage that limits a later one.
TEST_CASE("fair shares - after a pause the capacity is measured anew") {
    fair_shares shares =
        shares_of({{harbour, demand_of(900, 80)}, {museum, demand_of(20, 20)}});
    service_demand later;
    later.organisations = {{harbour, demand_of(900, 480)},
                           {museum, demand_of(20, 20)}};
    shares.update(service, later, start + seconds(60));
    CHECK(shares.figures(service, harbour, start + seconds(60)).capacity ==
          Approx(500));
    later.organisations.at(harbour).served = 380;
    shares.update(service, later, start + milliseconds(60'500));
    const double smoothed =
        shares.figures(service, harbour, start + milliseconds(60'500)).capacity;
    CHECK(smoothed < 500);
    CHECK(smoothed > 450);
}

TEST_CASE("fair shares - the rate of an entry is its part of the share") {
    const fair_shares shares =
        shares_of({{harbour, demand_of(900, 80)}, {museum, demand_of(20, 20)}});
    CHECK(shares.own_rate(service, museum) == Approx(5));
    CHECK(shares.own_rate(service, harbour) == Approx(80 * 0.95 / 4));
    CHECK(shares.own_rate(service + 1, harbour) == 0);
}
