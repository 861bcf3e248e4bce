#include "tests/support/gateway_fixture.hpp"

#include "platform/wire.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <variant>

namespace ospreystage::testing {

namespace {

constexpr seconds test_timeout{8};
/// A leaving server may be used for this long where no other can be.
constexpr milliseconds last_resort_time{300};

limit_exchange::options limit_options() {
    limit_exchange::options options;
    options.self = "edge-1";
    options.region_of = [](const std::string&) { return "north"; };
    options.site_age = [] { return milliseconds(100); };
    return options;
}

void replace_field(http_fields& fields, const http_field& field) {
    erase_field(fields, field.name.c_str());
    fields.push_back(field);
}

} // namespace

gateway_fixture::gateway_fixture()
    : load({}, 1), availability({.last_resort_time = last_resort_time}),
      limits(limit_options(), duties, servers,
             [this](const entry_datagram& datagram) {
                 datagrams.push_back(datagram.value);
             }),
      client(core),
      tested_gateway(
          core, client, routes, servers, load, availability, limits, quarantine,
          gateway_metrics, platform::make_caller_protocol(),
          {[this] {
               if (on_placing)
                   on_placing();
               return 1U;
           },
           [this](const service_description&) {
               return versions.min_version(model, steady::now());
           },
           [this](const service_description&) {
               return versions.min_begin_version(model, steady::now());
           },
           [](const backend_server&, microseconds) {},
           {[](const std::string& data_centre) {
                return data_centre.substr(0, data_centre.find('-'));
            },
            [this](const std::string& data_centre) {
                return evacuated.contains(data_centre, steady::now());
            }}},
          {0.2, 100, seconds(10)}),
      front_server(core, {[this](exchange_id exchange, http_request request) {
                              tested_gateway.on_request(exchange,
                                                        std::move(request));
                          },
                          [this](exchange_id exchange) {
                              tested_gateway.on_caller_disconnected(exchange);
                          },
                          [this](exchange_id exchange) {
                              tested_gateway.on_drained(exchange);
                          }}) {
    tested_gateway.attach(front_server);
    tested_gateway.start();
    // Uses a free port: one that a server has just released.
    {
        const scripted_server probe(
            [](const std::string&) { return scripted_answer{}; });
        front_address = probe.endpoint();
    }
    error failure;
    REQUIRE(value_or_error(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(front_server.listen(front_address));
            return true;
        },
        failure));
}

void gateway_fixture::add_route(request_kind kind, bool is_resumable,
                                milliseconds timeout) {
    route added_route;
    added_route.kind = kind;
    added_route.is_resumable = is_resumable;
    added_route.timeout = timeout;
    added_route.target_latency = milliseconds(200);
    add_route(std::move(added_route), std::nullopt);
}

void gateway_fixture::add_engine_route(bool is_resumable, request_kind kind) {
    route added_route;
    added_route.kind = kind;
    added_route.is_resumable = is_resumable;
    added_route.timeout = version_limit * 2;
    // The request then stays at its engine for that long.
    added_route.target_latency = version_limit * 2;
    add_route(std::move(added_route), engine_profile{});
}

void gateway_fixture::add_route(route added_route,
                                std::optional<engine_profile> engine) {
    added_route.host = "a.example";
    added_route.path_prefix = "/x/";
    added_route.target_gap = milliseconds(200);
    added_route.max_attempts = 2;
    added_route.targets = {{"desk", 1}};
    routing_configuration configuration;
    configuration.version = 1;
    configuration.routes = {std::move(added_route)};
    service_description& service = configuration.services.emplace_back();
    service.name = "desk";
    service.engine = std::move(engine);
    const bool is_applied = routes.apply(std::move(configuration));
    REQUIRE(is_applied);
}

void gateway_fixture::drop_configuration() {
    routing_configuration empty;
    empty.version = routes.current().version + 1;
    const bool is_applied = routes.apply(std::move(empty));
    REQUIRE(is_applied);
}

void gateway_fixture::add_servers(const std::vector<address>& endpoints) {
    std::vector<std::pair<address, std::uint64_t>> listed;
    listed.reserve(endpoints.size());
    for (const address& endpoint : endpoints)
        listed.emplace_back(endpoint, 0);
    add_engines(listed);
}

void gateway_fixture::add_servers_in(
    const std::vector<std::pair<address, std::string>>& listed) {
    std::vector<backend_server> result;
    for (const auto& [endpoint, data_centre] : listed) {
        backend_server& server = result.emplace_back();
        server.id = "i-" + std::to_string(endpoint.port);
        server.service = "desk";
        server.endpoint = endpoint;
        server.slots = 4;
        server.data_centre = data_centre;
    }
    servers.on_list(std::move(result), steady::now());
}

void gateway_fixture::allow_regions(const std::vector<std::string>& regions) {
    routing_configuration configuration = routes.current();
    ++configuration.version;
    for (route& each : configuration.routes)
        each.regions = regions;
    const bool is_applied = routes.apply(std::move(configuration));
    REQUIRE(is_applied);
}

void gateway_fixture::add_engines(
    const std::vector<std::pair<address, std::uint64_t>>& engines) {
    std::vector<backend_server> listed;
    for (const auto& [endpoint, version] : engines) {
        backend_server server;
        server.id = "i-" + std::to_string(endpoint.port);
        server.service = "desk";
        server.endpoint = endpoint;
        server.slots = 4;
        if (version != 0)
            server.layers = {{0, 1, version}};
        listed.push_back(server);
    }
    servers.on_list(std::move(listed), steady::now());
}

void gateway_fixture::add_entries(const std::vector<std::string>& names) {
    std::map<std::string, site_entry> entries;
    for (const std::string& name : names)
        entries[name] = {name, {name, 8000}, "north"};
    duties.set_entries(entries);
}

gateway_fixture::outcome
gateway_fixture::send_request(const std::string& method) {
    return send_requests(1, method).front();
}

std::vector<gateway_fixture::outcome>
gateway_fixture::send_requests(std::size_t count, const std::string& method) {
    return send_requests(std::vector<http_fields>(count), method);
}

std::vector<gateway_fixture::outcome>
gateway_fixture::send_requests(const std::vector<http_fields>& more_fields,
                               const std::string& method) {
    std::vector<http_request> requests;
    requests.reserve(more_fields.size());
    for (const http_fields& fields : more_fields)
        requests.push_back(make_request(fields, "", method));
    return send_all(requests);
}

http_request gateway_fixture::make_request(const http_fields& more_fields,
                                           const std::string& body,
                                           const std::string& method) {
    http_request request;
    request.method = method;
    request.target = "/x/1";
    request.fields = {{"Host", "a.example"},
                      {"X-Request-Id", "r1"},
                      {"X-Request-Deadline", "3000"},
                      {"Api-Key", "secret"},
                      {"X-Tenant", "forged"}};
    request.body = body;
    for (const http_field& field : more_fields)
        replace_field(request.fields, field);
    return request;
}

std::vector<gateway_fixture::outcome>
gateway_fixture::send_all(const std::vector<http_request>& requests) {
    const std::size_t count = requests.size();
    std::vector<outcome> results;
    std::function<void()> send_next = [&] {
        const instant started = steady::now();
        client.fetch(front_address, requests[results.size()], {},
                     [&, started](call_end end, http_response response) {
                         results.push_back(
                             {end, std::move(response),
                              std::chrono::duration_cast<milliseconds>(
                                  steady::now() - started)});
                         if (results.size() < count)
                             send_next();
                     });
    };
    send_next();
    run_until_answered(results, count);
    return results;
}

std::vector<gateway_fixture::outcome>
gateway_fixture::send_at_once(const std::vector<http_fields>& more_fields,
                              const std::string& method) {
    std::vector<outcome> results;
    const instant started = steady::now();
    for (const http_fields& fields : more_fields)
        client.fetch(front_address, make_request(fields, "", method), {},
                     [&](call_end end, http_response response) {
                         results.push_back(
                             {end, std::move(response),
                              std::chrono::duration_cast<milliseconds>(
                                  steady::now() - started)});
                     });
    run_until_answered(results, more_fields.size());
    return results;
}

void gateway_fixture::run_until_answered(const std::vector<outcome>& results,
                                         std::size_t count) {
    core.every("test", milliseconds(2), [&] {
        if (results.size() == count)
            core.stop();
    });
    core.after("test", test_timeout, [this] { core.stop(); });
    core.run();
    REQUIRE(results.size() == count);
}

std::vector<permit_request> gateway_fixture::permit_requests() const {
    std::vector<permit_request> result;
    for (const message& value : datagrams)
        if (const auto* asked = std::get_if<permit_request>(&value))
            result.push_back(*asked);
    return result;
}

std::string make_response(int status, const std::string& fields,
                          const std::string& body) {
    return fmt::format("HTTP/1.1 {} X\r\n{}Content-Length: {}\r\n\r\n{}",
                       status, fields, body.size(), body);
}

std::string make_event_stream(int first, int last, bool is_complete) {
    std::string body;
    for (int id = first; id <= last; ++id) {
        const std::string event = fmt::format("id: {}\ndata: e{}\n\n", id, id);
        body += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    if (is_complete)
        body += "0\r\n\r\n";
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
           "X-Server-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n" +
           body;
}

std::string event_text(int first, int last) {
    std::string body;
    for (int id = first; id <= last; ++id)
        body += fmt::format("id: {}\ndata: e{}\n\n", id, id);
    return body;
}

} // namespace ospreystage::testing
