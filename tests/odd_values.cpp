#include "platform/node_settings.hpp"
#include "platform/site_watch.hpp"
#include "platform/wire.hpp"
#include "tests/support/platform_store.hpp"
#include "tests/support/scripted_server.hpp"
#include "tests/support/text_file.hpp"

#include <ospreystage/fleet/site_copy.hpp>
#include <ospreystage/fleet/vm_list.hpp>
#include <ospreystage/http/message_parser.hpp>
#include <ospreystage/http/web_client.hpp>
#include <ospreystage/impl/kv_json.hpp>
#include <ospreystage/network/codec.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <fstream>
#include <optional>
#include <string>
#include <vector>

using namespace ospreystage;
using namespace ospreystage::platform;
using testing::platform_store;
using testing::running_kernel;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr seconds timeout{5};

template <typename Body>
auto decoded(Body body) {
    error failure;
    return value_or_error(body, failure);
}

std::optional<backend_server> server_of(const std::string& text,
                                        const std::string& id = "i-1") {
    return decoded([&] { return decode_server(id, text); });
}

/// Returns a sound registration with `fields` added to it.
std::string registration(const std::string& fields) {
    return R"({"service":"s","address":"10.0.0.1:80","state":"ready")" +
           (fields.empty() ? "" : "," + fields) + "}";
}

std::string nested(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string nested_objects(std::size_t depth) {
    std::string text;
    for (std::size_t level = 0; level < depth; ++level)
        text += R"({"a":)";
    return text + "1" + std::string(depth, '}');
}

scripted_answer json_answer(const std::string& body) {
    return {fmt::format("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                        "Content-Length: {}\r\n\r\n{}",
                        body.size(), body)};
}

/// Makes one call of a store that answers with `body`.
template <typename Make>
void call_store(const std::string& body, const Make& make) {
    const scripted_server server(
        [&](const std::string&) { return json_answer(body); });
    kernel core;
    web_client web(core);
    store_client client(web, server.endpoint(), milliseconds(1000));
    bool has_ended = false;
    core.after("test", milliseconds(0), [&] {
        make(client, [&] {
            has_ended = true;
            core.stop();
        });
    });
    core.after("test", timeout, [&] { core.stop(); });
    core.run();
    CHECK(has_ended);
}

store_result read_servers(const std::string& body) {
    store_result read;
    call_store(body, [&](store_client& client, auto done) {
        client.read_all("servers/", [&, done](store_result result) {
            read = std::move(result);
            done();
        });
    });
    return read;
}

/// Returns the highest resident size of this process, in KiB.
long peak_memory_kib() {
    std::ifstream status("/proc/self/status");
    const std::string field = "VmHWM:";
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(field))
            return std::stol(line.substr(field.size()));
    return 0;
}

} // namespace

// ---- Registrations ---------------------------------------------------------

TEST_CASE("odd values - a number that no server can have makes its "
          "registration unreadable") {
    CHECK(server_of(registration("")));
    CHECK(server_of(registration(
        R"("slots":16,"born":1793055298024150,"cold_remaining_ms":12.5,
           "sequence":4,"layers":{"from":0,"to":16,"version":3})")));
    // A server that holds nothing may say so in any of these ways.
    for (const char* nothing :
         {R"("layers":null)", R"("layers":{})", R"("models":[])",
          R"("layers":{"from":0,"to":0,"version":0})",
          R"("models":[{"name":"m","version":0}])",
          R"("models":[{"name":"m"}])"}) {
        const auto server = server_of(registration(nothing));
        REQUIRE(server);
        CHECK(server->layers.empty());
    }
    for (const char* name : {"slots", "born", "cold_remaining_ms", "sequence"})
        for (const char* value :
             {"1e999", "-1e308", "1e300", "9223372036854775808",
              "18446744073709551616", "-1", "\"4\"", "NaN", "[]", "true"}) {
            CAPTURE(name, value);
            CHECK_FALSE(
                server_of(registration(fmt::format("\"{}\":{}", name, value))));
        }
    for (const char* value : {"1.5", "4294967296", "4294967295"})
        CHECK_FALSE(
            server_of(registration(fmt::format("\"slots\":{}", value))));
}

TEST_CASE("odd values - versions and layers that no engine can hold make a "
          "registration unreadable") {
    const auto with_layers = [](const char* from, const char* to,
                                const char* version) {
        return server_of(registration(
            fmt::format(R"("layers":{{"from":{},"to":{},"version":{}}})", from,
                        to, version)));
    };
    CHECK(with_layers("0", "16", "3"));
    for (const char* odd :
         {"1e999", "-1e308", "9223372036854775808", "18446744073709551615",
          "18446744073709551616", "1.5", "-1", "\"3\"", "[]"}) {
        CAPTURE(odd);
        CHECK_FALSE(with_layers("0", "16", odd));
        CHECK_FALSE(with_layers("0", odd, "3"));
        CHECK_FALSE(with_layers(odd, "16", "3"));
        CHECK_FALSE(server_of(registration(
            fmt::format(R"("models":[{{"name":"m","version":{}}}])", odd))));
    }
    CHECK_FALSE(with_layers("16", "0", "3"));
    CHECK_FALSE(with_layers("0", "4294967295", "3"));
    CHECK_FALSE(server_of(registration(R"("layers":"all")")));
    CHECK_FALSE(server_of(registration(R"("models":"all")")));
    CHECK_FALSE(server_of(registration(R"("models":[7])")));
}

TEST_CASE("odd values - ids and addresses that cannot be used name no server") {
    const auto at = [](const std::string& endpoint) {
        return server_of(R"({"service":"s","state":"ready","address":")" +
                         endpoint + "\"}");
    };
    CHECK(at("10.0.0.1:65535"));
    for (const char* odd :
         {"10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:+80",
          "10.0.0.1: 80", "10.0.0.1:80 ", "10.0.0.1:99999999999",
          "10.0.0.1:1e3", "10.0.0.1:", ":80", "here:80", " 10.0.0.1:80",
          "10.0.0.256:80", "10.0.0.1\\r\\nX: y:80", "[::1]:80"}) {
        CAPTURE(odd);
        CHECK_FALSE(at(odd));
    }
    const std::string sound = registration("");
    CHECK(server_of(sound, "i-7f3a91c2"));
    CHECK(server_of(sound, "\"" + std::string(190, 'i')));
    // The id is sent to the server in a header field.
    for (const std::string& odd :
         {std::string(), std::string("i-1\r\nX-Tenant: a"), std::string("i 1"),
          std::string("a/b"), std::string("\xff\xfe"), std::string(1, '\0'),
          std::string("\x7f"), std::string("\xc3\xa4")}) {
        CAPTURE(odd);
        CHECK_FALSE(server_of(sound, odd));
    }
    CHECK_FALSE(server_of(registration(R"("zone":7)")));
    CHECK_FALSE(server_of(
        registration("\"zone\":\"" + std::string(70'000, 'z') + "\"")));
    CHECK_FALSE(
        server_of(registration("\"more\":" + std::string(70'000, ' ') + "1")));
}

// ---- Nesting ---------------------------------------------------------------

TEST_CASE("odd values - documents of the store that are nested a million deep "
          "are refused") {
    for (const std::size_t depth : {100'000U, 1'000'000U}) {
        for (const std::string& deep :
             {nested(depth), nested_objects(depth), std::string(depth, '[')}) {
            CHECK_FALSE(server_of(deep));
            CHECK_FALSE(server_of(registration("\"slots\":" + deep)));
            CHECK_FALSE(server_of(registration("\"layers\":" + deep)));
            CHECK_FALSE(server_of(registration("\"more\":" + deep)));
            CHECK_FALSE(decoded([&] {
                return decode_configuration(R"({"version":3,"more":)" + deep +
                                            "}");
            }));
            CHECK_FALSE(decoded([&] {
                return decode_named_version(
                    R"({"model":"m","version":3,"more":)" + deep + "}");
            }));
            CHECK_FALSE(decoded([&] {
                return decode_engine_report("{\"layers\":" + deep + "}", 16);
            }));
            CHECK_FALSE(decoded(
                [&] { return decode_manifest("{\"digests\":" + deep + "}"); }));
            CHECK_FALSE(decoded(
                [&] { return decode_staged_list("{\"held\":" + deep + "}"); }));
        }
    }
    // Brackets within text are no nesting.
    CHECK(server_of(
        registration("\"more\":\"\\\"" + std::string(5000, '[') + "\"")));
}

// ---- Other numbers ---------------------------------------------------------

TEST_CASE("odd values - times of a configuration stay within the range of "
          "clocks") {
    for (const char* odd : {"1e308", "9223372036854775808", "1e18",
                            "18446744073709551615", "-1", "-1e308"}) {
        const auto configuration = decoded([&] {
            return decode_configuration(fmt::format(
                R"({{"version":3,"limits":{{"idle_timeout_ms":{0},
                    "header_timeout_ms":{0}}},
                    "routes":[{{"name":"r","timeout_ms":{0},
                      "target_latency_ms":{0},"target_gap_ms":{0}}}],
                    "services":[{{"name":"s","engine":{{"models":[
                      {{"name":"m","warmup_s":{0}}}]}}}}]}})",
                odd));
        });
        CAPTURE(odd);
        REQUIRE(configuration);
        const route& read = configuration->routes.at(0);
        const instant now = steady::now();
        for (const milliseconds time :
             {read.timeout, read.target_latency, read.target_gap,
              configuration->limits.idle_timeout,
              configuration->limits.header_timeout,
              configuration->services.at(0).engine->load_time}) {
            CHECK(time >= milliseconds(0));
            CHECK(now + time >= now);
        }
    }
}

TEST_CASE("odd values - numbers of a staged list beyond 32 bits are no "
          "indexes") {
    const auto held = decoded([] {
        return decode_staged_list(
            R"({"held":[1,4294967298,18446744073709551615,-1,1e300,2]})");
    });
    REQUIRE(held);
    CHECK(*held == std::vector<std::uint32_t>{1, 2});
}

TEST_CASE("odd values - a manifest with chunks above the limit is refused") {
    for (const char* odd : {"4194305", "4294967296", "18446744073709551615",
                            "-1", "1.5", "1e300"}) {
        CAPTURE(odd);
        CHECK_FALSE(decoded([&] {
            return decode_manifest(fmt::format(
                R"({{"version":2,"chunk_bytes":{},"digests":["{}"]}})", odd,
                sha256("a")));
        }));
    }
}

TEST_CASE("odd values - a settings file with times or rates beyond their "
          "range is refused") {
    const std::string sound = "node=edge-1\nip=10.1.0.40\nzone=hall-a\n"
                              "internal_ports=7700,7715\n";
    const auto parse = [&](const std::string& added) {
        return decoded(
            [&] { return parse_node_settings(sound + added, "local.conf"); });
    };
    CHECK(parse("bounds.drain_ms=1500\n"));
    for (const char* key : {"bounds.drain_ms", "bounds.grace_s",
                            "limits.link_mbps", "bounds.budget_slack"})
        for (const char* odd : {"nan", "inf", "1e300", "-1", "-inf"}) {
            CAPTURE(key, odd);
            CHECK_FALSE(parse(fmt::format("{}={}\n", key, odd)));
        }
    // The feed of an entry uses the port after it.
    for (const char* odd : {"65535", "65536", "0", "-1", "99999999999"}) {
        CAPTURE(odd);
        CHECK_FALSE(parse(fmt::format("internal_ports={}\n", odd)));
    }
}

TEST_CASE("odd values - a header limit beyond 32 bits does not refuse every "
          "request") {
    request_parser parser(std::size_t{1} << 32U, 4096);
    const parse_progress progress =
        parser.feed("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(progress.is_complete);
    CHECK(progress.failure.empty());
}

TEST_CASE("odd values - a connection is kept although its server states an "
          "endless idle time") {
    const scripted_server server([](const std::string&) {
        return scripted_answer{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
                               "Keep-Alive: timeout=9223372036854775807\r\n"
                               "\r\n"};
    });
    kernel core;
    web_client client(core);
    int ended = 0;
    const auto fetch = [&](auto next) -> void {
        client.fetch(server.endpoint(), http_request{}, call_options{},
                     [&, next](call_end end, const http_response&) {
                         CHECK(end == call_end::complete);
                         if (++ended == 2)
                             core.stop();
                         else
                             core.after("test", milliseconds(50),
                                        [next] { next(next); });
                     });
    };
    core.after("test", milliseconds(0), [&] { fetch(fetch); });
    core.after("test", timeout, [&] { core.stop(); });
    core.run();
    CHECK(ended == 2);
    CHECK(server.connections() == 1);
}

TEST_CASE("odd values - numbers of the store's JSON beyond 64 bits are "
          "malformed") {
    using impl::read_int64;
    const auto read = [](const char* text) {
        return read_int64(nlohmann::json::parse(text), "revision");
    };
    CHECK(read(R"({"revision":"7"})") == 7);
    for (const char* odd :
         {R"({"revision":1e300})", R"({"revision":18446744073709551615})",
          R"({"revision":"99999999999999999999"})", R"({"revision":"x"})",
          R"({"revision":1.5})", R"({"revision":null})"}) {
        CAPTURE(odd);
        CHECK_THROWS_AS(read(odd), std::exception);
    }
}

TEST_CASE("odd values - a VM list that is no list is refused") {
    for (const char* odd : {"null", "5", "\"x\"", "{}"}) {
        CAPTURE(odd);
        CHECK_FALSE(decoded([&] { return parse_vm_list(odd, "list"); }));
    }
    CHECK_FALSE(decoded(
        [&] { return parse_vm_list("[" + nested(1'000'000) + "]", "list"); }));
}

// ---- Store answers ---------------------------------------------------------

TEST_CASE("odd values - a key with half a surrogate pair or bytes that are no "
          "text does not hide the other items") {
    for (const char* key : {R"(servers/\ud800)", R"(servers/\udc00x)",
                            R"(servers/\ud800\u0041)", "servers/\xff\xfe"}) {
        const store_result read = read_servers(fmt::format(
            R"({{"items":[{{"key":"{}","value":"","revision":4}},
                 {{"key":"servers/i-2","value":"eA==","revision":5}}],
                "has_more":false,"store_revision":6}})",
            key));
        CAPTURE(key);
        CHECK_FALSE(read.failure);
        REQUIRE(read.items.size() == 2);
        CHECK(read.items[1].key == "servers/i-2");
        CHECK(read.items[1].value == "x");
    }
}

TEST_CASE("odd values - items outside of the prefix that was read are left "
          "out") {
    const store_result read = read_servers(
        R"({"items":[{"key":"","value":""},{"key":"x","value":""},
             {"key":"servers","value":""},
             {"key":"servers/i-2","value":"eA==","revision":5}],
            "has_more":false,"store_revision":6})");
    CHECK_FALSE(read.failure);
    REQUIRE(read.items.size() == 1);
    CHECK(read.items[0].key == "servers/i-2");
}

TEST_CASE("odd values - a removal counts whatever value it carries") {
    const store_result read = read_servers(
        R"({"items":[{"key":"servers/i-2","value":"%%%","revision":5,
              "deleted":true}],"has_more":false,"store_revision":6})");
    REQUIRE(read.items.size() == 1);
    CHECK(read.items[0].is_removed);
}

TEST_CASE("odd values - an answer whose revision is out of range is "
          "malformed") {
    for (const char* odd : {"-1", "9223372036854775808", "1.5", "1e300",
                            "18446744073709551615", "\"6\"", "null"}) {
        CAPTURE(odd);
        CHECK(read_servers(fmt::format(
                               R"({{"items":[],"has_more":false,
                                    "store_revision":{}}})",
                               odd))
                  .failure == store_failure::malformed);
    }
}

TEST_CASE("odd values - a lease that names none is malformed") {
    for (const char* odd : {"0", "-1", "1.5", "1e300", "\"5\"", "null"}) {
        CAPTURE(odd);
        call_store(fmt::format(R"({{"lease":{},"ttl_ms":5000}})", odd),
                   [&](store_client& client, auto done) {
                       client.grant_lease(
                           seconds(5),
                           [done](std::optional<store_failure> failure,
                                  std::uint64_t) {
                               CHECK(failure == store_failure::malformed);
                               done();
                           });
                   });
    }
}

// ---- State from other entries ----------------------------------------------

TEST_CASE("odd values - state of another entry with an age beyond the clock's "
          "range is refused") {
    site_changes changes;
    changes.revisions = {4, 4, 4};
    for (const std::int64_t odd :
         {INT64_MAX, INT64_MAX / 2, std::int64_t{1} << 50U}) {
        site_changes aged = changes;
        aged.documents_age = milliseconds(odd);
        CHECK_FALSE(
            decoded([&] { return decode_site_changes(encode(aged), "edge"); }));
        aged = changes;
        aged.servers_age = milliseconds(odd);
        CHECK_FALSE(
            decoded([&] { return decode_site_changes(encode(aged), "edge"); }));
        aged = changes;
        aged.outage_ended_ago = milliseconds(odd);
        CHECK_FALSE(
            decoded([&] { return decode_site_changes(encode(aged), "edge"); }));
    }
    changes.documents_age = std::chrono::hours(24);
    CHECK(
        decoded([&] { return decode_site_changes(encode(changes), "edge"); }));
}

TEST_CASE("odd values - a flag of a message is true or false whatever its byte "
          "is") {
    std::string payload = encode_payload(attempt_notice{1, 2, 3, true});
    REQUIRE(payload.back() == 1);
    for (const char odd : {'\x02', '\x80', '\xff'}) {
        payload.back() = odd;
        const auto read =
            decoded([&] { return decode_payload(payload, "peer"); });
        REQUIRE(read);
        CHECK(encode_payload(*read).back() == 1);
    }
}

TEST_CASE("odd values - a count of elements allocates no memory before the "
          "elements are read") {
    // The list of servers comes last; its count is followed by the first one.
    std::string state = encode(site_changes{});
    constexpr std::size_t count = 1'000'000;
    constexpr std::size_t count_bytes = 4;
    state.resize(state.size() - count_bytes);
    for (const unsigned shift : {0U, 8U, 16U, 24U})
        state.push_back(static_cast<char>((count >> shift) & 0xFFU));
    state.append(count, '\xff');
    // Resets the highest resident size.
    REQUIRE(support::write_text_file("/proc/self/clear_refs", "5"));
    const long before_kib = peak_memory_kib();
    CHECK_FALSE(decoded([&] { return decode_site_changes(state, "edge"); }));
    const long used_kib = peak_memory_kib() - before_kib;
    INFO("memory: " << used_kib << " KiB");
    CHECK(used_kib < 16 * 1024);
}

// ---- Directory -------------------------------------------------------------

TEST_CASE("odd values - a directory answer can be written whatever its "
          "addresses hold") {
    std::string answer;
    CHECK_NOTHROW(
        answer = encode_addresses({"\xff\xfe:80", "10.0.0.2:80"}, seconds(2)));
    CHECK(answer.find("\"10.0.0.2:80\"") != std::string::npos);
}

TEST_CASE("odd values - registrations of entries without a numeric address "
          "and a port are left out") {
    platform_store store;
    const std::string prefix = "ospreystage/entries/";
    store.put(prefix + "sound", "10.0.0.8:80 north");
    const std::vector<std::string> odd{"\xff\xfe:80 north",
                                       "10.0.0.8:0",
                                       "10.0.0.8:65536",
                                       "10.0.0.8:-1",
                                       "here:80",
                                       " 10.0.0.8:80",
                                       "10.0.0.9:80 " +
                                           std::string(70'000, 'r'),
                                       nested(100'000)};
    for (std::size_t index = 0; index < odd.size(); ++index)
        store.put(fmt::format("{}odd-{}", prefix, index), odd[index]);
    kernel core;
    node_settings settings;
    settings.name = "edge-1";
    settings.data_centre = "hall-a";
    settings.front = {"10.1.0.40", 8005};
    web_client web(core);
    store_client client(web, store.endpoint(), milliseconds(1000));
    route_table routes;
    backend_registry servers;
    published_versions versions{seconds(8)};
    entry_list entries{milliseconds(2200)};
    site_watch watch(core, client, settings,
                     {routes, servers, versions, entries},
                     {[] {}, [] {}, [] {}, [] {}});
    core.post("test", [&] { watch.start(); });
    running_kernel running(core);
    const auto names = [&] {
        std::vector<std::string> result;
        for (const auto& [name, entry] : watch.copy().entries())
            result.push_back(name);
        return result;
    };
    CHECK(running.until(
        [&] {
            return names() == std::vector<std::string>{"edge-1", "sound"};
        },
        seconds(2)));
    // A later change is followed.
    store.put(prefix + "sound-2", "10.0.0.9:80 north");
    CHECK(running.until([&] { return names().size() == 3; }, seconds(2)));
    running.stop();
}
