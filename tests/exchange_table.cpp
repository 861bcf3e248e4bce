#include <ospreystage/exchange_table.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

constexpr milliseconds short_wait{100};

outcome refused_as(exchange_table& exchanges, request_id id) {
    const auto event = exchanges.next(id, short_wait);
    REQUIRE(event.has_value());
    REQUIRE(std::holds_alternative<refuse_action>(*event));
    return std::get<refuse_action>(*event).result;
}

} // namespace

TEST_CASE("exchange table - every request has an outcome after the end") {
    exchange_table exchanges;
    const request_id open = exchanges.open();
    exchanges.abandon_all();
    const request_id late = exchanges.open();
    CHECK(refused_as(exchanges, open) == outcome::unknown);
    CHECK(refused_as(exchanges, late) == outcome::not_run);
}
