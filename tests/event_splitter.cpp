#include <ospreystage/serving/event_splitter.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

TEST_CASE("event splitter - returns complete events only") {
    event_splitter splitter;
    CHECK(splitter.feed("id: 1\ndata: a").empty());
    const auto events = splitter.feed("\n\nid: 2\ndata: b\n\nid: 3\n");
    REQUIRE(events.size() == 2);
    CHECK(events[0].text == "id: 1\ndata: a\n\n");
    CHECK(events[0].id == 1U);
    CHECK(events[1].id == 2U);
    CHECK(splitter.remainder() == "id: 3\n");
}

TEST_CASE("event splitter - carriage returns and events without id") {
    event_splitter splitter;
    const auto events = splitter.feed("data: a\r\n\r\nid:7\r\ndata\r\n\r\n");
    REQUIRE(events.size() == 2);
    CHECK_FALSE(events[0].id);
    CHECK(events[1].id == 7U);
}

TEST_CASE("event splitter - reset drops an incomplete event") {
    event_splitter splitter;
    CHECK(splitter.feed("id: 4\nda").empty());
    splitter.reset();
    const auto events = splitter.feed("id: 5\ndata: x\n\n");
    REQUIRE(events.size() == 1);
    CHECK(events[0].id == 5U);
}

TEST_CASE("event splitter - comments are told from events") {
    CHECK(is_comment({":\n\n", std::nullopt}));
    CHECK(is_comment({": still here\r\n\r\n", std::nullopt}));
    CHECK_FALSE(is_comment({": a\ndata: b\n\n", std::nullopt}));
    CHECK_FALSE(is_comment({"id: 4\n\n", 4}));
}
