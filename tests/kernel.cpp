#include <ospreystage/core/kernel.hpp>

#include <catch2/catch.hpp>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <stdexcept>
#include <thread>

using namespace ospreystage;

TEST_CASE("kernel - an unexpected error in one task, timer or handler does not "
          "end the process") {
    kernel core;
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    REQUIRE(write(pipe_ends[1], "x", 1) == 1);
    int handled = 0;
    core.watch(pipe_ends[0], EPOLLIN, [&](std::uint32_t) {
        ++handled;
        core.close(pipe_ends[0]);
        throw std::runtime_error("handler");
    });
    core.post("test", [] { throw std::out_of_range("task"); });
    core.after("test", milliseconds(1), [] { throw 7; });
    core.at_turn_end([] { throw std::runtime_error("end of turn"); });
    int rounds = 0;
    core.every("test", milliseconds(2), [&] {
        if (++rounds == 5)
            core.stop();
        throw std::runtime_error("periodic task");
    });
    core.after("test", seconds(5), [&] { core.stop(); });
    core.run();
    CHECK(handled == 1);
    CHECK(rounds == 5);
    close(pipe_ends[1]);
}

TEST_CASE("kernel - runs while a condition holds and again afterwards until it "
          "is stopped") {
    kernel core;
    int turns = 0;
    core.every("test", milliseconds(1), [&] { ++turns; });
    core.run_while([&] { return turns < 3; });
    CHECK(turns == 3);
    core.run_while([&] { return turns < 5; });
    CHECK(turns == 5);
    core.after("test", milliseconds(5), [&] { core.stop(); });
    core.run_while([] { return true; });
    const int stopped_at = turns;
    core.run_while([] { return true; });
    CHECK(turns == stopped_at);
}

TEST_CASE("kernel - an event that a late loop handles has happened after the "
          "time that it gives for the event") {
    kernel core;
    std::array<int, 2> pipe_ends{};
    REQUIRE(pipe(pipe_ends.data()) == 0);
    instant written{};
    instant last_turn{};
    core.after("test", milliseconds(5), [&] {
        // The event comes while the loop is held up.
        last_turn = steady::now();
        REQUIRE(write(pipe_ends[1], "x", 1) == 1);
        written = steady::now();
        std::this_thread::sleep_for(milliseconds(60));
    });
    std::optional<instant> since;
    core.watch(pipe_ends[0], EPOLLIN, [&](std::uint32_t) {
        since = core.events_since();
        core.stop();
    });
    core.after("test", seconds(5), [&] { core.stop(); });
    core.run();
    REQUIRE(since);
    CHECK(*since <= written);
    CHECK(*since > last_turn - milliseconds(50));
    close(pipe_ends[0]);
    close(pipe_ends[1]);
}
