#include "platform/node_settings.hpp"
#include "platform/product_settings.hpp"
#include "platform/settings_reload.hpp"
#include "platform/wire.hpp"
#include "tests/support/text_file.hpp"

#include <absl/cleanup/cleanup.h>
#include <catch2/catch.hpp>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <string>
#include <variant>
#include <vector>

using namespace ospreystage;
using namespace ospreystage::platform;

namespace {

template <typename Body>
auto decoded(Body body) {
    error failure;
    return value_or_error(body, failure);
}

error failure_of(const std::string& text) {
    error failure;
    const auto value = value_or_error(
        [&] { return parse_node_settings(text, "local.conf"); }, failure);
    CHECK_FALSE(value);
    return failure;
}

const std::string settings_text = "node=edge-1\nip=10.1.0.40\nzone=hall-a\n"
                                  "region=west\nzones.hall-a=west\n"
                                  "listen.front=10.1.0.40:8005\n"
                                  "internal_ports=7700,7715\n"
                                  "platform.address=10.200.1.7:8007\n"
                                  "bounds.drain_ms=1500\nbounds.grace_s=6\n"
                                  "limits.link_mbps=8\nsomething.new=1\n";

} // namespace

TEST_CASE("node settings - values are parsed and unknown keys ignored") {
    const auto node =
        decoded([] { return parse_node_settings(settings_text, "f"); });
    REQUIRE(node);
    CHECK(node->name == "edge-1");
    CHECK(node->front == address{"10.1.0.40", 8005});
    CHECK(node->internal_port == 7700);
    CHECK(node->drain_time == milliseconds(1500));
    CHECK(node->stop_timeout == seconds(6));
    CHECK(node->link_bytes_per_second == 1'000'000);
    CHECK(node->regions.at("hall-a") == "west");
}

TEST_CASE("node settings - errors name file, line and key") {
    CHECK(failure_of("ip=10.1.0.40\n").detail == "node is missing");
    const error wrong = failure_of(settings_text + "bounds.drain_ms=soon\n");
    CHECK(wrong.peer == "local.conf:13");
    CHECK(wrong.detail.find("bounds.drain_ms") != std::string::npos);
    CHECK(failure_of(settings_text + "listen.ready=nowhere\n")
              .detail.find("listen.ready") != std::string::npos);
}

TEST_CASE("node settings - times and budgets are applied at run time") {
    auto node = decoded([] { return parse_node_settings(settings_text, "f"); });
    const auto read = decoded([] {
        return parse_node_settings(
            settings_text + "bounds.version_ms=9000\nbounds.budget_slack=7\n" +
                "limits.link_mbps=16\nlisten.front=10.1.0.40:9000\n",
            "f");
    });
    REQUIRE(node);
    REQUIRE(read);
    const settings_change change = apply_changes(*node, *read);
    CHECK(change.applied == std::vector<std::string>{"limits.link_mbps",
                                                     "bounds.version_ms",
                                                     "bounds.budget_slack"});
    CHECK(change.need_restart == std::vector<std::string>{"listen.front"});
    CHECK(node->version_timeout == seconds(9));
    CHECK(node->link_bytes_per_second == 2'000'000);
    CHECK(node->front == address{"10.1.0.40", 8005});
    CHECK(apply_changes(*node, *read).applied.empty());
}

TEST_CASE(
    "node settings - an invalid file leaves the current settings unchanged") {
    const std::string file =
        std::filesystem::temp_directory_path() /
        ("ospreystage-node-" + std::to_string(getpid()) + ".conf");
    const absl::Cleanup clean_up = [&] {
        std::filesystem::remove(file);
        unsetenv("OSPREYSTAGE_NODE_FILE");
    };
    setenv("OSPREYSTAGE_NODE_FILE", file.c_str(), 1);
    const auto write = [&](const std::string& added) {
        REQUIRE(support::write_text_file(file, settings_text + added));
    };
    write("");
    auto node = decoded([] { return load_node_settings(); });
    REQUIRE(node);
    settings product = product_settings(*node, process_role::agent);
    settings_reload reload(*node, product, process_role::agent);
    CHECK(reload.poll().is_empty());
    write("bounds.drain_ms=900\nlimits.link_mbps=x\n");
    CHECK(reload.poll().is_empty());
    CHECK(node->drain_time == milliseconds(1500));
    write("bounds.drain_ms=900\nlimits.link_mbps=80\n");
    CHECK(reload.poll().applied.size() == 2);
    CHECK(node->drain_time == milliseconds(900));
    CHECK(product.distribution.link_bytes_per_second == 8'000'000);
}

TEST_CASE("wire - a configuration is decoded into routes, services and keys") {
    const auto configuration = decoded([] {
        return decode_configuration(R"({"version":7,"routes":[
            {"name":"r","hostname":"a.example","path_prefix":"/x/",
             "kind":"streaming","timeout_ms":6000,"target_latency_ms":400,
             "priority":1,"max_attempts":2,"sticky":true,"stream_resume":true,
             "target_gap_ms":300,
             "traffic_split":[{"service":"s","weight":90},
                              {"service":"t","weight":10}]},
            {"name":"q","hostname":"a.example","path_prefix":"/y/",
             "kind":"new kind","service":"t","public":true}],
          "services":[{"name":"s","max_connections":9,
             "engine":{"slots":16,"step_ms":9.5,"stride":5,"layers":16,
                       "chunks":64,"models":[{"name":"m","warmup_s":0.3}],
                       "usual":{"prompt":979,"answer":92}}},
            {"name":"o","origin":"172.20.0.3:8006","link_mbps":8}],
          "limits":{"max_body_bytes":100,"idle_timeout_ms":9000},
          "tenants":[{"name":"mills","api_keys":["k1","k2"],"priority":2}]})");
    });
    REQUIRE(configuration);
    CHECK(configuration->version == 7);
    const route& stream = configuration->routes.at(0);
    CHECK(stream.kind == request_kind::streaming);
    CHECK(stream.is_resumable);
    CHECK(stream.target_latency == milliseconds(400));
    CHECK(stream.target_gap == milliseconds(300));
    CHECK(stream.targets.size() == 2);
    // An unknown kind is treated as the strictest one.
    CHECK(configuration->routes.at(1).kind == request_kind::non_idempotent);
    CHECK(configuration->routes.at(1).is_public);
    const service_description& engine = configuration->services.at(0);
    REQUIRE(engine.engine);
    CHECK(engine.engine->steps_per_pass == 5);
    CHECK(engine.engine->typical_prompt_tokens == 979);
    CHECK(engine.engine->load_time == milliseconds(300));
    CHECK(configuration->services.at(1).origin == "172.20.0.3:8006");
    CHECK(configuration->limits.idle_timeout == seconds(9));
    CHECK(configuration->organisations.at(0).keys.size() == 2);
    CHECK(configuration->organisations.at(0).priority == 2U);
}

TEST_CASE("wire - the regions of routes and organisations are decoded; those "
          "that are no names are left out and described") {
    // A wrong value must neither drop the configuration nor go unnoticed.
    std::vector<std::string> ignored;
    const auto configuration = decoded([&] {
        return decode_configuration(R"({"version":7,"routes":[
            {"name":"a","hostname":"h","allowed_regions":["west","north"]},
            {"name":"b","hostname":"h","allowed_regions":[]},
            {"name":"c","hostname":"h","allowed_regions":"west"},
            {"name":"d","hostname":"h","allowed_regions":["west",5]},
            {"name":"e","hostname":"h","allowed_regions":null}],
          "tenants":[{"name":"mills","allowed_regions":["east"]},
                     {"name":"dairy"}]})",
                                    ignored);
    });
    REQUIRE(configuration);
    using names = std::vector<std::string>;
    const auto& routes = configuration->routes;
    CHECK(routes.at(0).regions == names{"west", "north"});
    CHECK(routes.at(1).regions.empty());
    CHECK(routes.at(2).regions.empty());
    CHECK(routes.at(3).regions == names{"west"});
    CHECK(routes.at(4).regions.empty());
    CHECK(configuration->organisations.at(0).regions == names{"east"});
    CHECK(configuration->organisations.at(1).regions.empty());
    CHECK(ignored == names{"allowed_regions of c: string",
                           "allowed_regions of d: number"});
}

TEST_CASE("wire - a query of the directory is decoded, whatever it contains") {
    const directory_query full = decode_directory_query(
        "/v1/resolve?name=a.example&region=north%2Dwest&zone=hall+a%zz");
    CHECK(full.host == "a.example");
    CHECK(full.region == "north-west");
    CHECK(full.data_centre == "hall a%zz");
    for (const char* target :
         {"", "/v1/resolve", "/v1/resolve?", "/v1/resolve?&=&name", "?%",
          "/v1/resolve?name=&region=&more=1"}) {
        const directory_query empty = decode_directory_query(target);
        CHECK(empty.host.empty());
        CHECK(empty.region.empty());
        CHECK(empty.data_centre.empty());
    }
}

TEST_CASE("wire - a configuration without version is refused") {
    CHECK_FALSE(decoded([] { return decode_configuration("{}"); }));
    CHECK_FALSE(decoded([] { return decode_configuration("not json"); }));
}

TEST_CASE("wire - a server's registration is decoded and malformed ones fail") {
    const std::string entry =
        R"({"service":"s","address":"10.0.0.1:80","zone":"hall-a","slots":16,
            "state":"ready","born":1793055298024150,
            "models":[{"name":"m","version":3}],
            "layers":{"from":0,"to":16,"version":3}})";
    const auto server = decoded([&] { return decode_server("i-1", entry); });
    REQUIRE(server);
    CHECK(server->endpoint == address{"10.0.0.1", 80});
    CHECK(server->started_unix_ms == 1793055298024150);
    CHECK(server->complete_version(16) == 3U);
    for (const char* broken :
         {"", "{", "[]", "{}", R"({"service":"s","state":"ready"})",
          R"({"service":1,"address":"10.0.0.1:80","state":"ready"})",
          R"({"service":"s","address":"10.0.0.1:80","state":"asleep"})",
          R"({"service":"s","address":"here","state":"ready"})"})
        CHECK_FALSE(decoded([&] { return decode_server("i-1", broken); }));
}

TEST_CASE("wire - an engine's report is decoded") {
    const auto report = decoded([] {
        return decode_engine_report(
            R"({"models":[{"name":"m","version":2}],"busy":true,"sequence":4,
                "queued":1,"running":12,
                "layers":{"from":0,"to":8,"version":2}})",
            16);
    });
    REQUIRE(report);
    CHECK(report->state.version == 0); // Only half of the layers are held.
    CHECK(report->state.is_loading);
    CHECK(report->state.orders == 4);
    CHECK(report->running == 12);
    const auto empty =
        decoded([] { return decode_engine_report(R"({"models":[]})", 16); });
    REQUIRE(empty);
    CHECK(empty->state.version == 0);
}

TEST_CASE("wire - a manifest without all of its digests is refused") {
    const std::string good =
        R"({"version":2,"chunk_bytes":8,"digests":[")" + sha256("a") + R"("]})";
    const auto read = decoded([&] { return decode_manifest(good); });
    REQUIRE(read);
    CHECK(read->description.total_bytes == 8);
    CHECK_FALSE(decoded([] {
        return decode_manifest(
            R"({"version":2,"chunk_bytes":8,"digests":["zz"]})");
    }));
    // A list of which a part cannot be read is not a shorter list.
    CHECK_FALSE(decoded([&] {
        return decode_manifest(R"({"version":2,"chunk_bytes":8,"digests":[")" +
                               sha256("a") + R"(",5]})");
    }));
    CHECK_FALSE(decoded(
        [] { return decode_manifest(R"({"version":2,"chunk_bytes":8})"); }));
}

TEST_CASE("wire - an order is conditional on the number of earlier orders") {
    const http_request request = switch_request("m", {3, 5});
    CHECK(request.method == "POST");
    CHECK(request.body.find("\"precondition\":5") != std::string::npos);
    CHECK(request.body.find("\"version\":3") != std::string::npos);
}

TEST_CASE("wire - an attempt carries the header fields set by the entry") {
    const caller_protocol protocol = make_caller_protocol();
    http_request request;
    request.fields = {{"Host", "a.example"},
                      {"X-Request-Id", "r1"},
                      {"x-request-deadline", "6000"},
                      {"api-key", "secret"},
                      {"X-Tenant", "forged"},
                      {"X-Token-Usage", "1460,80"},
                      {"Connection", "close, X-Private"},
                      {"X-Private", "1"},
                      {"X-Other", "kept"}};
    const caller_request caller = protocol.read_request(request);
    CHECK(caller.id == "r1");
    CHECK(caller.key == "secret");
    CHECK(caller.time_left == milliseconds(6000));
    CHECK(caller.prompt_tokens == 1460);
    const http_fields fields = protocol.attempt_fields(
        request, {milliseconds(4200), "mills", "i-1", 0, 3, 12});
    CHECK(*find_field(fields, "X-Request-Deadline") == "4200");
    CHECK(*find_field(fields, "X-Tenant") == "mills");
    CHECK(*find_field(fields, "X-Expect-Instance") == "i-1");
    CHECK(*find_field(fields, "X-Request-Priority") == "3");
    CHECK(*find_field(fields, "Last-Event-Id") == "12");
    CHECK(*find_field(fields, "X-Other") == "kept");
    CHECK(find_field(fields, "Api-Key") == nullptr);
    CHECK(find_field(fields, "X-Private") == nullptr);
    CHECK(find_field(fields, "X-Expect-Version") == nullptr);
}

TEST_CASE("wire - X-Not-Executed or status 421 marks a request as not run") {
    const caller_protocol protocol = make_caller_protocol();
    http_response response;
    response.status = 503;
    CHECK_FALSE(protocol.is_not_run(response));
    response.fields = {{"X-Not-Executed", "1"}};
    CHECK(protocol.is_not_run(response));
    response = {};
    response.status = 421;
    CHECK(protocol.is_not_run(response));
}

TEST_CASE("caller protocol - an answer names a limit, none, or does not tell") {
    const caller_protocol protocol = make_caller_protocol();
    http_response response;
    response.status = 200;
    const auto statement = [&](const std::string& value) {
        response.fields = {{"Server-Limit", value}};
        return protocol.limit_of(response);
    };
    CHECK(std::holds_alternative<no_limit_named>(protocol.limit_of(response)));
    CHECK(std::get<limit_named>(statement("0.25")).per_second == 0.25);
    CHECK(std::get<limit_named>(statement("0")).per_second == 0);
    for (const char* value : {"", "soon", "-1", "nan", "inf", "1,5"})
        CHECK(std::holds_alternative<limit_unknown>(statement(value)));
    response.status = 503;
    CHECK(std::get<limit_named>(statement("3")).per_second == 3);
    // The answer of a server that took over the address of another one.
    response.status = 421;
    CHECK(std::holds_alternative<limit_unknown>(statement("3")));
}

TEST_CASE("caller protocol - an answer says whether its server is leaving") {
    const caller_protocol protocol = make_caller_protocol();
    http_response response;
    for (const int status : {200, 421, 429, 500, 503}) {
        response.status = static_cast<std::uint16_t>(status);
        response.fields = {};
        CHECK_FALSE(protocol.availability_of(response).is_leaving);
        response.fields = {{"server-leaving", "1"}};
        CHECK(protocol.availability_of(response).is_leaving);
        CHECK(protocol.availability_of(response).is_misdirected ==
              (status == 421));
        response.fields = {{"Server-Leaving", "0"}};
        CHECK_FALSE(protocol.availability_of(response).is_leaving);
    }
}

TEST_CASE("caller protocol - a refusal states a pause in seconds; other "
          "answers and other values state none") {
    const caller_protocol protocol = make_caller_protocol();
    http_response response;
    response.status = 503;
    const auto pause = [&](const std::string& value) {
        response.fields = {{"Retry-After", value}};
        return protocol.availability_of(response).pause;
    };
    CHECK(pause("2") == milliseconds(2000));
    CHECK(pause("0.0015") == milliseconds(2));
    CHECK(pause("3600") == std::chrono::hours(1));
    // The end of the pause can still be represented.
    CHECK(steady::now() + pause("1e300").value() > steady::now());
    for (const char* value : {"", "0", "-1", "soon", "nan", "inf", "1,5",
                              "Fri, 04 Dec 2026 14:00:00 GMT"})
        CHECK_FALSE(pause(value));
    response.status = 429;
    CHECK(pause("1") == seconds(1));
    for (const int status : {200, 301, 500}) {
        response.status = static_cast<std::uint16_t>(status);
        CHECK_FALSE(pause("1"));
    }
}

// Guards against a pace that makes estimates infinite or negative.
TEST_CASE("engine report - an invalid pace counts as the usual one") {
    const auto pace_of = [](const std::string& value) {
        return decoded([&] {
                   return decode_engine_report(
                       R"({"models":[],"running":3,"pace":)" + value + "}", 16);
               })
            .value()
            .pace;
    };
    CHECK(pace_of("2.5") == 2.5);
    CHECK(pace_of("1") == 1);
    for (const char* value :
         {"0", "-2", "1e300", "\"3\"", "null", "[]", "true"})
        CHECK(pace_of(value) == 1);
}

// Guards against a fourth figure that is taken from other fields or that no
// server can mean.
TEST_CASE("caller protocol - the fourth figure of the load is the pace") {
    const caller_protocol protocol = make_caller_protocol();
    http_response response;
    response.status = 200;
    CHECK_FALSE(protocol.pace_of(response));
    const auto pace = [&](const std::string& value) {
        response.fields = {{"X-Worker-Load", value}};
        return protocol.pace_of(response);
    };
    CHECK(pace("1,0,4,100") == 1);
    CHECK(pace("1, 0, 4, 250") == 2.5);
    for (const char* value :
         {"", "1", "1,0,4", "1,0,4,", "1,0,4,0", "1,0,4,-5", "1,0,4,nan",
          "1,0,4,inf", "1,0,4,1e12", "a,b,c,d"})
        CHECK_FALSE(pace(value));
    response.status = 421;
    CHECK_FALSE(pace("1,0,4,250"));
}
