#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <tests/support/http_json.hpp>
#include <tests/support/load.hpp>
#include <tests/support/operations.hpp>
#include <tests/support/serving_fleet.hpp>

#include <future>
#include <thread>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

constexpr std::uint64_t long_answer = 200; ///< Tokens; takes about two seconds.
constexpr milliseconds mid_answer{
    600}; ///< Time after the start of a long answer.
constexpr seconds settle_limit{10};
/// Time limit for a cache event to reach the entries.
constexpr milliseconds cache_event_time{1500};
constexpr milliseconds poll_interval{50};

fleet_options small_fleet() {
    fleet_options options;
    options.entries = 3;
    options.agents = 2;
    options.plain_agents = 1;
    options.capacity = 8;
    return options;
}

chat_call long_stream(const std::string& key) {
    chat_call call;
    call.service = engine_service_name;
    call.organisation = "head-office";
    call.idempotency_key = key;
    call.prompt = "note " + key;
    call.max_tokens = long_answer;
    return call;
}

plain_call non_idempotent_call(const std::string& key) {
    plain_call call;
    call.service = plain_service_name;
    call.path = "sanctions";
    call.body = "{}";
    call.organisation = "head-office";
    call.idempotency_key = key;
    return call;
}

std::future<call_outcome> begin_chat(serving_fleet& running,
                                     const std::string& entry,
                                     const chat_call& call) {
    return std::async(std::launch::async, [&running, entry, call] {
        return running.client().chat_at(running.system().url(entry), call);
    });
}

call_outcome chat(serving_fleet& running, const std::string& entry,
                  const chat_call& call) {
    return running.client().chat_at(running.system().url(entry), call);
}

/// Returns how often requests with an organisation's key were started, summed
/// over all back ends.
std::uint64_t runs_of(const fleet& system, const std::string& organisation,
                      const std::string& key) {
    std::uint64_t runs = 0;
    for (const fleet_member& member : system.members()) {
        if (!member.agent)
            continue;
        const http_answer answer =
            get_json(member.backend_url, "/control/runs");
        REQUIRE(answer.status == 200);
        runs += answer.body["by_key"].value(
            fmt::format("{}/{}", organisation, key), std::uint64_t{0});
    }
    return runs;
}

/// Returns the first agent whose back end is running a request, or an empty
/// string.
std::string busy_agent(const fleet& system) {
    for (const fleet_member& member : system.members()) {
        if (!member.agent)
            continue;
        const http_answer state = get_json(member.backend_url, "/state");
        if (state.status == 200 && state.body.value("running", 0) > 0)
            return member.name;
    }
    return "";
}

std::string await_busy_agent(const fleet& system) {
    const instant limit = steady::now() + settle_limit;
    while (steady::now() < limit) {
        std::string name = busy_agent(system);
        if (!name.empty())
            return name;
        std::this_thread::sleep_for(poll_interval);
    }
    return "";
}

std::string other_agent(const std::string& agent) {
    return agent == "vm-1" ? "vm-2" : "vm-1";
}

bool outcome_matches_runs(const call_outcome& outcome, std::uint64_t runs) {
    switch (outcome.result) {
    case call_result::served:
        return runs == 1;
    case call_result::not_run:
        return runs == 0;
    case call_result::unknown:
        return runs <= 1;
    default:
        return false;
    }
}

/// Returns the options of a load that mixes at-most-once and other requests
/// and retries like ordinary callers.
load_options mixed_load(std::uint64_t seed) {
    load_options options;
    options.seed = seed;
    options.threads = 8;
    options.pause = milliseconds(20);
    options.plain_percent = 20;
    options.max_tokens = 40;
    return options;
}

void check_clean(const load_summary& summary) {
    INFO(to_json(summary).dump());
    CHECK(summary.is_clean());
    CHECK(summary.served > 0);
}

} // namespace

TEST_CASE(
    "system - a keyed request is served while one of three witnesses is down") {
    serving_fleet running(small_fleet());
    running.system().kill("entry-2");
    for (int number = 0; number < 4; ++number) {
        chat_call call = long_stream(fmt::format("gone-{}", number));
        call.max_tokens = 4;
        const std::string entry = number % 2 == 0 ? "entry-1" : "entry-3";
        const call_outcome outcome = chat(running, entry, call);
        INFO(outcome.reason);
        CHECK(outcome.result == call_result::served);
    }
}

TEST_CASE(
    "system - a key that ran is not answered not-run without a majority") {
    serving_fleet running(small_fleet());
    chat_call call = long_stream("ran-before");
    call.max_tokens = 4;
    REQUIRE(chat(running, "entry-2", call).result == call_result::served);
    running.system().kill("entry-2");
    running.system().kill("entry-3");
    const call_outcome repeat = chat(running, "entry-1", call);
    INFO(repeat.reason);
    CHECK(repeat.result != call_result::not_run);
    CHECK(runs_of(running.system(), "head-office", "ran-before") == 1);
}

TEST_CASE("system - an engine restart during an answer does not mix streams") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    auto plain = begin_chat(running, "entry-1", long_stream(""));
    auto keyed = begin_chat(running, "entry-2", long_stream("restart"));
    std::this_thread::sleep_for(mid_answer);
    for (const std::string name : {"vm-1", "vm-2"}) {
        post_json(system.url("backend-" + name), "/control/restart", {});
        std::this_thread::sleep_for(mid_answer);
    }
    const call_outcome first = plain.get();
    INFO(first.reason);
    CHECK(first.result != call_result::mixed);
    CHECK(first.result != call_result::cut);
    CHECK(first.result != call_result::lost);
    const call_outcome second = keyed.get();
    INFO(second.reason);
    const auto runs = runs_of(system, "head-office", "restart");
    CHECK(runs == 1);
    CHECK(outcome_matches_runs(second, runs));
}

TEST_CASE(
    "system - a stream resumes on another agent after its agent is killed") {
    serving_fleet running(small_fleet());
    auto stream = begin_chat(running, "entry-1", long_stream(""));
    std::this_thread::sleep_for(mid_answer);
    const std::string agent = await_busy_agent(running.system());
    REQUIRE_FALSE(agent.empty());
    running.system().kill(agent);
    const call_outcome outcome = stream.get();
    INFO(outcome.reason);
    CHECK(outcome.result == call_result::served);
}

TEST_CASE("system - a keyed stream is unknown after its agent is killed") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    auto stream = begin_chat(running, "entry-1", long_stream("killed"));
    std::this_thread::sleep_for(mid_answer);
    const std::string agent = await_busy_agent(system);
    REQUIRE_FALSE(agent.empty());
    system.kill(agent);
    const call_outcome outcome = stream.get();
    INFO(outcome.reason);
    CHECK(outcome.result == call_result::unknown);
    REQUIRE(system.replace(agent));
    REQUIRE(await_serving(system, agent));
    const call_outcome repeat = chat(running, "entry-2", long_stream("killed"));
    CHECK(repeat.result == call_result::unknown);
    CHECK(runs_of(system, "head-office", "killed") == 1);
}

TEST_CASE(
    "system - requests to a paused agent run only if not answered not-run") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    for (const std::string& name : system.agent_names())
        system.freeze(name);
    std::vector<std::future<call_outcome>> calls;
    constexpr int count = 6;
    for (int number = 0; number < count; ++number) {
        chat_call call = long_stream(fmt::format("paused-{}", number));
        call.max_tokens = 4;
        call.request_class = "counter";
        calls.push_back(
            begin_chat(running, fmt::format("entry-{}", number % 3 + 1), call));
    }
    std::vector<call_outcome> outcomes;
    outcomes.reserve(calls.size());
    for (auto& call : calls)
        outcomes.push_back(call.get());
    for (const std::string& name : system.agent_names())
        system.thaw(name);
    std::this_thread::sleep_for(seconds(2));
    for (int number = 0; number < count; ++number) {
        const call_outcome& outcome =
            outcomes.at(static_cast<std::size_t>(number));
        const auto runs =
            runs_of(system, "head-office", fmt::format("paused-{}", number));
        INFO(to_string(outcome.result)
             << " " << outcome.reason << " runs " << runs);
        CHECK(outcome_matches_runs(outcome, runs));
    }
}

TEST_CASE(
    "system - a key runs once when its entry dies and the caller retries") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    auto first = begin_chat(running, "entry-1", long_stream("entry-dies"));
    std::this_thread::sleep_for(mid_answer);
    system.kill("entry-1");
    CHECK(first.get().result != call_result::served);
    const call_outcome repeat =
        chat(running, "entry-2", long_stream("entry-dies"));
    INFO(repeat.reason);
    CHECK((repeat.result == call_result::unknown ||
           repeat.result == call_result::served));
    std::this_thread::sleep_for(seconds(2));
    const call_outcome later =
        chat(running, "entry-3", long_stream("entry-dies"));
    CHECK(later.result != call_result::not_run);
    CHECK(runs_of(system, "head-office", "entry-dies") == 1);
}

TEST_CASE("system - a key is scoped to its organisation") {
    serving_fleet running(small_fleet());
    chat_call call = long_stream("shared");
    call.max_tokens = 8;
    chat_call other = call;
    other.organisation = "branch-1";
    other.prompt = "another note";
    auto first = begin_chat(running, "entry-1", call);
    auto second = begin_chat(running, "entry-2", other);
    CHECK(first.get().result == call_result::served);
    CHECK(second.get().result == call_result::served);
    CHECK(runs_of(running.system(), "head-office", "shared") == 1);
    CHECK(runs_of(running.system(), "branch-1", "shared") == 1);
}

TEST_CASE("system - a key runs once when its service moves to other VMs") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    rollout_document document =
        basic_rollout(system, {running.version().version});
    document.based_on = 1;
    auto first = begin_chat(running, "entry-1", long_stream("moves"));
    std::this_thread::sleep_for(mid_answer);
    const std::string agent = await_busy_agent(system);
    REQUIRE_FALSE(agent.empty());
    document.services.front().vms = {other_agent(agent)};
    document.deployments.front().vms = {other_agent(agent)};
    REQUIRE(submit_rollout(system, "entry-2", document, "moves")
                .value("result", "") == "accepted");
    const call_outcome repeat = chat(running, "entry-2", long_stream("moves"));
    INFO(repeat.reason);
    CHECK(repeat.result != call_result::not_run);
    const call_outcome outcome = first.get();
    INFO(outcome.reason);
    CHECK(outcome.result == call_result::served);
    CHECK(runs_of(system, "head-office", "moves") == 1);
}

TEST_CASE("system - a plain non-idempotent route runs once per key") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    caller& client = running.client();
    plain_call unkeyed = non_idempotent_call("");
    const call_outcome refused =
        client.plain_at(system.url("entry-1"), unkeyed);
    CHECK(refused.result == call_result::not_run);
    CHECK(refused.reason == "idempotency_key_missing");
    const call_outcome first =
        client.plain_at(system.url("entry-1"), non_idempotent_call("once"));
    INFO(first.reason);
    CHECK(first.result == call_result::served);
    const call_outcome repeat =
        client.plain_at(system.url("entry-2"), non_idempotent_call("once"));
    CHECK(repeat.result != call_result::not_run);
    CHECK(runs_of(system, "head-office", "once") == 1);
}

TEST_CASE(
    "system - a stopping entry truncates no stream and gets no new requests") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    chat_call call = long_stream("");
    call.max_tokens = 2 * long_answer;
    auto stream = begin_chat(running, "entry-1", call);
    auto keyed = begin_chat(running, "entry-1", long_stream("stops"));
    std::this_thread::sleep_for(mid_answer);
    system.terminate("entry-1");
    std::this_thread::sleep_for(seconds(1));
    const http_answer named = get_json(system.url("entry-2"), "/v1/entries");
    REQUIRE(named.status == 200);
    const auto urls = named.body["entries"].get<std::vector<std::string>>();
    CHECK(std::find(urls.begin(), urls.end(), system.url("entry-1")) ==
          urls.end());
    chat_call fresh = long_stream("");
    fresh.max_tokens = 4;
    CHECK(chat(running, "entry-1", fresh).result == call_result::not_run);
    // An earlier attempt with the key may have run, so the entry must not
    // answer `not-run`.
    fresh.idempotency_key = "fresh";
    CHECK(chat(running, "entry-1", fresh).result == call_result::unknown);
    CHECK(stream.get().result == call_result::served);
    CHECK(keyed.get().result == call_result::served);
    const auto status = system.process("entry-1").wait(settle_limit);
    CHECK(status == std::optional<int>(0));
    CHECK(runs_of(system, "head-office", "fresh") == 0);
}

TEST_CASE("system - a stopping agent truncates no stream") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    load callers(system, running.client(), mixed_load(11));
    callers.start();
    auto stream = begin_chat(running, "entry-1", long_stream("agent-stops"));
    std::this_thread::sleep_for(mid_answer);
    system.terminate("vm-1");
    std::this_thread::sleep_for(milliseconds(500));
    const auto started = [&] {
        return dump_of(system, "vm-1")["services"]["attempts"]["state"].value(
            "started_total", 0);
    };
    const int after_notice = started();
    std::this_thread::sleep_for(milliseconds(1500));
    CHECK(started() == after_notice);
    CHECK(stream.get().result == call_result::served);
    CHECK(system.process("vm-1").wait(settle_limit) == std::optional<int>(0));
    check_clean(callers.finish());
}

TEST_CASE("system - two agents stopping together truncate no request") {
    fleet_options options = small_fleet();
    options.agents = 4;
    serving_fleet running(options);
    fleet& system = running.system();
    load callers(system, running.client(), mixed_load(12));
    callers.start();
    std::this_thread::sleep_for(mid_answer);
    system.terminate("vm-1");
    system.terminate("vm-2");
    CHECK(system.process("vm-1").wait(settle_limit) == std::optional<int>(0));
    CHECK(system.process("vm-2").wait(settle_limit) == std::optional<int>(0));
    const load_summary summary = callers.finish();
    check_clean(summary);
    CHECK(summary.unknown == 0);
}

TEST_CASE("system - a version change truncates and mixes no stream") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    load_options options = mixed_load(13);
    options.max_tokens = long_answer;
    options.plain_percent = 0;
    load callers(system, running.client(), options);
    callers.start();
    const auto next = system.publish({"desk-llm", 1 << 20, 1 << 16, 2});
    running.client().add_version(next.version, next.weights_digest);
    std::this_thread::sleep_for(mid_answer);
    rollout_document document = basic_rollout(system, {next.version});
    document.based_on = 1;
    REQUIRE(submit_rollout(system, "entry-1", document, "change")
                .value("result", "") == "accepted");
    CHECK(await_live(system, next.version, 2, settle_limit));
    std::this_thread::sleep_for(seconds(2));
    check_clean(callers.finish());
    chat_call call = long_stream("");
    call.max_tokens = 4;
    const call_outcome last = chat(running, "entry-1", call);
    CHECK(last.result == call_result::served);
    CHECK(last.version == next.version);
}

TEST_CASE(
    "system - a rollback of a partially distributed version mixes no stream") {
    fleet_options options = small_fleet();
    options.origin_bytes_per_second = 4 * 1024 * 1024;
    serving_fleet running(options);
    fleet& system = running.system();
    load callers(system, running.client(), mixed_load(14));
    callers.start();
    const auto next = system.publish({"desk-llm", 16 << 20, 1 << 18, 2});
    running.client().add_version(next.version, next.weights_digest);
    rollout_document document = basic_rollout(system, {next.version});
    document.based_on = 1;
    REQUIRE(submit_rollout(system, "entry-1", document, "half")
                .value("result", "") == "accepted");
    std::this_thread::sleep_for(seconds(2));
    CHECK(live_replicas(system, next.version) == 0);
    document = basic_rollout(system, {running.version().version});
    document.based_on = 2;
    REQUIRE(submit_rollout(system, "entry-2", document, "back")
                .value("result", "") == "accepted");
    std::this_thread::sleep_for(seconds(2));
    check_clean(callers.finish());
    chat_call call = long_stream("");
    call.max_tokens = 4;
    const call_outcome last = chat(running, "entry-3", call);
    CHECK(last.result == call_result::served);
    CHECK(last.version == running.version().version);
    CHECK(live_replicas(system, running.version().version) == 2);
}

TEST_CASE("system - a key runs once after a witness has restarted") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    chat_call call = long_stream("witness");
    call.max_tokens = 4;
    REQUIRE(chat(running, "entry-1", call).result == call_result::served);
    for (const std::string name : {"entry-2", "entry-3"}) {
        REQUIRE(system.replace(name));
        const instant limit = steady::now() + settle_limit;
        const auto recovered = [&] {
            const nlohmann::json state = dump_of(system, name);
            return state.is_object() &&
                   state["services"]["claims"]["state"].value("recovered",
                                                              false);
        };
        while (!recovered() && steady::now() < limit)
            std::this_thread::sleep_for(poll_interval);
        REQUIRE(recovered());
        REQUIRE(await_replicas(system, name, running.version().version));
    }
    const call_outcome repeat = chat(running, "entry-2", call);
    INFO(repeat.reason);
    CHECK(repeat.result != call_result::not_run);
    CHECK(runs_of(system, "head-office", "witness") == 1);
    chat_call fresh = long_stream("after-restart");
    fresh.max_tokens = 4;
    const call_outcome next = chat(running, "entry-3", fresh);
    INFO(next.reason);
    CHECK(next.result == call_result::served);
}

TEST_CASE(
    "system - a stream moves from an agent whose connections are silent") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    auto stream = begin_chat(running, "entry-1", long_stream(""));
    std::this_thread::sleep_for(mid_answer);
    const std::string agent = await_busy_agent(system);
    REQUIRE_FALSE(agent.empty());
    system.freeze(agent);
    const call_outcome outcome = stream.get();
    system.thaw(agent);
    INFO(outcome.reason);
    CHECK(outcome.result == call_result::served);
    CHECK(outcome.total < seconds(9));
}

TEST_CASE("system - prompts with a cached prefix go to the same engine") {
    serving_fleet running(small_fleet());
    fleet& system = running.system();
    chat_call call = long_stream("");
    call.prompt = "summarise the ledger of this cooperative, part ";
    call.max_tokens = 2;
    REQUIRE(chat(running, "entry-1", call).result == call_result::served);
    std::this_thread::sleep_for(cache_event_time);
    const auto attempts_at = [&](const std::string& agent) {
        const http_answer answer =
            get_json(system.url("backend-" + agent), "/control/runs");
        return answer.body["by_attempt"].size();
    };
    const std::string holder = attempts_at("vm-1") == 1 ? "vm-1" : "vm-2";
    constexpr std::size_t repeats = 12;
    for (std::size_t number = 0; number < repeats; ++number) {
        chat_call next = call;
        next.prompt += std::to_string(number);
        CHECK(chat(running, "entry-1", next).result == call_result::served);
    }
    CHECK(attempts_at(holder) == repeats + 1);
}
