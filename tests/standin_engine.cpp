#include <catch2/catch.hpp>
#include <tests/support/caller.hpp>
#include <tests/support/http_stream.hpp>
#include <tests/support/standin.hpp>
#include <tests/support/weights.hpp>
#include <tests/support/weights_server.hpp>

#include <sstream>
#include <thread>

using namespace ospreystage;
using namespace ospreystage::support;
using nlohmann::json;

namespace {

const weights_spec small_model{"model", 10'000, 4'000, 1};

json chat_body(const digest& version, const std::string& prompt, int max_tokens,
               bool stream) {
    return {{"model", version},
            {"messages", {{{"role", "user"}, {"content", prompt}}}},
            {"max_tokens", max_tokens},
            {"stream", stream}};
}

bool await_held(standin& engine, const digest& version) {
    const instant end = steady::now() + seconds(10);
    while (steady::now() < end) {
        const json state = engine.get("/state").body;
        for (const auto& held : state["held"]) {
            if (held == version)
                return true;
        }
        std::this_thread::sleep_for(milliseconds(10));
    }
    return false;
}

http_answer load(standin& engine, const digest& version,
                 const std::string& source, int fence = 1) {
    return engine.post("/orders", {{"fence", fence},
                                   {"op", "load"},
                                   {"version", version},
                                   {"source", source}});
}

/// An engine that holds `small_model`.
struct loaded_engine {
    explicit loaded_engine(std::vector<std::string> arguments)
        : engine(std::move(arguments)) {
        REQUIRE(load(engine, model.version, source.url()).status == 200);
        REQUIRE(await_held(engine, model.version));
    }

    weights_version model = describe(small_model);
    weights_server source{small_model};
    standin engine;
};

std::string expected_text(const weights_version& model,
                          const std::string& prompt, std::uint64_t count) {
    std::string text;
    for (std::uint64_t index = 0; index < count; ++index)
        text += (index == 0 ? "" : " ") +
                expected_token(model.weights_digest, prompt, index);
    return text;
}

std::string content_of(const http_answer& answer) {
    return answer.body["choices"][0]["message"]["content"];
}

std::string delta_of(const std::string& line) {
    const json chunk = json::parse(line.substr(std::string("data: ").size()));
    return chunk["choices"][0]["delta"].value("content", "");
}

} // namespace

TEST_CASE("stand-in - engine: tokens follow from the bytes and the prompt") {
    loaded_engine loaded({"engine"});
    const auto answer =
        loaded.engine.post("/v1/chat/completions",
                           chat_body(loaded.model.version, "note", 5, false));
    REQUIRE(answer.status == 200);
    CHECK(content_of(answer) == expected_text(loaded.model, "note", 5));
    CHECK(answer.body["model"] == loaded.model.version);
    CHECK(answer.body["choices"][0]["finish_reason"] == "stop");
    CHECK(answer.headers.at("X-Model-Version") == loaded.model.version);
}

TEST_CASE("stand-in - engine: a stream begins at skip_tokens and is ended") {
    loaded_engine loaded({"engine"});
    json body = chat_body(loaded.model.version, "note", 5, true);
    body["skip_tokens"] = 3;
    http_stream stream(loaded.engine.url(), "/v1/chat/completions", body);
    REQUIRE(stream.await_end(seconds(5)));
    CHECK(stream.complete());
    const auto lines = stream.await_lines(4, seconds(1));
    REQUIRE(lines.size() == 4);
    const auto token = [&](std::uint64_t index) {
        return expected_token(loaded.model.weights_digest, "note", index) + " ";
    };
    CHECK(delta_of(lines[0]) == token(3));
    CHECK(delta_of(lines[1]) == token(4));
    CHECK(lines[2].find(R"("finish_reason":"stop")") != std::string::npos);
    CHECK(lines[3] == "data: [DONE]");
}

TEST_CASE("stand-in - engine: wrong bytes show in the tokens") {
    const weights_version model = describe(small_model);
    weights_spec other = small_model;
    other.seed = 2;
    const weights_server wrong(other, model.version);
    standin engine({"engine"});
    REQUIRE(load(engine, model.version, wrong.url()).status == 200);
    REQUIRE(await_held(engine, model.version));
    const auto answer = engine.post("/v1/chat/completions",
                                    chat_body(model.version, "note", 3, false));
    CHECK(content_of(answer) == expected_text(describe(other), "note", 3));
    CHECK(content_of(answer) != expected_text(model, "note", 3));
}

TEST_CASE("stand-in - engine: a version that is not held is refused") {
    loaded_engine loaded({"engine"});
    const auto refused =
        loaded.engine.post("/v1/chat/completions",
                           chat_body(std::string(64, '0'), "note", 3, false));
    CHECK(refused.status == 404);
    loaded.engine.post(
        "/orders",
        {{"fence", 2}, {"op", "drop"}, {"version", loaded.model.version}});
    CHECK(loaded.engine
              .post("/v1/chat/completions",
                    chat_body(loaded.model.version, "note", 3, false))
              .status == 404);
}

TEST_CASE("stand-in - engine: a load whose source fails is forgotten") {
    const digest version(64, 'a');
    standin engine({"engine"});
    REQUIRE(load(engine, version, engine.url()).status == 200);
    const instant end = steady::now() + seconds(5);
    while (!engine.get("/state").body["loading"].empty() && steady::now() < end)
        std::this_thread::sleep_for(milliseconds(10));
    CHECK(engine.get("/state").body["loading"].empty());
    CHECK(engine.get("/state").body["held"].empty());
}

TEST_CASE("stand-in - engine: with fencing an old number is refused") {
    const digest version(64, 'a');
    standin engine({"engine", "--fencing"});
    CHECK(load(engine, version, engine.url(), 5).status == 200);
    const auto stale = load(engine, version, engine.url(), 4);
    CHECK(stale.status == 409);
    CHECK(stale.body["fence"] == 5);
    CHECK(load(engine, version, engine.url(), 5).status == 200);
}

TEST_CASE("stand-in - engine: without fencing an old number is obeyed") {
    standin engine({"engine"});
    const auto set_role = [&](int fence, const std::string& role) {
        return engine
            .post("/orders",
                  {{"fence", fence}, {"op", "set_role"}, {"role", role}})
            .status;
    };
    CHECK(set_role(5, "prefill") == 200);
    CHECK(set_role(4, "decode") == 200);
    CHECK(engine.get("/state").body["role"] == "decode");
    CHECK(engine.get("/state").body["fence"] == 5);
}

TEST_CASE("stand-in - engine: requests share the steps up to the capacity") {
    loaded_engine loaded({"engine", "--capacity", "4", "--step-ms", "20"});
    const auto timed = [&](int requests) {
        const instant began = steady::now();
        std::vector<std::thread> callers;
        callers.reserve(static_cast<std::size_t>(requests));
        for (int index = 0; index < requests; ++index)
            callers.emplace_back([&] {
                post_json(loaded.engine.url(), "/v1/chat/completions",
                          chat_body(loaded.model.version, "note", 20, false));
            });
        for (std::thread& thread : callers)
            thread.join();
        return steady::now() - began;
    };
    const auto one = timed(1);
    const auto four = timed(4);
    const auto eight = timed(8);
    CHECK(one >= milliseconds(360));
    CHECK(four < one + milliseconds(200));
    CHECK(eight >= milliseconds(760));
}

TEST_CASE("stand-in - engine: the higher priority is admitted first") {
    loaded_engine loaded({"engine", "--capacity", "1"});
    const auto start = [&](int tokens, int priority) {
        json body = chat_body(loaded.model.version, "note", tokens, true);
        body["priority"] = priority;
        return std::make_unique<http_stream>(loaded.engine.url(),
                                             "/v1/chat/completions", body);
    };
    const auto running = start(40, 0);
    REQUIRE_FALSE(running->await_lines(1, seconds(5)).empty());
    const auto low = start(40, 1);
    std::this_thread::sleep_for(milliseconds(100));
    const auto high = start(40, 2);
    REQUIRE(high->await_end(seconds(5)));
    CHECK_FALSE(low->await_end(milliseconds(0)));
    CHECK(low->await_end(seconds(5)));
}

TEST_CASE("stand-in - engine: too many waiting requests are refused") {
    loaded_engine loaded({"engine", "--capacity", "1"});
    loaded.engine.post("/control/faults", {{"stall", true}});
    std::vector<std::unique_ptr<http_stream>> waiting;
    waiting.reserve(4);
    const json body = chat_body(loaded.model.version, "note", 5, true);
    for (int index = 0; index < 4; ++index)
        waiting.push_back(std::make_unique<http_stream>(
            loaded.engine.url(), "/v1/chat/completions", body));
    const instant end = steady::now() + seconds(5);
    while (loaded.engine.get("/state").body["queued"] != 4 &&
           steady::now() < end)
        std::this_thread::sleep_for(milliseconds(10));
    CHECK(loaded.engine.post("/v1/chat/completions", body).status == 429);
}

TEST_CASE("stand-in - engine: a closed connection cancels its request") {
    loaded_engine loaded({"engine", "--capacity", "1"});
    http_stream stream(loaded.engine.url(), "/v1/chat/completions",
                       chat_body(loaded.model.version, "note", 100'000, true));
    REQUIRE_FALSE(stream.await_lines(1, seconds(5)).empty());
    CHECK(loaded.engine.get("/state").body["running"] == 1);
    stream.stop();
    const instant end = steady::now() + seconds(5);
    while (loaded.engine.get("/state").body["running"] != 0 &&
           steady::now() < end)
        std::this_thread::sleep_for(milliseconds(10));
    CHECK(loaded.engine.get("/state").body["running"] == 0);
}

TEST_CASE("stand-in - engine: a restart cuts streams and forgets versions") {
    loaded_engine loaded({"engine"});
    http_stream stream(loaded.engine.url(), "/v1/chat/completions",
                       chat_body(loaded.model.version, "note", 100'000, true));
    REQUIRE_FALSE(stream.await_lines(1, seconds(5)).empty());
    loaded.engine.post("/control/restart", json::object());
    CHECK(stream.await_end(seconds(5)));
    CHECK_FALSE(stream.complete());
    CHECK(loaded.engine.get("/state").body["held"].empty());
    CHECK(loaded.engine.get("/state").body["fence"] == 0);
}

TEST_CASE("stand-in - engine: counts each request that began to generate") {
    loaded_engine loaded({"engine"});
    const http_headers headers = {{"X-Organisation", "org-1"},
                                  {"Idempotency-Key", "key-1"},
                                  {"X-Attempt-Id", "entry-1#1/1"}};
    const json body = chat_body(loaded.model.version, "note", 2, false);
    loaded.engine.post("/v1/chat/completions", body, headers);
    loaded.engine.post("/v1/chat/completions", body, headers);
    loaded.engine.post("/v1/chat/completions",
                       chat_body(std::string(64, '0'), "note", 2, false),
                       headers);
    const json runs = loaded.engine.get("/control/runs").body;
    CHECK(runs["by_key"]["org-1/key-1"] == 2);
    CHECK(runs["by_attempt"]["entry-1#1/1"] == 2);
}

TEST_CASE("stand-in - engine: cached blocks shorten the first step") {
    loaded_engine loaded({"engine", "--step-ms", "10"});
    // 400 blocks of 32 characters take 50 steps of prefill.
    const std::string prompt(400 * 32, 'p');
    const auto first_answer = [&] {
        const instant began = steady::now();
        loaded.engine.post("/v1/chat/completions",
                           chat_body(loaded.model.version, prompt, 1, false));
        return steady::now() - began;
    };
    CHECK(first_answer() >= milliseconds(450));
    CHECK(first_answer() < milliseconds(300));
}

TEST_CASE("stand-in - engine: cache events come late and with gaps") {
    loaded_engine loaded(
        {"engine", "--cache-blocks", "30", "--event-lag-ms", "300"});
    std::string prompt;
    for (int block = 0; block < 40; ++block)
        prompt += std::string(31, 'p') + static_cast<char>('A' + block);
    loaded.engine.post("/v1/chat/completions",
                       chat_body(loaded.model.version, prompt, 1, false));
    CHECK(loaded.engine.get("/cache_events?after=0").body["events"].empty());
    std::this_thread::sleep_for(milliseconds(500));
    const json seen = loaded.engine.get("/cache_events?after=0").body;
    CHECK(seen["next"] == 50);
    CHECK(seen["events"].size() == 48);
    CHECK(seen["events"][0]["type"] == "stored");
    CHECK(seen["events"].back()["type"] == "removed");
    CHECK(loaded.engine.get("/cache_events?after=50").body["events"].empty());
}

TEST_CASE("stand-in - engine: a session moves to another engine") {
    loaded_engine first({"engine"});
    loaded_engine second({"engine"});
    json body = chat_body(first.model.version, std::string(64, 'p'), 1, false);
    body["session"] = "session-1";
    first.engine.post("/v1/chat/completions", body);
    const json state = first.engine.get("/kv/session-1").body;
    CHECK(state["blocks"].size() == 2);
    CHECK(second.engine.get("/kv/session-1").status == 404);
    CHECK(second.engine.post("/kv/session-1", state).status == 200);
    CHECK(second.engine.get("/kv/session-1").body == state);
}

TEST_CASE("stand-in - engine: the reported load lags") {
    loaded_engine loaded({"engine", "--load-lag-ms", "1000"});
    std::this_thread::sleep_for(milliseconds(100));
    http_stream stream(loaded.engine.url(), "/v1/chat/completions",
                       chat_body(loaded.model.version, "note", 100'000, true));
    REQUIRE_FALSE(stream.await_lines(1, seconds(5)).empty());
    bool seen_age = false;
    bool seen_running = false;
    const instant end = steady::now() + seconds(4);
    while (!(seen_age && seen_running) && steady::now() < end) {
        const json state = loaded.engine.get("/state").body;
        seen_age = seen_age || state["age_ms"] > 100;
        seen_running = seen_running || state["running"] == 1;
        std::this_thread::sleep_for(milliseconds(20));
    }
    CHECK(seen_age);
    CHECK(seen_running);
}

TEST_CASE("caller - an engine's answers are served, streamed and whole") {
    loaded_engine loaded({"engine"});
    caller client({loaded.engine.url()},
                  {{loaded.model.version, loaded.model.weights_digest}});
    chat_call call;
    call.service = loaded.model.version;
    call.prompt = "note";
    call.max_tokens = 6;
    const call_outcome streamed = client.chat(call);
    CHECK(streamed.result == call_result::served);
    CHECK(streamed.version == loaded.model.version);
    CHECK(streamed.named_version == loaded.model.version);
    CHECK(streamed.token_gaps.size() == 5);
    call.stream = false;
    CHECK(client.chat(call).result == call_result::served);
}

TEST_CASE("caller - a restart of the engine in a stream is a cut") {
    loaded_engine loaded({"engine"});
    caller client({loaded.engine.url()},
                  {{loaded.model.version, loaded.model.weights_digest}});
    chat_call call;
    call.service = loaded.model.version;
    call.prompt = "note";
    call.max_tokens = 1000;
    std::thread restart([&] {
        std::this_thread::sleep_for(milliseconds(300));
        loaded.engine.post("/control/restart", nlohmann::json::object());
    });
    const call_outcome outcome = client.chat(call);
    restart.join();
    CHECK(outcome.result == call_result::cut);
    CHECK(outcome.version == loaded.model.version);
}

TEST_CASE("caller - an engine that stalls loses the call") {
    loaded_engine loaded({"engine"});
    loaded.engine.post("/control/faults", {{"stall", true}});
    caller client({loaded.engine.url()},
                  {{loaded.model.version, loaded.model.weights_digest}});
    chat_call call;
    call.service = loaded.model.version;
    call.prompt = "note";
    call.deadline = milliseconds(100);
    const call_outcome outcome = client.chat(call);
    CHECK(outcome.result == call_result::lost);
    CHECK(outcome.total < milliseconds(4000));
}
