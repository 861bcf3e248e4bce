#include <ospreystage/core/settings.hpp>

#include <catch2/catch.hpp>
#include <tests/support/answer_reader.hpp>
#include <tests/support/fleet.hpp>
#include <tests/support/free_ports.hpp>
#include <tests/support/http_json.hpp>

#include <algorithm>
#include <csignal>
#include <set>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

child_process start(const std::vector<std::string>& arguments) {
    error failure;
    auto started = value_or_error(
        [&] {
            return child_process::start(arguments,
                                        make_run_folder() + "/child.log");
        },
        failure);
    INFO(to_string(failure));
    REQUIRE(started.has_value());
    return std::move(*started);
}

settings parse_member(const fleet& system, const fleet_member& member) {
    error failure;
    auto parsed = value_or_error(
        [&] { return parse_settings(system.settings_of(member), member.name); },
        failure);
    INFO(to_string(failure));
    REQUIRE(parsed.has_value());
    return *parsed;
}

std::vector<std::string> tokens_of(const digest& weights, std::size_t count) {
    std::vector<std::string> tokens;
    for (std::size_t index = 0; index < count; ++index)
        tokens.push_back(expected_token(weights, "note", index));
    return tokens;
}

chat_call four_tokens() {
    chat_call call;
    call.prompt = "note";
    call.max_tokens = 4;
    return call;
}

std::string event(const std::string& data) {
    return "data: " + data + "\n\n";
}

std::string token_event(const std::string& token) {
    return event(R"({"choices":[{"delta":{"content":")" + token + R"( "}}]})");
}

} // namespace

TEST_CASE("harness - a child's output and exit status are recorded") {
    child_process child = start({"/bin/sh", "-c", "echo ready; exit 3"});
    CHECK(child.await_line("ready", seconds(5)));
    CHECK(child.wait(seconds(5)) == 3);
    CHECK_FALSE(child.running());
    CHECK_FALSE(child.await_line("never", milliseconds(10)));
}

TEST_CASE("harness - a child is frozen, thawed and killed") {
    child_process child =
        start({"/bin/sh", "-c", "while :; do echo tick; sleep 0.02; done"});
    REQUIRE(child.await_line("tick", seconds(5)));
    child.freeze();
    CHECK_FALSE(child.wait(milliseconds(50)).has_value());
    const std::size_t frozen = child.log_text().size();
    CHECK_FALSE(child.wait(milliseconds(150)).has_value());
    CHECK(child.log_text().size() == frozen);
    child.thaw();
    CHECK_FALSE(child.wait(milliseconds(200)).has_value());
    CHECK(child.log_text().size() > frozen);
    child.kill();
    CHECK(child.wait(milliseconds(0)) == 128 + SIGKILL);
}

TEST_CASE("harness - destroying the owner ends the child process") {
    pid_t pid = 0;
    {
        const child_process child = start({"/bin/sleep", "60"});
        pid = child.pid();
        CHECK(::kill(pid, 0) == 0);
    }
    CHECK(::kill(pid, 0) != 0);
}

TEST_CASE("harness - the error for a nonexistent program contains its path") {
    error failure;
    const auto started = value_or_error(
        [&] {
            return child_process::start({"/nonexistent/program"},
                                        make_run_folder() + "/child.log");
        },
        failure);
    CHECK_FALSE(started.has_value());
    CHECK(failure.step == "child_process.start");
    CHECK(failure.peer == "/nonexistent/program");
}

TEST_CASE("harness - free ports are distinct") {
    const auto ports = free_ports(50);
    const std::set<std::uint16_t> distinct(ports.begin(), ports.end());
    CHECK(distinct.size() == 50);
}

TEST_CASE("harness - the settings of every member are valid") {
    fleet_options options;
    options.data_centres = 3;
    options.entries = 8;
    options.agents = 4;
    options.plain_agents = 2;
    options.fencing = true;
    const fleet system(options);
    REQUIRE(system.members().size() == 14);
    for (const fleet_member& member : system.members()) {
        const settings parsed = parse_member(system, member);
        CHECK(parsed.process.name == member.name);
        CHECK(parsed.cluster.witnesses.size() == max_fleet_witnesses);
        CHECK(parsed.listen.peer == member.peer);
        CHECK(parsed.platform.kv_url == system.url("kv"));
    }
    const settings plain = parse_member(system, system.members().back());
    CHECK(plain.process.name == "vm-6");
    CHECK(plain.backend_server.kind == "plain");
    CHECK(plain.backend_server.checks_fencing);
    const settings first = parse_member(system, system.members().front());
    CHECK(first.operators.front().token == "operator-token-1");
}

TEST_CASE("harness - stand-ins of a fleet run and are replaced by name") {
    fleet_options options;
    options.plain_agents = 1;
    fleet system(options);
    INFO(system.problem());
    REQUIRE(system.start_standins());
    const http_answer listed = get_json(system.url("vms"), "/vms");
    CHECK(listed.body.size() == 6);
    CHECK(system.set_faults("kv", {{"down", true}}));
    const weights_version model = system.publish({"model", 1000, 400, 1});
    CHECK(get_json(system.url("origin"),
                   "/versions/" + model.version + "/manifest")
              .status == 200);
    system.kill("backend-vm-1");
    CHECK(get_json(system.url("backend-vm-1"), "/state").status == 0);
    CHECK(system.replace("backend-vm-1"));
    CHECK(get_json(system.url("backend-vm-1"), "/state").status == 200);
}

TEST_CASE("caller - tokens of one known version are served") {
    const std::map<digest, digest> known = {{"v1", "w1"}, {"v2", "w2"}};
    digest version;
    CHECK(check_tokens(known, four_tokens(), tokens_of("w2", 4), version) ==
          call_result::served);
    CHECK(version == "v2");
    CHECK(check_tokens(known, four_tokens(), tokens_of("w2", 3), version) ==
          call_result::cut);
}

TEST_CASE("caller - tokens of two versions or another prompt are mixed") {
    const std::map<digest, digest> known = {{"v1", "w1"}, {"v2", "w2"}};
    digest version;
    auto tokens = tokens_of("w1", 4);
    tokens[3] = tokens_of("w2", 4)[3];
    CHECK(check_tokens(known, four_tokens(), tokens, version) ==
          call_result::mixed);
    CHECK(check_tokens(known, four_tokens(), tokens_of("w3", 4), version) ==
          call_result::mixed);
    CHECK(check_tokens(known, four_tokens(), tokens_of("w1", 5), version) ==
          call_result::mixed);
    auto reordered = tokens_of("w1", 4);
    std::swap(reordered[1], reordered[2]);
    CHECK(check_tokens(known, four_tokens(), reordered, version) ==
          call_result::mixed);
}

TEST_CASE("caller - a stream without a final event is truncated") {
    answer_reader reader(true, steady::now());
    reader.receive(token_event("a") + token_event("b"), steady::now());
    call_outcome outcome;
    CHECK(reader.finish(200, true, outcome) == call_result::cut);
    CHECK(outcome.tokens == std::vector<std::string>{"a", "b"});
    CHECK(outcome.first_token.has_value());
    CHECK(outcome.token_gaps.size() == 1);
}

TEST_CASE("caller - events split across reads are reassembled") {
    const std::string text =
        token_event("a") + token_event("b") + event("[DONE]");
    answer_reader reader(true, steady::now());
    for (const char byte : text)
        reader.receive({&byte, 1}, steady::now());
    call_outcome outcome;
    CHECK(reader.finish(200, true, outcome) == call_result::served);
    CHECK(outcome.tokens.size() == 2);
}

TEST_CASE("caller - refusals are classified by their outcome") {
    const std::string refusal =
        R"({"error":{"outcome":"not-run","reason":"overloaded",)"
        R"("retry_after_ms":250}})";
    call_outcome unary;
    answer_reader unary_reader(false, steady::now());
    unary_reader.receive(refusal, steady::now());
    CHECK(unary_reader.finish(429, true, unary) == call_result::not_run);
    CHECK(unary.reason == "overloaded");
    CHECK(unary.retry_after == milliseconds(250));

    call_outcome streamed;
    answer_reader stream_reader(true, steady::now());
    stream_reader.receive(token_event("a") +
                              event(R"({"error":{"outcome":"unknown"}})"),
                          steady::now());
    CHECK(stream_reader.finish(200, true, streamed) == call_result::unknown);
    CHECK(streamed.tokens.size() == 1);
}

TEST_CASE(
    "caller - a call with no reachable entry is lost after its grace period") {
    const auto port = free_ports(1).at(0);
    caller client({"http://127.0.0.1:" + std::to_string(port)}, {});
    chat_call call = four_tokens();
    call.deadline = milliseconds(100);
    const call_outcome outcome = client.chat(call);
    CHECK(outcome.result == call_result::lost);
    CHECK(outcome.reason == "no entry answers");
    CHECK(outcome.total >= milliseconds(2100));
    CHECK(outcome.total < milliseconds(4000));
}
