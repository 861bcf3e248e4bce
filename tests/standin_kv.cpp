#include <catch2/catch.hpp>
#include <tests/support/http_stream.hpp>
#include <tests/support/standin.hpp>

#include <thread>

using namespace ospreystage;
using namespace ospreystage::support;
using nlohmann::json;

namespace {

constexpr const char* key_a = "YQ=="; ///< `a` in base64.

json compare_and_put(int mod_revision, const std::string& value) {
    return {
        {"compare",
         {{{"key", key_a},
           {"target", "MOD"},
           {"result", "EQUAL"},
           {"mod_revision", std::to_string(mod_revision)}}}},
        {"success", {{{"request_put", {{"key", key_a}, {"value", value}}}}}},
        {"failure", {{{"request_range", {{"key", key_a}}}}}}};
}

json read(standin& kv) {
    return kv.post("/v3/kv/range", {{"key", key_a}}).body;
}

} // namespace

TEST_CASE("stand-in - kv: of two creations one wins") {
    standin kv({"kv"});
    const json first = kv.post("/v3/kv/txn", compare_and_put(0, "Yg==")).body;
    CHECK(first["succeeded"] == true);
    const json second = kv.post("/v3/kv/txn", compare_and_put(0, "Yw==")).body;
    CHECK(second["succeeded"] == false);
    const json seen = second["responses"][0]["response_range"]["kvs"][0];
    CHECK(seen["value"] == "Yg==");
    CHECK(seen["mod_revision"] == first["header"]["revision"]);
    CHECK(seen["lease"] == "0");
}

TEST_CASE("stand-in - kv: a write with the seen revision replaces the value") {
    standin kv({"kv"});
    kv.post("/v3/kv/put", {{"key", key_a}, {"value", "Yg=="}});
    const json item = read(kv)["kvs"][0];
    const int revision = std::stoi(item["mod_revision"].get<std::string>());
    const json stale =
        kv.post("/v3/kv/txn", compare_and_put(revision - 1, "Yw==")).body;
    CHECK(stale["succeeded"] == false);
    const json next =
        kv.post("/v3/kv/txn", compare_and_put(revision, "Yw==")).body;
    CHECK(next["succeeded"] == true);
    CHECK(read(kv)["kvs"][0]["value"] == "Yw==");
    CHECK(read(kv)["count"] == "1");
}

TEST_CASE("stand-in - kv: a value of a megabyte fits and a larger one fails") {
    standin kv({"kv"});
    // 'AAAA' in base64 is three zero bytes.
    std::string largest;
    for (int part = 0; part < 1024 * 1024 / 3; ++part)
        largest += "AAAA";
    CHECK(kv.post("/v3/kv/put", {{"key", key_a}, {"value", largest}}).status ==
          200);
    CHECK(read(kv)["kvs"][0]["value"] == largest);
    const std::string larger = largest + "AAAA";
    CHECK(kv.post("/v3/kv/put", {{"key", key_a}, {"value", larger}}).status ==
          400);
}

TEST_CASE("stand-in - kv: a watch delivers writes from its revision on") {
    standin kv({"kv"});
    kv.post("/v3/kv/put", {{"key", key_a}, {"value", "Yg=="}});
    http_stream watch(
        kv.url(), "/v3/watch",
        {{"create_request", {{"key", key_a}, {"start_revision", "1"}}}});
    REQUIRE(watch.await_lines(2, seconds(5)).size() == 2);
    kv.post("/v3/kv/put", {{"key", "eg=="}, {"value", "eA=="}});
    kv.post("/v3/kv/put", {{"key", key_a}, {"value", "Yw=="}});
    const auto lines = watch.await_lines(3, seconds(5));
    REQUIRE(lines.size() == 3);
    CHECK(json::parse(lines[0])["result"]["created"] == true);
    const json early = json::parse(lines[1])["result"]["events"][0];
    CHECK(early["kv"]["value"] == "Yg==");
    const json late = json::parse(lines[2])["result"]["events"][0];
    CHECK(late["type"] == "PUT");
    CHECK(late["kv"]["value"] == "Yw==");
}

TEST_CASE("stand-in - kv: a lapsed lease removes its keys") {
    standin kv({"kv"});
    const json lease = kv.post("/v3/lease/grant", {{"TTL", "1"}}).body;
    CHECK(lease["TTL"] == "1");
    http_stream watch(kv.url(), "/v3/watch",
                      {{"create_request", {{"key", key_a}}}});
    REQUIRE(watch.await_lines(1, seconds(5)).size() == 1);
    kv.post("/v3/kv/put",
            {{"key", key_a}, {"value", "Yg=="}, {"lease", lease["ID"]}});
    std::this_thread::sleep_for(milliseconds(600));
    kv.post("/v3/lease/keepalive", {{"ID", lease["ID"]}});
    std::this_thread::sleep_for(milliseconds(600));
    CHECK(read(kv)["count"] == "1");
    const auto lines = watch.await_lines(3, seconds(5));
    REQUIRE(lines.size() == 3);
    CHECK(json::parse(lines[2])["result"]["events"][0]["type"] == "DELETE");
    CHECK(read(kv)["count"] == "0");
    const json gone =
        kv.post("/v3/lease/keepalive", {{"ID", lease["ID"]}}).body;
    CHECK(gone["result"]["TTL"] == "0");
}

TEST_CASE("stand-in - kv: a revoked lease refuses new keys") {
    standin kv({"kv"});
    const json lease = kv.post("/v3/lease/grant", {{"TTL", 30}}).body;
    CHECK(kv.get("/control/stats").body["leases"] == 1);
    CHECK(kv.post("/v3/kv/lease/revoke", {{"ID", lease["ID"]}}).status == 200);
    const auto refused =
        kv.post("/v3/kv/put",
                {{"key", key_a}, {"value", "Yg=="}, {"lease", lease["ID"]}});
    CHECK(refused.status == 400);
    CHECK(kv.get("/control/stats").body["leases"] == 0);
}

TEST_CASE("stand-in - kv: a lost answer still takes effect") {
    standin kv({"kv"});
    kv.post("/control/faults", {{"lose_answers", 1}});
    CHECK(kv.post("/v3/kv/txn", compare_and_put(0, "Yg==")).status == 504);
    CHECK(read(kv)["kvs"][0]["value"] == "Yg==");
    CHECK(kv.post("/v3/kv/txn", compare_and_put(0, "Yg==")).status == 200);
}

TEST_CASE("stand-in - kv: an outage refuses calls and cuts watches") {
    standin kv({"kv"});
    http_stream watch(kv.url(), "/v3/watch",
                      {{"create_request", {{"key", key_a}}}});
    REQUIRE(watch.await_lines(1, seconds(5)).size() == 1);
    CHECK(kv.get("/control/stats").body["open_watches"] == 1);
    kv.post("/control/faults", {{"down", true}});
    CHECK(watch.await_end(seconds(5)));
    CHECK_FALSE(watch.complete());
    CHECK(kv.post("/v3/kv/range", {{"key", key_a}}).status == 503);
    kv.post("/control/faults", {{"down", false}});
    CHECK(kv.post("/v3/kv/range", {{"key", key_a}}).status == 200);
    CHECK(kv.get("/control/stats").body["open_watches"] == 0);
}

TEST_CASE("stand-in - kv: a swallowed call gets no answer until cleared") {
    standin kv({"kv"});
    kv.post("/control/faults", {{"swallow", true}});
    const auto silent = post_json(kv.url(), "/v3/kv/range", {{"key", key_a}},
                                  {}, milliseconds(200));
    CHECK(silent.status == 0);
    kv.post("/control/faults", {{"swallow", false}});
    CHECK(kv.post("/v3/kv/range", {{"key", key_a}}).status == 200);
}

TEST_CASE("stand-in - kv: a delay slows every call") {
    standin kv({"kv"});
    kv.post("/control/faults", {{"delay_ms", 150}});
    const instant began = steady::now();
    CHECK(kv.post("/v3/kv/range", {{"key", key_a}}).status == 200);
    CHECK(steady::now() - began >= milliseconds(150));
}

TEST_CASE("stand-in - kv: 64 watches stay open beside other calls") {
    standin kv({"kv"});
    std::vector<std::unique_ptr<http_stream>> watches;
    watches.reserve(64);
    for (int index = 0; index < 64; ++index)
        watches.push_back(std::make_unique<http_stream>(
            kv.url(), "/v3/watch", json{{"create_request", {{"key", key_a}}}}));
    for (const auto& watch : watches)
        REQUIRE(watch->await_lines(1, seconds(10)).size() == 1);
    kv.post("/v3/kv/put", {{"key", key_a}, {"value", "Yg=="}});
    for (const auto& watch : watches)
        CHECK(watch->await_lines(2, seconds(10)).size() == 2);
}
