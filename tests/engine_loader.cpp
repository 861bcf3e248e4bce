#include <ospreystage/weights/engine_loader.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

constexpr std::uint32_t chunks = 4;
const instant start = instant{} + seconds(100);

chunk_bitmap staged(std::initializer_list<std::uint32_t> indexes) {
    chunk_bitmap result(chunks);
    for (const std::uint32_t index : indexes)
        result.set(index);
    return result;
}

template <typename Action>
bool is(const loader_action& action) {
    return std::holds_alternative<Action>(action);
}

/// Returns a loader of an agent that holds version 2; its engine uses `in_use`.
engine_loader holding(std::uint64_t in_use, instant switch_at) {
    engine_loader loader;
    loader.request_version(2, chunks, switch_at);
    loader.on_held(2);
    loader.on_report({in_use, false, 5, 1}, start);
    return loader;
}

/// Reports to the loader that every chunk is staged.
void stage_all(engine_loader& loader, instant now) {
    REQUIRE(is<check_staged>(loader.next(now)));
    loader.on_checked(staged({0, 1, 2, 3}), now, now);
    loader.on_done(true, now);
}

} // namespace

TEST_CASE("engine loader - an engine without weights is ordered immediately") {
    engine_loader loader = holding(0, start + seconds(60));
    stage_all(loader, start);
    const loader_action action = loader.next(start);
    REQUIRE(is<order_switch>(action));
    CHECK(std::get<order_switch>(action).version == 2);
    CHECK(std::get<order_switch>(action).orders_before == 5);
}

TEST_CASE("engine loader - missing chunks are staged and compared again") {
    engine_loader loader = holding(0, start);
    REQUIRE(is<check_staged>(loader.next(start)));
    loader.on_checked(staged({0, 2}), start, start);
    loader.on_done(true, start);
    const loader_action action = loader.next(start);
    REQUIRE(is<stage_chunks>(action));
    CHECK(std::get<stage_chunks>(action).indexes ==
          std::vector<std::uint32_t>{1, 3});
    loader.on_done(true, start);
    CHECK(is<check_staged>(loader.next(start)));
}

TEST_CASE("engine loader - nothing is ordered on an old comparison") {
    engine_loader loader = holding(0, start);
    stage_all(loader, start);
    CHECK(is<check_staged>(loader.next(start + seconds(1))));
}

// Guards against an order on a chunk that was compared at the beginning of a
// long comparison and has become corrupt since.
TEST_CASE(
    "engine loader - a comparison of a slow engine is as old as its first "
    "read and is repeated with more reads at the same time") {
    engine_loader loader = holding(0, start);
    instant began = start;
    instant now = start;
    std::uint32_t reads = 0;
    while (true) {
        const loader_action action = loader.next(now);
        if (const auto* order = std::get_if<order_switch>(&action)) {
            CHECK(now - began <= milliseconds(1500));
            CHECK(now <= order->valid_until);
            break;
        }
        REQUIRE(is<check_staged>(action));
        // An engine that takes 12 s to return all chunks one by one.
        const auto parallel = std::get<check_staged>(action).parallel_reads;
        CHECK(parallel >= reads);
        reads = parallel;
        began = now;
        now += seconds(12) / parallel;
        loader.on_checked(staged({0, 1, 2, 3}), began, now);
        loader.on_done(true, now);
        REQUIRE(now - start < seconds(30));
    }
    // The first comparison shows how many reads are needed.
    CHECK(now - start < seconds(13));
}

TEST_CASE("engine loader - an order is valid until its comparison is too old") {
    engine_loader loader = holding(0, start);
    REQUIRE(is<check_staged>(loader.next(start)));
    const instant ended = start + milliseconds(1000);
    loader.on_checked(staged({0, 1, 2, 3}), start, ended);
    loader.on_done(true, ended);
    const loader_action action = loader.next(ended);
    REQUIRE(is<order_switch>(action));
    CHECK(std::get<order_switch>(action).valid_until ==
          start + engine_loader::options{}.max_read_age);
}

TEST_CASE("engine loader - nothing happens until every chunk is held") {
    engine_loader loader;
    loader.request_version(2, chunks, start);
    loader.on_report({0, false, 0, 1}, start);
    CHECK(is<std::monostate>(loader.next(start)));
}

TEST_CASE("engine loader - a serving engine waits for its switch time") {
    const instant switch_at = start + seconds(3);
    engine_loader loader = holding(1, switch_at);
    stage_all(loader, start);
    CHECK(is<std::monostate>(loader.next(start + seconds(2))));
    CHECK(is<announce_switch>(loader.next(switch_at)));
    loader.on_done(true, switch_at);
    CHECK(loader.is_announced());
    CHECK(is<std::monostate>(loader.next(switch_at + milliseconds(100))));
    const instant later = switch_at + milliseconds(300);
    stage_all(loader, later);
    CHECK(is<order_switch>(loader.next(later)));
}

TEST_CASE("engine loader - a restarted engine is compared again") {
    engine_loader loader = holding(0, start);
    stage_all(loader, start);
    loader.on_report({0, false, 0, 2}, start);
    CHECK(is<check_staged>(loader.next(start)));
}

TEST_CASE("engine loader - nothing is ordered while the engine loads") {
    engine_loader loader = holding(0, start);
    loader.on_report({0, true, 6, 1}, start);
    CHECK(is<std::monostate>(loader.next(start)));
}

TEST_CASE("engine loader - never goes back to an older version") {
    engine_loader loader = holding(3, start);
    CHECK(is<std::monostate>(loader.next(start)));
}

TEST_CASE("engine loader - a failed action is retried after a backoff") {
    engine_loader loader = holding(0, start);
    REQUIRE(is<check_staged>(loader.next(start)));
    loader.on_done(false, start);
    CHECK(is<std::monostate>(loader.next(start + milliseconds(100))));
    CHECK(is<check_staged>(loader.next(start + seconds(1))));
}

TEST_CASE("engine loader - switch delays are spread evenly") {
    CHECK(switch_delay(0, 5, seconds(2), seconds(6)) == seconds(2));
    CHECK(switch_delay(2, 5, seconds(2), seconds(6)) == seconds(4));
    CHECK(switch_delay(4, 5, seconds(2), seconds(6)) == seconds(6));
    CHECK(switch_delay(9, 5, seconds(2), seconds(6)) == seconds(6));
    CHECK(switch_delay(0, 1, seconds(2), seconds(6)) == seconds(2));
}

TEST_CASE(
    "engine loader - an engine that is leaving gets no order until it has "
    "started anew") {
    const bool is_in_report = GENERATE(true, false);
    // A start shows in its time, or only in the count of orders.
    const engine_state_report restarted =
        GENERATE(engine_state_report{0, false, 5, 2},
                 engine_state_report{0, false, 0, 1});
    engine_loader loader = holding(0, start);
    engine_state_report report{0, false, 5, 1};
    report.is_leaving = is_in_report;
    loader.on_report(report, start);
    if (!is_in_report)
        loader.on_leaving();
    CHECK(is<std::monostate>(loader.next(start)));
    // A later report that does not say so is of the same start.
    report.is_leaving = false;
    loader.on_report(report, start);
    CHECK(is<std::monostate>(loader.next(start)));
    loader.on_report(restarted, start);
    CHECK(is<check_staged>(loader.next(start)));
}

TEST_CASE("engine loader - a leaving engine that was about to switch is no "
          "longer announced") {
    engine_loader loader = holding(1, start);
    stage_all(loader, start);
    REQUIRE(is<announce_switch>(loader.next(start)));
    loader.on_done(true, start);
    loader.on_leaving();
    CHECK_FALSE(loader.is_announced());
    CHECK(is<std::monostate>(loader.next(start + seconds(10))));
}

TEST_CASE("engine loader - an engine that wants a pause gets no order before "
          "the end of the longest one") {
    engine_loader loader = holding(0, start);
    loader.on_pause(start + seconds(2));
    loader.on_pause(start + seconds(1));
    CHECK(is<std::monostate>(loader.next(start + milliseconds(1999))));
    CHECK(is<check_staged>(loader.next(start + seconds(2))));
}
