#include <ospreystage/app/explain.hpp>

#include <catch2/catch.hpp>

#include <sstream>

using namespace ospreystage;

TEST_CASE(
    "explain - lines of one request from several logs are sorted by time") {
    std::istringstream first(
        R"({"time":"T2","process":"e1","event":"attempt_failed","request":"r1","reason":"cut"}
{"time":"T1","process":"e1","event":"request_sent","request":"r1","server":"i-1"}
{"time":"T1","process":"e1","event":"request_sent","request":"r2","server":"r1"}
not a line of the log with r1
)");
    std::istringstream second(
        "  12.5 edge-2 "
        R"({"time":"T3","process":"e2","event":"request_sent","request":"r1","server":"i-2"})"
        "\n");
    request_timeline timeline("r1");
    timeline.read(first);
    timeline.read(second);
    CHECK(timeline.describe() ==
          std::vector<std::string>{R"(T1 e1 request_sent server="i-1")",
                                   R"(T2 e1 attempt_failed reason="cut")",
                                   R"(T3 e2 request_sent server="i-2")"});
}

TEST_CASE("explain - a request that appears in no log has no lines") {
    std::istringstream log("{\"event\":\"started\"}\n");
    request_timeline timeline("r1");
    timeline.read(log);
    CHECK(timeline.describe().empty());
}
