#include <catch2/catch.hpp>
#include <tests/support/standin.hpp>

#include <thread>

using namespace ospreystage;
using namespace ospreystage::support;
using nlohmann::json;

TEST_CASE("stand-in - vms: a change shows after the lag") {
    standin vms({"vms", "--lag-ms", "300"});
    vms.post("/control/vm", {{"vm", "vm-1"}, {"state", "live"}});
    CHECK(vms.get("/vms").body == json::array());
    std::this_thread::sleep_for(milliseconds(400));
    CHECK(vms.get("/vms").body ==
          json::array({{{"vm", "vm-1"}, {"state", "live"}}}));
    vms.post("/control/vm", {{"vm", "vm-1"}, {"state", "leaving"}});
    CHECK(vms.get("/vms").body[0]["state"] == "live");
    std::this_thread::sleep_for(milliseconds(400));
    CHECK(vms.get("/vms").body[0]["state"] == "leaving");
}

TEST_CASE("stand-in - vms: an absent VM leaves the list") {
    standin vms({"vms"});
    vms.post("/control/vm", {{"vm", "vm-1"}, {"state", "live"}});
    vms.post("/control/vm", {{"vm", "vm-1"}, {"state", "absent"}});
    CHECK(vms.get("/vms").body == json::array());
    CHECK(vms.post("/control/vm", {{"vm", "vm-1"}, {"state", "gone"}}).status ==
          400);
}

TEST_CASE("stand-in - plain: answers echo the request and count its runs") {
    standin plain({"plain", "--work-ms", "50"});
    const http_headers headers = {{"X-Organisation", "org-1"},
                                  {"Idempotency-Key", "key-1"},
                                  {"X-Attempt-Id", "entry-1#1/1"}};
    const instant began = steady::now();
    const json first = plain.post("/records/7", {{"a", 1}}, headers).body;
    CHECK(steady::now() - began >= milliseconds(50));
    CHECK(first["path"] == "/records/7");
    CHECK(first["echo"] == R"({"a":1})");
    CHECK(first["serial"] == 1);
    CHECK(plain.post("/records/7", {{"a", 1}}, headers).body["serial"] == 2);
    const json runs = plain.get("/control/runs").body;
    CHECK(runs["by_key"]["org-1/key-1"] == 2);
    CHECK(runs["by_attempt"]["entry-1#1/1"] == 2);
    CHECK(plain.get("/state").body["running"] == 0);
}

TEST_CASE("stand-in - plain: a stalled service counts the run, not answers") {
    standin plain({"plain"});
    plain.post("/control/faults", {{"stall", true}});
    const auto silent = post_json(plain.url(), "/x", json::object(),
                                  {{"X-Attempt-Id", "a"}}, milliseconds(200));
    CHECK(silent.status == 0);
    CHECK(plain.get("/control/runs").body["by_attempt"]["a"] == 1);
    CHECK(plain.get("/state").body["running"] == 1);
}
