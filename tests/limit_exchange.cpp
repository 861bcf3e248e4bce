#include "tests/support/limit_site.hpp"
#include "tests/support/limit_window.hpp"

#include <catch2/catch.hpp>

#include <cmath>
#include <random>

using namespace ospreystage;
using testing::limit_site;
using testing::limit_window;

namespace {

double draw(std::mt19937_64& random, double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(random);
}

/// A site with a random limit, number of entries and demand above the limit.
limit_site::options random_site(std::mt19937_64& random) {
    limit_site::options site;
    site.seed = random();
    site.entries = static_cast<int>(draw(random, 1, 41));
    site.regions = static_cast<int>(draw(random, 1, 5));
    site.per_second = std::exp(draw(random, std::log(0.2), std::log(40)));
    site.demand = site.per_second * draw(random, 1.5, 20) + 5;
    site.uneven_share = draw(random, 0, 1) < 0.3 ? draw(random, 0, 0.9) : 0;
    return site;
}

} // namespace

TEST_CASE("limit exchange - no span gets more than the limit allows, and most "
          "of it is used") {
    std::mt19937_64 random(22);
    for (int round = 0; round < 60; ++round) {
        const auto site = random_site(random);
        CAPTURE(round, site.seed, site.entries, site.per_second, site.demand);
        const auto result = limit_site(site).run();
        CHECK(result.max_arrivals <= limit_window::allowed(site.per_second));
        // Below one request a second the span is too short for a share.
        if (site.per_second >= 1)
            CHECK(result.served_share >= 2.0 / 3);
    }
}

TEST_CASE("limit exchange - lost and late datagrams, restarts and outdated "
          "lists of entries do not exceed a limit") {
    std::mt19937_64 random(23);
    double served = 0;
    constexpr int rounds = 100;
    for (int round = 0; round < rounds; ++round) {
        auto site = random_site(random);
        site.loss = draw(random, 0, 0.1);
        site.slow_share = draw(random, 0, 0.1);
        site.restarts = static_cast<int>(draw(random, 0, 6));
        site.cuts = static_cast<int>(draw(random, 0, 6));
        CAPTURE(round, site.seed, site.entries, site.per_second, site.demand,
                site.loss, site.restarts, site.cuts);
        const auto result = limit_site(site).run();
        CHECK(result.max_arrivals <= limit_window::allowed(site.per_second));
        served += result.served_share / rounds;
    }
    CHECK(served >= 2.0 / 3);
}

TEST_CASE("limit exchange - a limit that is no longer named ends everywhere") {
    std::mt19937_64 random(24);
    for (int round = 0; round < 20; ++round) {
        limit_site::options site;
        site.seed = random();
        site.entries = 35;
        site.per_second = draw(random, 0.5, 4);
        site.demand = 200;
        site.named_until = milliseconds(8000);
        CAPTURE(round, site.seed, site.per_second);
        const auto result = limit_site(site).run();
        // The whole demand arrives for most of the 16 s after it.
        CHECK(result.after_end > 200 * 8);
    }
}
