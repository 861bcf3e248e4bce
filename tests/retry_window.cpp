#include <ospreystage/serving/retry_window.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

const instant start{};

int spend_all(retry_window& window, std::uint32_t entries, instant now) {
    int spent = 0;
    while (spent < 1000 && window.spend(entries, now))
        ++spent;
    return spent;
}

} // namespace

TEST_CASE("retry window - all entries together stay within the budget") {
    constexpr double ratio = 0.2;
    constexpr double allowance = 100;
    constexpr std::uint32_t entries = 8;
    constexpr int requests_each = 50;
    int spent = 0;
    for (std::uint32_t entry = 0; entry < entries; ++entry) {
        retry_window window({ratio, allowance, seconds(10)});
        for (int request = 0; request < requests_each; ++request)
            window.on_request(start);
        spent += spend_all(window, entries, start);
    }
    CHECK(spent <= ratio * requests_each * entries + allowance);
    CHECK(spent > 0);
}

TEST_CASE("retry window - new limits count retries spent before") {
    retry_window window({0, 10, seconds(10)});
    const int spent = spend_all(window, 1, start);
    window.set_limits({0, 20, seconds(10)});
    const int more = spend_all(window, 1, start);
    CHECK(more > 0);
    CHECK(spent + more <= 20);
    window.set_limits({0, 5, seconds(10)});
    CHECK(spend_all(window, 1, start) == 0);
}

TEST_CASE("retry window - spent retries count for a whole window") {
    retry_window window({0, 10, seconds(10)});
    const int spent = spend_all(window, 1, start);
    CHECK(spent > 0);
    CHECK(spend_all(window, 1, start + seconds(9)) == 0);
    CHECK(spend_all(window, 1, start + seconds(11)) == spent);
}
