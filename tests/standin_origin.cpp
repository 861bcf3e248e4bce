#include <ospreystage/weights/manifest.hpp>

#include <catch2/catch.hpp>
#include <tests/support/standin.hpp>
#include <tests/support/weights.hpp>

#include <thread>

using namespace ospreystage;
using namespace ospreystage::support;
using nlohmann::json;

namespace {

digest publish(standin& origin, const weights_spec& spec) {
    return origin
        .post("/control/publish", {{"name", spec.name},
                                   {"bytes", spec.bytes},
                                   {"chunk_bytes", spec.chunk_bytes},
                                   {"seed", spec.seed}})
        .body["version"];
}

std::string chunk_path(const digest& version, int index) {
    return "/versions/" + version + "/chunks/" + std::to_string(index);
}

} // namespace

TEST_CASE("stand-in - origin: manifest and chunks agree with the generator") {
    standin origin({"origin"});
    const weights_spec spec{"model", 250'003, 100'000, 7};
    const weights_version expected = describe(spec);
    REQUIRE(publish(origin, spec) == expected.version);
    const std::string text =
        origin.get("/versions/" + expected.version + "/manifest").text;
    CHECK(sha256(text) == expected.version);
    std::string whole;
    for (int index = 0; index < 3; ++index) {
        const std::string chunk =
            origin.get(chunk_path(expected.version, index)).text;
        CHECK(sha256(chunk) ==
              expected.description.chunks[static_cast<std::size_t>(index)]);
        whole += chunk;
    }
    CHECK(sha256(whole) == expected.weights_digest);
    CHECK(make_manifest(whole, 100'000) == expected.description);
    CHECK(origin.get(chunk_path(expected.version, 3)).status == 404);
    const json counted =
        origin.get("/control/stats").body["versions"][expected.version];
    CHECK(counted["chunk_bytes"] == 250'003);
    CHECK(counted["copies"] == 1.0);
}

TEST_CASE("stand-in - origin: the seed and the name change the bytes") {
    const weights_version base = describe({"model", 1000, 100, 1});
    CHECK(describe({"model", 1000, 100, 1}).version == base.version);
    CHECK(describe({"model", 1000, 100, 2}).version != base.version);
    CHECK(describe({"adapter", 1000, 100, 1}).version != base.version);
    CHECK(describe({"model", 1000, 300, 1}).weights_digest ==
          base.weights_digest);
}

TEST_CASE("stand-in - origin: all responses together keep to the rate") {
    standin origin({"origin", "--bytes-per-second", "2000000"});
    const digest version = publish(origin, {"model", 500'000, 500'000, 1});
    const instant began = steady::now();
    std::thread other(
        [&] { CHECK_FALSE(origin.get(chunk_path(version, 0)).text.empty()); });
    CHECK(origin.get(chunk_path(version, 0)).text.size() == 500'000);
    other.join();
    const auto taken = steady::now() - began;
    CHECK(taken >= milliseconds(480));
    CHECK(taken < milliseconds(1500));
}

TEST_CASE("stand-in - origin: corruption shows in the digest") {
    standin origin({"origin"});
    const weights_spec spec{"model", 1000, 1000, 1};
    const weights_version expected = describe(spec);
    REQUIRE(publish(origin, spec) == expected.version);
    origin.post("/control/faults", {{"corrupt_percent", 100}});
    const std::string wrong = origin.get(chunk_path(expected.version, 0)).text;
    CHECK(wrong.size() == 1000);
    CHECK(sha256(wrong) != expected.description.chunks[0]);
    origin.post("/control/faults", {{"corrupt_percent", 0}});
    CHECK(sha256(origin.get(chunk_path(expected.version, 0)).text) ==
          expected.description.chunks[0]);
}

TEST_CASE("stand-in - origin: an outage refuses and a stall hangs") {
    standin origin({"origin"});
    const digest version = publish(origin, {"model", 1000, 1000, 1});
    origin.post("/control/faults", {{"down", true}});
    CHECK(origin.get(chunk_path(version, 0)).status == 503);
    origin.post("/control/faults", {{"down", false}, {"stall", true}});
    CHECK(get_json(origin.url(), chunk_path(version, 0), milliseconds(200))
              .status == 0);
    origin.post("/control/faults", {{"stall", false}});
    CHECK(origin.get(chunk_path(version, 0)).status == 200);
}

TEST_CASE("stand-in - origin: a stall stops a transfer that has begun") {
    standin origin({"origin", "--bytes-per-second", "1000000"});
    const digest version = publish(origin, {"model", 1'000'000, 1'000'000, 1});
    std::thread transfer([&] {
        CHECK(origin.get(chunk_path(version, 0)).text.size() == 1'000'000);
    });
    std::this_thread::sleep_for(milliseconds(300));
    origin.post("/control/faults", {{"stall", true}});
    std::this_thread::sleep_for(milliseconds(100));
    const json before = origin.get("/control/stats").body["chunk_bytes"];
    std::this_thread::sleep_for(milliseconds(300));
    CHECK(origin.get("/control/stats").body["chunk_bytes"] == before);
    CHECK(before < 1'000'000);
    origin.post("/control/faults", {{"stall", false}});
    transfer.join();
}
