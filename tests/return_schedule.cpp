#include <ospreystage/serving/return_schedule.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace ospreystage;

namespace {

const instant start{seconds(1000)};

return_request caller(milliseconds left, double rate = 1000,
                      std::uint64_t units = 100) {
    return {7, 8, units, rate, left, seconds(20)};
}

} // namespace

// Guards against callers that are told to return when they no longer wait.
TEST_CASE("return schedule - a return takes at most a third of the time left") {
    return_schedule schedule({}, 1);
    std::mt19937_64 random(1);
    std::uniform_int_distribution<int> left(0, 30'000);
    std::uniform_real_distribution<double> rate(0, 5000);
    for (int number = 0; number < 2000; ++number) {
        const milliseconds time_left(left(random));
        const milliseconds delay = schedule.book(
            caller(time_left, rate(random)), start + milliseconds(number));
        CHECK(delay >= milliseconds(0));
        CHECK(delay <= time_left / 3 + milliseconds(1));
        CHECK(delay <= seconds(5));
    }
    CHECK(schedule.book(caller(milliseconds(-50)), start + seconds(3)) ==
          milliseconds(0));
}

// Guards against a second burst when the refused ones of the first return.
TEST_CASE("return schedule - those refused together return at the rate at "
          "which they are served") {
    return_schedule schedule({}, 1);
    std::map<std::int64_t, int> returns;
    for (int number = 0; number < 40; ++number)
        ++returns[schedule.book(caller(seconds(20)), start) /
                  milliseconds(500)];
    // 1,000 units a second are five callers in half a second.
    for (const auto& [interval, count] : returns)
        CHECK(count <= 8);
    CHECK(returns.rbegin()->first >= 6);
    // Without the bookings of the others all of them return together.
    for (std::uint64_t seed = 1; seed <= 40; ++seed)
        CHECK(return_schedule({}, seed).book(caller(seconds(20)), start) <=
              milliseconds(200));
}

TEST_CASE("return schedule - those that have waited longest return first") {
    return_schedule schedule({}, 1);
    for (int number = 0; number < 30; ++number)
        (void)schedule.book(caller(seconds(20)), start);
    const milliseconds fresh = schedule.book(caller(seconds(20)), start);
    const milliseconds waited = schedule.book(caller(seconds(5)), start);
    CHECK(waited < fresh);
}

TEST_CASE("return schedule - a free service is tried again soon") {
    return_schedule schedule({}, 1);
    CHECK(schedule.book(caller(seconds(20)), start) <= milliseconds(200));
    // What was booked before is over.
    for (int number = 0; number < 30; ++number)
        (void)schedule.book(caller(seconds(20)), start);
    CHECK(schedule.book(caller(seconds(20)), start + seconds(6)) <=
          milliseconds(200));
}

TEST_CASE("return schedule - organisations are booked apart") {
    return_schedule schedule({}, 1);
    for (int number = 0; number < 30; ++number)
        (void)schedule.book(caller(seconds(20)), start);
    return_request other = caller(seconds(20));
    other.organisation = 9;
    CHECK(schedule.book(other, start) <= milliseconds(200));
}

TEST_CASE("return schedule - without a known rate the longest time is told") {
    return_schedule schedule({}, 1);
    (void)schedule.book(caller(seconds(20), 0), start);
    CHECK(schedule.book(caller(seconds(20), 0), start) > seconds(1));
}
