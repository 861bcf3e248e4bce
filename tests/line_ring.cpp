#include <ospreystage/core/line_ring.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <thread>

using namespace ospreystage;

TEST_CASE("line ring - lines are returned in order") {
    line_ring ring(100);
    CHECK(ring.push("one\n", false));
    CHECK(ring.push("two\n", true));
    CHECK(ring.take() == "one\ntwo\n");
    CHECK(ring.pending_bytes() == 0);
}

TEST_CASE("line ring - without a reader the capacity bounds the backlog") {
    line_ring ring(1000);
    int accepted = 0;
    for (int line = 0; line < 10'000; ++line)
        accepted += ring.push("0123456789", false) ? 1 : 0;
    CHECK(accepted == 50);
    // Failure lines may still use the other half of the capacity.
    CHECK(ring.push("failure", true));
    while (ring.push("0123456789", true))
        continue;
    CHECK(ring.pending_bytes() <= 1000);
    CHECK(ring.take().find("failure") != std::string::npos);
}

TEST_CASE(
    "line ring - the final wait ends at its limit or when all is written") {
    line_ring ring(1000);
    ring.push("line\n", false);
    CHECK_FALSE(ring.wait_until_written(milliseconds(20)));
    std::thread writer([&] {
        const std::string text = ring.take();
        CHECK(text == "line\n");
        ring.on_written();
    });
    CHECK(ring.wait_until_written(seconds(5)));
    writer.join();
}

TEST_CASE("line quota - the limit applies to each kind separately") {
    line_quota quota(3);
    const instant start = steady::now();
    int accepted = 0;
    for (int line = 0; line < 10; ++line)
        accepted += quota.take("often", start) ? 1 : 0;
    CHECK(accepted == 3);
    CHECK(quota.take("rare", start));
    CHECK(quota.take("often", start + seconds(1)));
}
