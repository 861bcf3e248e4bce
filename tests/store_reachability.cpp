#include <ospreystage/fleet/store_reachability.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

const instant start{};

instant at(int time_ms) {
    return start + milliseconds(time_ms);
}

} // namespace

TEST_CASE(
    "store reachability - the first answer after failures ends the loss") {
    store_reachability store;
    CHECK_FALSE(store.on_answer(at(0)));
    store.on_failure(at(100));
    CHECK(store.is_lost());
    store.on_failure(at(1200));
    CHECK(store.on_answer(at(2300)));
    CHECK_FALSE(store.is_lost());
    CHECK_FALSE(store.on_answer(at(2400)));
}

TEST_CASE(
    "store reachability - a call that fails after a later one was answered "
    "shows no loss") {
    store_reachability store;
    CHECK_FALSE(store.on_answer(at(1000)));
    store.on_failure(at(900));
    CHECK_FALSE(store.is_lost());
}

TEST_CASE("store reachability - refusals that alternate with answers end no "
          "loss") {
    store_reachability store;
    for (int time_ms = 0; time_ms < 2000; time_ms += 200) {
        store.on_failure(at(time_ms));
        CHECK_FALSE(store.on_answer(at(time_ms + 100)));
    }
}
