#include <ospreystage/serving/crash_series.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

constexpr instant start{seconds(1000)};

/// An end of server 1, `sent` and `at` after the start of the test.
server_end make_end(std::int64_t started_unix_ms, milliseconds sent,
                    milliseconds at) {
    return {1, started_unix_ms, start + sent, start + at};
}

/// Twenty seconds of a service.
crash_sample make_sample(std::size_t crashes, milliseconds exposure,
                         std::size_t other_crashes, int servers) {
    return {crashes, exposure, other_crashes, seconds(20) * servers};
}

} // namespace

// ---- Ends of one server ----------------------------------------------------

TEST_CASE("crash series - a server that has started again under its id ends "
          "again") {
    crash_series ends;
    CHECK(ends.add(make_end(100, seconds(0), milliseconds(50))));
    CHECK(ends.add(make_end(200, seconds(3), milliseconds(3050))));
    CHECK(ends.add(make_end(300, seconds(6), milliseconds(6050))));
    CHECK(ends.size() == 3);
}

TEST_CASE("crash series - one end that entries report with different starts "
          "counts once") {
    // The second report is late, as its connection was silent meanwhile.
    const std::int64_t first = GENERATE(0, 100, 200);
    const std::int64_t second = GENERATE(0, 100, 200);
    CAPTURE(first, second);
    crash_series ends;
    CHECK(ends.add(make_end(first, milliseconds(0), milliseconds(50))));
    CHECK_FALSE(ends.add(make_end(second, milliseconds(20), seconds(3))));
    CHECK(ends.size() == 1);
}

TEST_CASE("crash series - a process that is reported again and again ends "
          "once") {
    crash_series ends;
    for (int number = 0; number < 6; ++number)
        ends.add(make_end(100, seconds(3 * number),
                          seconds(3 * number) + milliseconds(50)));
    CHECK(ends.size() == 1);
}

TEST_CASE("crash series - a server that states no start ends once") {
    crash_series ends;
    for (int number = 0; number < 6; ++number)
        ends.add(make_end(0, seconds(3 * number),
                          seconds(3 * number) + milliseconds(50)));
    CHECK(ends.size() == 1);
}

TEST_CASE("crash series - a start that is known late delays the count by one "
          "end") {
    crash_series ends;
    CHECK(ends.add(make_end(100, seconds(0), milliseconds(50))));
    CHECK_FALSE(ends.add(make_end(100, seconds(3), milliseconds(3050))));
    CHECK(ends.add(make_end(200, seconds(6), milliseconds(6050))));
    CHECK(ends.add(make_end(300, seconds(9), milliseconds(9050))));
    CHECK(ends.size() == 3);
}

TEST_CASE("crash series - a late report of an end does not hide the next "
          "one") {
    crash_series ends;
    CHECK(ends.add(make_end(100, seconds(0), milliseconds(50))));
    CHECK_FALSE(ends.add(make_end(100, milliseconds(40), seconds(4))));
    CHECK(ends.add(make_end(200, seconds(3), milliseconds(4010))));
    CHECK(ends.size() == 2);
}

// ---- Coincidence -----------------------------------------------------------

TEST_CASE("crash series - ends without any other one are no coincidence") {
    CHECK(chance_bound(make_sample(3, seconds(15), 0, 1)) == 0);
}

TEST_CASE("crash series - the chance rises with the time at the servers and "
          "with the other ends, and falls with the servers and the ends") {
    const double base = chance_bound(make_sample(3, milliseconds(300), 10, 3));
    CHECK(base > 0);
    CHECK(chance_bound(make_sample(3, milliseconds(600), 10, 3)) > base);
    CHECK(chance_bound(make_sample(3, milliseconds(300), 20, 3)) > base);
    CHECK(chance_bound(make_sample(3, milliseconds(300), 10, 30)) < base);
    CHECK(chance_bound(make_sample(4, milliseconds(400), 10, 3)) < base);
}

TEST_CASE("crash series - a sound request of a second beside servers that end "
          "every few seconds meets their ends by chance") {
    // Two servers, each of which ends every 4 s.
    CHECK(chance_bound(make_sample(3, milliseconds(1500), 10, 2)) > 1e-3);
    // A request that is cut within 50 ms each time.
    CHECK(chance_bound(make_sample(3, milliseconds(150), 10, 2)) < 1e-5);
}

TEST_CASE("crash series - ends of servers that were hardly up are likely") {
    CHECK(chance_bound({3, seconds(1), 5, milliseconds(0)}) > 1);
}
