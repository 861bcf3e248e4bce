#include <ospreystage/core/settings.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

const std::string agent_text = R"(
[process]
role = "agent"
name = "vm-1"
vm = "vm-1"
data_centre = "kolkata"
region = "west-bengal"
[listen]
http = "127.0.0.1:7001"
peer = "127.0.0.1:7002"
[cluster]
token = "secret"
witnesses = [{ name = "entry-1", peer = "127.0.0.1:7003" }]
[platform]
kv_url = "http://127.0.0.1:7004"
[origin]
url = "http://127.0.0.1:7005"
[backend_server]
url = "http://127.0.0.1:7006"
)";

std::string fault_of(const std::string& text) {
    error failure;
    const auto value = value_or_error(
        [&] { return parse_settings(text, "agent.toml"); }, failure);
    REQUIRE_FALSE(value.has_value());
    return failure.detail;
}

std::string replaced(const std::string& from, const std::string& to) {
    std::string text = agent_text;
    text.replace(text.find(from), from.size(), to);
    return text;
}

} // namespace

TEST_CASE("settings - a complete agent file is accepted") {
    error failure;
    const auto value = value_or_error(
        [&] { return parse_settings(agent_text, "agent.toml"); }, failure);
    INFO(failure.detail);
    REQUIRE(value.has_value());
    CHECK(value->process.role == process_role::agent);
    CHECK(value->listen.peer.port == 7002);
    CHECK(value->cluster.witnesses.size() == 1);
}

TEST_CASE("settings - an unknown key is reported with file and line") {
    CHECK(fault_of(replaced("[listen]", "[listen]\nhtp = 1")) ==
          "agent.toml:9: listen.htp is not a known key");
}

TEST_CASE("settings - a wrong unit is refused") {
    const std::string text =
        replaced("[cluster]", "[cluster]\nsilence_timeout = \"2 sec\"");
    CHECK(fault_of(text).find("cluster.silence_timeout must be a duration") !=
          std::string::npos);
}

TEST_CASE("settings - a value out of range is refused") {
    const std::string text = replaced("[listen]", "[listen]\nhttp_threads = 0");
    CHECK(fault_of(text) ==
          "agent.toml:9: listen.http_threads must be from 2 to 4096");
}

TEST_CASE("settings - a missing key is refused") {
    CHECK(fault_of(replaced("token = \"secret\"", ""))
              .find("cluster.token is missing") != std::string::npos);
}

TEST_CASE("settings - invalid TOML is refused with file and line") {
    CHECK(fault_of("[process\n").starts_with("agent.toml:1"));
}
