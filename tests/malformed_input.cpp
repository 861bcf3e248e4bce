#include "platform/wire.hpp"

#include <ospreystage/fleet/site_copy.hpp>
#include <ospreystage/http/message_parser.hpp>
#include <ospreystage/network/codec.hpp>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <random>
#include <string>
#include <vector>

using namespace ospreystage;
using nlohmann::json;

namespace {

constexpr int rounds = 4000;

/// Returns the value with one of its parts replaced by a random one.
json with_changed_part(json value, std::mt19937_64& random) {
    const std::array<json, 12> strange{nullptr,
                                       -1,
                                       0,
                                       1e300,
                                       -1e300,
                                       0.5,
                                       18446744073709551615ULL,
                                       "x",
                                       "\xff\xfe",
                                       json::array(),
                                       json::object(),
                                       true};
    const json flat = value.flatten();
    std::uniform_int_distribution<std::size_t> part(0, flat.size() - 1);
    std::uniform_int_distribution<std::size_t> choice(0, strange.size() - 1);
    auto position = flat.begin();
    std::advance(position, part(random));
    json::json_pointer path(position.key());
    // Half of the time a whole object or list is replaced.
    if ((random() & 1U) != 0U && !path.empty())
        path.pop_back();
    value[path] = strange[choice(random)];
    return value;
}

/// Returns the bytes with some of them changed, removed or repeated.
std::string with_changed_bytes(std::string bytes, std::mt19937_64& random) {
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes && !bytes.empty(); ++change) {
        const std::size_t position = random() % bytes.size();
        switch (random() % 3) {
        case 0:
            bytes[position] = static_cast<char>(random());
            break;
        case 1:
            bytes.erase(position, 1 + random() % 8);
            break;
        default:
            bytes.insert(position, bytes.substr(position, random() % 32));
        }
    }
    return bytes;
}

/// Calls `decode` with many malformed variants of a document; an exception
/// ends the test.
template <typename Decode>
void decode_variants(const char* document, Decode decode) {
    std::mt19937_64 random(4);
    const json whole = json::parse(document);
    for (int round = 0; round < rounds; ++round) {
        const auto handler = json::error_handler_t::ignore;
        const std::string text =
            with_changed_part(whole, random).dump(-1, ' ', false, handler);
        error failure;
        static_cast<void>(
            value_or_error([&] { return decode(text); }, failure));
        const std::string bytes = with_changed_bytes(text, random);
        static_cast<void>(
            value_or_error([&] { return decode(bytes); }, failure));
    }
}

} // namespace

TEST_CASE("malformed input - no document of the platform's store ends the "
          "process") {
    using namespace platform;
    CHECK_NOTHROW(decode_variants(
        R"({"version":3,"limits":{"max_header_bytes":1,"idle_timeout_ms":5},
            "tenants":[{"name":"t","api_keys":["k"],"priority":1,
                        "allowed_regions":["west"]}],
            "routes":[{"name":"r","hostname":"h","path_prefix":"/x/",
              "service":"s","kind":"streaming","timeout_ms":1500,
              "target_latency_ms":100,"target_gap_ms":9,"max_attempts":2,
              "allowed_regions":["west","north"],
              "traffic_split":[{"service":"s","weight":1}]}],
            "services":[{"name":"s","max_connections":4,"origin":"a:1",
              "engine":{"slots":16,"step_ms":9.2,"read_per_s":2e4,
                "usual":{"prompt":900,"answer":90},"stride":1,"layers":16,
                "chunks":64,"chunk_bytes":32768,
                "models":[{"name":"m","warmup_s":3.5}]}}]})",
        [](const std::string& text) { return decode_configuration(text); }));
    CHECK_NOTHROW(
        decode_variants(R"({"model":"m","version":2})", decode_named_version));
    CHECK_NOTHROW(decode_variants(
        R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,
            "state":"ready","born":1778379763342,
            "models":[{"name":"m","version":1}],
            "layers":{"from":0,"to":16,"version":1}})",
        [](const std::string& text) { return decode_server("i-1", text); }));
}

TEST_CASE("malformed input - no answer of an engine or of the origin ends the "
          "process") {
    using namespace platform;
    CHECK_NOTHROW(decode_variants(
        R"({"stage":"unified","models":[{"name":"m","version":1}],
            "layers":{"from":0,"to":16,"version":1},"busy":false,
            "sequence":2,"born":17783,"queued":1,"running":12})",
        [](const std::string& text) {
            return decode_engine_report(text, 16);
        }));
    CHECK_NOTHROW(decode_variants(
        R"({"model":"m","version":2,"chunk_bytes":32768,"layers":16,
            "digests":["9f2c","07be"]})",
        decode_manifest));
    CHECK_NOTHROW(decode_variants(R"({"held":[1,2,3]})", decode_staged_list));
}

TEST_CASE("malformed input - no request or response ends the process") {
    std::mt19937_64 random(5);
    const std::string request =
        "POST /x/1?a=b HTTP/1.1\r\nHost: a\r\nX-Request-Id: \xff\r\n"
        "X-Token-Usage: 10,20\r\nX-Request-Deadline: 900\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n";
    const std::string response =
        "HTTP/1.1 200 OK\r\nServer-Limit: 1\r\nKeep-Alive: timeout=5\r\n"
        "Content-Length: 5\r\n\r\nabcde";
    const caller_protocol protocol = platform::make_caller_protocol();
    CHECK_NOTHROW([&] {
        for (int round = 0; round < rounds; ++round) {
            request_parser requests(4096, 4096);
            const auto progress =
                requests.feed(with_changed_bytes(request, random));
            if (progress.is_complete)
                static_cast<void>(protocol.read_request(requests.request()));
            response_parser responses(false, [](std::string_view) {});
            static_cast<void>(
                responses.feed(with_changed_bytes(response, random)));
            if (responses.is_head_complete())
                static_cast<void>(protocol.limit_of(responses.response()));
        }
    }());
}

TEST_CASE("malformed input - no message of another process ends the process") {
    std::mt19937_64 random(6);
    load_digest digest;
    digest.reports = {{{"10.0.0.1", 80}, 1, 2, 3, false}};
    digest.notices = {{1, 2, 3, true}};
    const std::vector<std::string> payloads{
        encode_payload(digest), encode_payload(permit_request{"i-1", 7, 1.5}),
        encode_payload(permit_reply{"i-1", 7, permit_verdict::denied, 9}),
        encode_payload(limit_report{"i-1", true, 2}),
        encode_payload(weights_assignment{})};
    site_changes changes;
    changes.documents = {{"op/config", "{}", 4}};
    changes.entries = {{"edge-1", {"10.0.0.2", 80}, "north"}};
    changes.servers.emplace_back().id = "i-1";
    const std::string state = encode(changes);
    CHECK_NOTHROW([&] {
        for (int round = 0; round < rounds; ++round) {
            error failure;
            const std::string payload = with_changed_bytes(
                payloads[static_cast<std::size_t>(round) % payloads.size()],
                random);
            static_cast<void>(value_or_error(
                [&] { return decode_payload(payload, "peer"); }, failure));
            const std::string bytes = with_changed_bytes(state, random);
            static_cast<void>(value_or_error(
                [&] { return decode_site_changes(bytes, "peer"); }, failure));
        }
    }());
}
