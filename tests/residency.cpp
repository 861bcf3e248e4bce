#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <ospreystage/serving/residency.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <string>
#include <vector>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

using names = std::vector<std::string>;

/// Answers that count how often the server ran a request.
scripted_server::script counting(std::atomic<int>& runs) {
    return [&runs](const std::string&) {
        ++runs;
        return scripted_answer{make_response(200, "", "done")};
    };
}

/// Returns a refusal that leaves the time to apply a configuration meanwhile.
scripted_answer late_refusal() {
    scripted_answer answer;
    answer.delayed_bytes = make_response(503, "X-Not-Executed: 1\r\n", "");
    answer.delay = milliseconds(120);
    return answer;
}

bool has_refusal(const gateway_fixture& fixture, const std::string& reason) {
    return fixture.gateway_metrics.text().find(
               "ospreystage_selection_refusals_total{reason=\"" + reason +
               "\"} 1\n") != std::string::npos;
}

} // namespace

TEST_CASE("residency - where a route and an organisation both have regions, a "
          "request may run in those of both") {
    route matched;
    organisation_keys caller;
    const auto allowed = [&] { return regions_of(&matched, &caller); };
    CHECK(allowed().allows_all());
    caller.regions = {"east", "west"};
    CHECK(allowed().allows("west"));
    CHECK_FALSE(allowed().allows("north"));
    matched.regions = {"west", "north"};
    CHECK(allowed().allows("west"));
    CHECK_FALSE(allowed().allows("east"));
    CHECK_FALSE(allowed().allows("north"));
    CHECK(regions_of(&matched, nullptr).allows("north"));
    // An empty intersection must not count as no bound.
    matched.regions = {"north"};
    CHECK_FALSE(allowed().allows_all());
    for (const char* region : {"north", "east", "west", ""})
        CHECK_FALSE(allowed().allows(region));
}

TEST_CASE("residency - the narrower of the configuration of acceptance and the "
          "current one holds") {
    routing_configuration configuration;
    configuration.version = 1;
    route& added = configuration.routes.emplace_back();
    added.host = "a.example";
    added.path_prefix = "/x/";
    added.regions = {"west", "north"};
    configuration.organisations = {{"mills", {"key"}, {}, {}}};
    route_table routes;
    REQUIRE(routes.apply(configuration));
    const allowed_regions accepted =
        regions_of(routes.find_route("a.example", "/x/1"), nullptr);
    const auto now = [&] {
        return current_regions(accepted, "a.example", "/x/1?q=2", "mills",
                               routes);
    };
    const auto apply = [&] {
        ++configuration.version;
        REQUIRE(routes.apply(configuration));
    };
    CHECK(now() == accepted);
    configuration.organisations.front().regions = {"north", "east"};
    apply();
    CHECK(now().allows("north"));
    CHECK_FALSE(now().allows("west"));
    // A wider configuration does not widen what the request was accepted for.
    configuration.organisations.front().regions = {};
    configuration.routes.front().regions = {};
    apply();
    CHECK(now() == accepted);
    // Neither does one without the route and the organisation.
    configuration.organisations.clear();
    configuration.routes.clear();
    apply();
    CHECK(now() == accepted);
}

TEST_CASE("residency - requests run at servers of their regions only, and "
          "anywhere without regions") {
    std::atomic<int> inside{0};
    std::atomic<int> outside{0};
    const scripted_server first(counting(outside));
    const scripted_server second(counting(inside));
    const scripted_server third(counting(outside));
    for (const bool is_restricted : {true, false}) {
        inside = outside = 0;
        gateway_fixture fixture;
        fixture.add_route(request_kind::non_idempotent, false);
        fixture.add_servers_in({{first.endpoint(), "east-1"},
                                {second.endpoint(), "west-1"},
                                {third.endpoint(), "north-1"}});
        if (is_restricted)
            fixture.allow_regions({"west", "south"});
        for (const auto& result : fixture.send_requests(30))
            CHECK(result.response.status == 200);
        CHECK(inside + outside == 30);
        CHECK((outside == 0) == is_restricted);
    }
}

TEST_CASE(
    "evacuations - new requests and retries go to other data centres, and "
    "streams that run there go on") {
    std::atomic<int> runs{0};
    std::atomic<int> other_runs{0};
    const scripted_server first([&](const std::string&) {
        ++runs;
        scripted_answer answer;
        answer.delayed_bytes = make_event_stream(1, 6, true);
        answer.delay = milliseconds(150);
        return answer;
    });
    const scripted_server second(counting(other_runs));
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers_in({{first.endpoint(), "west-1"}});
    fixture.core.every("test", milliseconds(5), [&] {
        if (runs == 1 && fixture.evacuated.is_empty()) {
            fixture.evacuated.update({"west-1"}, 1, steady::now());
            fixture.add_servers_in(
                {{first.endpoint(), "west-1"}, {second.endpoint(), "west-2"}});
        }
    });
    const auto results = fixture.send_requests(4);
    CHECK(results.front().response.body == event_text(1, 6));
    for (std::size_t index = 1; index < results.size(); ++index)
        CHECK(results[index].response.body == "done");
    CHECK(runs == 1);
    CHECK(other_runs == 3);
}

TEST_CASE("evacuations - neither a choice nor a permit from before sends a "
          "request there; without another server it is refused at once") {
    std::atomic<int> runs{0};
    const scripted_server server([&](const std::string&) {
        ++runs;
        return scripted_answer{make_response(200, "Server-Limit: 5\r\n", "")};
    });
    for (const bool has_permit : {false, true}) {
        runs = 0;
        gateway_fixture fixture;
        fixture.add_route(request_kind::non_idempotent, false);
        fixture.add_entries({"edge-2"});
        fixture.add_servers_in({{server.endpoint(), "west-1"}});
        const auto evacuate = [&] {
            fixture.evacuated.update({"west-1", "none-9"}, 1, steady::now());
        };
        if (!has_permit)
            fixture.on_placing = evacuate;
        fixture.core.every("issuer", milliseconds(1), [&] {
            for (const permit_request& asked : fixture.permit_requests()) {
                evacuate();
                fixture.tested_gateway.on_permit_reply(
                    {asked.server, asked.sequence, permit_verdict::granted, 0});
            }
        });
        const auto results = fixture.send_requests(2);
        CHECK(results.back().response.status == 503);
        CHECK(results.back().duration < milliseconds(500));
        CHECK(find_field(results.back().response.fields, "Retry-After") !=
              nullptr);
        CHECK(runs == (has_permit ? 1 : 0));
        CHECK(fixture.gateway_metrics.text().find(
                  "{reason=\"data centre is evacuated\"}") !=
              std::string::npos);
    }
}

TEST_CASE("residency - a request without an allowed server is refused at once "
          "and counted by its reason") {
    std::atomic<int> runs{0};
    const scripted_server server(counting(runs));
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers_in({{server.endpoint(), "east-1"}});
    fixture.allow_regions({"west"});
    const auto result = fixture.send_request();
    CHECK(result.response.status == 503);
    CHECK(find_field(result.response.fields, "Retry-After") != nullptr);
    CHECK(result.duration < milliseconds(500));
    CHECK(runs == 0);
    CHECK(has_refusal(fixture, "no server in an allowed region"));
}

TEST_CASE("residency - a choice does not hold once the configuration has "
          "excluded its region before the request is sent") {
    std::atomic<int> runs{0};
    const scripted_server server(counting(runs));
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers_in({{server.endpoint(), "east-1"}});
    // The regions of the choice are known by then.
    fixture.on_placing = [&] { fixture.allow_regions({"west"}); };
    CHECK(fixture.send_request().response.status == 503);
    CHECK(runs == 0);
}

TEST_CASE("residency - a permit that comes late does not send a request out of "
          "its regions") {
    std::atomic<int> runs{0};
    const scripted_server server([&](const std::string&) {
        ++runs;
        return scripted_answer{make_response(200, "Server-Limit: 5\r\n", "")};
    });
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_entries({"edge-2"});
    fixture.add_servers_in({{server.endpoint(), "east-1"}});
    fixture.core.every("issuer", milliseconds(1), [&] {
        for (const permit_request& asked : fixture.permit_requests()) {
            if (fixture.routes.current().version == 1)
                fixture.allow_regions({"west"});
            fixture.tested_gateway.on_permit_reply(
                {asked.server, asked.sequence, permit_verdict::granted, 0});
        }
    });
    const auto results = fixture.send_requests(2);
    CHECK(results.front().response.status == 200);
    CHECK(results.back().response.status == 503);
    CHECK(runs == 1);
}

TEST_CASE("residency - a retry stays in the regions of the configuration that "
          "has come meanwhile") {
    std::atomic<int> first_runs{0};
    std::atomic<int> other_runs{0};
    const scripted_server first([&](const std::string&) {
        ++first_runs;
        return late_refusal();
    });
    const scripted_server second(counting(other_runs));
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers_in({{first.endpoint(), "west-1"}});
    fixture.core.every("test", milliseconds(5), [&] {
        if (first_runs == 1 && fixture.routes.current().version == 1) {
            fixture.add_servers_in(
                {{first.endpoint(), "west-1"}, {second.endpoint(), "east-1"}});
            fixture.allow_regions({"west"});
        }
    });
    CHECK(fixture.send_request().response.status == 503);
    CHECK(first_runs == 1);
    CHECK(other_runs == 0);
}

TEST_CASE("residency - a retry stays in the regions under which its request "
          "was accepted, although the configuration has dropped them") {
    std::atomic<int> first_runs{0};
    std::atomic<int> inside{0};
    std::atomic<int> outside{0};
    const scripted_server first([&](const std::string&) {
        ++first_runs;
        return late_refusal();
    });
    const scripted_server second(counting(outside));
    const scripted_server third(counting(inside));
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.allow_regions({"west"});
    fixture.add_servers_in({{first.endpoint(), "west-1"}});
    fixture.core.every("test", milliseconds(5), [&] {
        if (first_runs == 1 && fixture.routes.current().version == 2) {
            fixture.add_servers_in({{first.endpoint(), "west-1"},
                                    {second.endpoint(), "east-1"},
                                    {third.endpoint(), "west-2"}});
            fixture.allow_regions({});
        }
    });
    CHECK(fixture.send_request().response.status == 200);
    CHECK(inside == 1);
    CHECK(outside == 0);
}

TEST_CASE("residency - a stream is resumed in the regions of its request, or "
          "cut if no server is left there") {
    for (const bool is_restricted : {false, true}) {
        int outside = 0;
        const scripted_server first([&](const std::string&) {
            return scripted_answer{make_event_stream(1, 3, false), true};
        });
        const scripted_server second([&](const std::string&) {
            ++outside;
            return scripted_answer{make_event_stream(4, 6, true)};
        });
        gateway_fixture fixture;
        fixture.add_route(request_kind::streaming, true);
        fixture.add_servers_in({{first.endpoint(), "west-1"}});
        fixture.on_placing = [&] {
            // Before the first placement ends, for the second one.
            fixture.add_servers_in(
                {{first.endpoint(), "west-1"}, {second.endpoint(), "east-1"}});
        };
        if (is_restricted)
            fixture.allow_regions({"west"});
        // Whichever server is first without a bound.
        const auto result = fixture.send_request();
        if (is_restricted) {
            CHECK(result.end == call_end::truncated);
            CHECK(result.response.body == event_text(1, 3));
            CHECK(outside == 0);
        } else {
            CHECK(result.end == call_end::complete);
            CHECK(outside == 1);
        }
    }
}
