#include <ospreystage/routing/route_table.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

route make_route(std::string prefix, std::string service) {
    route result;
    result.host = "a.example";
    result.path_prefix = std::move(prefix);
    result.targets = {{std::move(service), 1}};
    result.priority = 3;
    return result;
}

routing_configuration make_configuration(std::uint64_t version) {
    routing_configuration result;
    result.version = version;
    result.routes = {make_route("/x/", "wide"), make_route("/x/y/", "narrow")};
    result.organisations = {{"mills", {"key-1"}, 1, {}},
                            {"dairy", {"key-2"}, {}, {}}};
    return result;
}

std::string service_of(const routing_decision& decision) {
    const auto* routed = std::get_if<routed_request>(&decision);
    return routed == nullptr ? ""
                             : routed->matched_route->targets.front().service;
}

} // namespace

TEST_CASE("route table - reports no configuration before the first one") {
    const route_table table;
    CHECK(std::holds_alternative<not_configured>(
        table.decide("a.example", "/x/", "key-1")));
}

TEST_CASE("route table - the longest prefix decides, the query does not") {
    route_table table;
    REQUIRE(table.apply(make_configuration(7)));
    CHECK(service_of(table.decide("a.example", "/x/z", "key-1")) == "wide");
    CHECK(service_of(table.decide("A.example:80", "/x/y/z?q=/x/", "key-1")) ==
          "narrow");
    CHECK(std::holds_alternative<no_route>(
        table.decide("a.example", "/z?/x/", "key-1")));
    CHECK(std::holds_alternative<no_route>(
        table.decide("b.example", "/x/", "key-1")));
}

TEST_CASE(
    "route table - a request needs a known key unless its route is public") {
    route_table table;
    routing_configuration configuration = make_configuration(7);
    configuration.routes.push_back(make_route("/open/", "open"));
    configuration.routes.back().is_public = true;
    REQUIRE(table.apply(configuration));
    CHECK(std::holds_alternative<unknown_key>(
        table.decide("a.example", "/x/", "")));
    CHECK(std::holds_alternative<unknown_key>(
        table.decide("a.example", "/x/", "key-9")));
    CHECK(service_of(table.decide("a.example", "/open/", "")) == "open");
}

TEST_CASE("route table - an organisation's priority overrides the route's") {
    route_table table;
    REQUIRE(table.apply(make_configuration(7)));
    const auto mills = table.decide("a.example", "/x/", "key-1");
    const auto dairy = table.decide("a.example", "/x/", "key-2");
    CHECK(std::get<routed_request>(mills).priority == 1);
    CHECK(std::get<routed_request>(dairy).priority == 3);
}

TEST_CASE("route table - never reverts to an older version") {
    route_table table;
    REQUIRE(table.apply(make_configuration(7)));
    CHECK_FALSE(table.apply(make_configuration(7)));
    CHECK_FALSE(table.apply(make_configuration(5)));
    CHECK(table.current().version == 7);
}

TEST_CASE("route table - weights split the requests of a route") {
    route weighted_route = make_route("/x/", "a");
    weighted_route.targets = {{"a", 90}, {"b", 10}, {"c", 0}};
    CHECK(route_table::choose_service(weighted_route, 0.0) == "a");
    CHECK(route_table::choose_service(weighted_route, 0.89) == "a");
    CHECK(route_table::choose_service(weighted_route, 0.91) == "b");
    CHECK(route_table::choose_service(weighted_route, 0.9999) == "b");
}
