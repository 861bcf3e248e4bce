#include "common.hpp"
#include "engine_batch.hpp"
#include "engine_weights.hpp"

#include <algorithm>
#include <memory>
#include <thread>

namespace ospreystage::standin {

namespace {

constexpr std::uint64_t default_max_tokens = 16;

struct engine_options {
    std::string listen;
    engine_batch::limits limits;
    bool fencing = false;
};

std::string chunk_line(const std::string& version, const json& delta,
                       const json& finish_reason) {
    const json choice = {
        {"index", 0}, {"delta", delta}, {"finish_reason", finish_reason}};
    const json chunk = {{"model", version}, {"choices", json::array({choice})}};
    return "data: " + chunk.dump() + "\n\n";
}

std::string whole_answer(const generation& request) {
    std::string content;
    for (const std::string& token : request.tokens)
        content += (content.empty() ? "" : " ") + token;
    const json choice = {
        {"index", 0},
        {"message", {{"role", "assistant"}, {"content", content}}},
        {"finish_reason", "stop"}};
    const json answer = {{"id", request.identity.attempt},
                         {"model", request.version},
                         {"choices", json::array({choice})}};
    return answer.dump();
}

engine_batch::pointer parse_generation(const json& body,
                                       const httplib::Request& request) {
    auto parsed = std::make_shared<generation>();
    parsed->identity = identity_of(request);
    parsed->version = body.at("model");
    std::string whole_prompt;
    for (const auto& message : body.at("messages")) {
        parsed->prompt = message.at("content");
        whole_prompt += (whole_prompt.empty() ? "" : "\n") + parsed->prompt;
    }
    parsed->blocks = hash_blocks(parsed->version, whole_prompt);
    parsed->session = body.value("session", "");
    parsed->priority = body.value("priority", std::int64_t{0});
    parsed->next_token = body.value("skip_tokens", std::uint64_t{0});
    parsed->end_token = body.value("max_tokens", default_max_tokens);
    return parsed;
}

/// Model engine with continuous batching behind HTTP.
class engine {
  public:
    explicit engine(const engine_options& options)
        : options_(options), batch_(options.limits) {}

    void add_routes(httplib::Server& server);
    void run_batch() { batch_.run(); }

  private:
    [[nodiscard]] json state();
    void order(const json& body, httplib::Response& answer);
    void apply(const json& body);
    void complete(const httplib::Request& request, httplib::Response& answer);
    void send_whole(const engine_batch::pointer& request,
                    httplib::Response& answer);
    void send_stream(const engine_batch::pointer& request,
                     httplib::Response& answer);
    void add_session_routes(httplib::Server& server);
    void add_control_routes(httplib::Server& server);
    void restart();
    void set_faults(const json& body);

    engine_options options_;
    engine_batch batch_;
    engine_weights weights_;
    absl::Mutex mutex_;
    std::int64_t fence_ = 0; ///< Highest fencing number seen.
    std::string role_;
};

void engine::add_routes(httplib::Server& server) {
    on_get(server, "/state", [this] { return state(); });
    on_post(server, "/orders",
            [this](const json& body, httplib::Response& answer) {
                order(body, answer);
            });
    server.Post("/v1/chat/completions", [this](const httplib::Request& request,
                                               httplib::Response& answer) {
        try {
            complete(request, answer);
        } catch (const json::exception& problem) {
            reply(answer, {{"error", problem.what()}}, 400);
        }
    });
    server.Get("/cache_events", [this](const httplib::Request& request,
                                       httplib::Response& answer) {
        const std::string after = request.get_param_value("after");
        reply(answer,
              batch_.cache_events(after.empty() ? 0 : std::stoll(after)));
    });
    add_session_routes(server);
    add_control_routes(server);
}

void engine::add_session_routes(httplib::Server& server) {
    server.Get("/kv/([^/]+)", [this](const httplib::Request& request,
                                     httplib::Response& answer) {
        const json state = batch_.export_session(request.matches[1]);
        reply(answer, state, state.is_null() ? 404 : 200);
    });
    server.Post("/kv/([^/]+)", [this](const httplib::Request& request,
                                      httplib::Response& answer) {
        try {
            batch_.import_session(request.matches[1],
                                  json::parse(request.body));
            reply(answer, json::object());
        } catch (const json::exception& problem) {
            reply(answer, {{"error", problem.what()}}, 400);
        }
    });
}

void engine::add_control_routes(httplib::Server& server) {
    on_get(server, "/control/runs", [this] { return batch_.runs(); });
    on_post(server, "/control/faults",
            [this](const json& body, httplib::Response& answer) {
                set_faults(body);
                reply(answer, json::object());
            });
    server.Post("/control/restart",
                [this](const httplib::Request&, httplib::Response& answer) {
                    restart();
                    reply(answer, json::object());
                });
}

void engine::set_faults(const json& body) {
    if (body.contains("stall"))
        batch_.set_stalled(body["stall"]);
    if (body.contains("step_ms"))
        batch_.set_step(std::chrono::milliseconds(body["step_ms"].get<int>()));
}

/// Forgets all but the run counts, which tests compare across restarts.
void engine::restart() {
    weights_.reset();
    batch_.reset();
    const absl::MutexLock lock(&mutex_);
    fence_ = 0;
    role_.clear();
}

json engine::state() {
    const auto load = batch_.load();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        steady::now() - load.taken);
    const absl::MutexLock lock(&mutex_);
    return {{"fence", fence_},
            {"role", role_},
            {"held", weights_.held()},
            {"loading", weights_.loading()},
            {"running", load.running},
            {"queued", load.queued},
            {"capacity", options_.limits.capacity},
            {"age_ms", age.count()}};
}

void engine::order(const json& body, httplib::Response& answer) {
    const std::int64_t fence = integer_or(body, "fence", 0);
    const auto op = body.at("op").get<std::string>();
    if (op != "load" && op != "drop" && op != "set_role") {
        reply(answer, {{"error", "unknown op"}}, 400);
        return;
    }
    const absl::MutexLock lock(&mutex_);
    if (options_.fencing && fence < fence_) {
        reply(answer, {{"error", "stale fence"}, {"fence", fence_}}, 409);
        return;
    }
    apply(body);
    fence_ = std::max(fence_, fence);
    reply(answer, {{"accepted", true}});
}

void engine::apply(const json& body) {
    const auto op = body.at("op").get<std::string>();
    if (op == "load")
        weights_.load(body.at("version"), body.at("source"));
    if (op == "drop")
        weights_.drop(body.at("version"));
    if (op == "set_role")
        role_ = body.at("role").get<std::string>();
}

void engine::complete(const httplib::Request& request,
                      httplib::Response& answer) {
    const json body = json::parse(request.body);
    const auto parsed = parse_generation(body, request);
    const auto bytes = weights_.weights_digest(parsed->version);
    if (!bytes) {
        reply(answer, {{"error", "version is not held"}}, 404);
        return;
    }
    parsed->weights_digest = *bytes;
    if (!batch_.submit(parsed)) {
        reply(answer, {{"error", "too many requests wait"}}, 429);
        return;
    }
    answer.set_header("X-Model-Version", parsed->version);
    if (body.value("stream", false))
        send_stream(parsed, answer);
    else
        send_whole(parsed, answer);
}

void engine::send_whole(const engine_batch::pointer& request,
                        httplib::Response& answer) {
    answer.set_chunked_content_provider(
        "application/json",
        [this, request](std::size_t, httplib::DataSink& sink) {
            const auto view = batch_.await_end(request);
            if (view.cut || !sink.is_writable())
                return false;
            if (!view.finished)
                return true;
            const std::string text = whole_answer(*request);
            if (!sink.write(text.data(), text.size()))
                return false;
            sink.done();
            return true;
        },
        [this, request](bool) { batch_.cancel(request); });
}

void engine::send_stream(const engine_batch::pointer& request,
                         httplib::Response& answer) {
    auto sent = std::make_shared<std::size_t>(0);
    answer.set_chunked_content_provider(
        "text/event-stream",
        [this, request, sent](std::size_t, httplib::DataSink& sink) {
            const auto view = batch_.await(request, *sent);
            if (view.cut || !sink.is_writable())
                return false;
            std::string lines;
            for (const std::string& token : view.tokens)
                lines += chunk_line(request->version,
                                    {{"content", token + " "}}, nullptr);
            *sent += view.tokens.size();
            if (view.finished)
                lines += chunk_line(request->version, json::object(), "stop") +
                         "data: [DONE]\n\n";
            if (!lines.empty() && !sink.write(lines.data(), lines.size()))
                return false;
            if (view.finished)
                sink.done();
            return true;
        },
        [this, request](bool) { batch_.cancel(request); });
}

int run_engine(const engine_options& options) {
    httplib::Server server;
    prepare(server);
    engine model(options);
    model.add_routes(server);
    std::thread([&model] { model.run_batch(); }).detach();
    return serve(server, options.listen);
}

} // namespace

void add_engine_command(CLI::App& app, int& status) {
    struct raw_options {
        engine_options parsed;
        int step_ms = 9;
        int load_lag_ms = 0;
        int event_lag_ms = 200;
    };
    auto* command = app.add_subcommand("engine", "Model engine");
    auto raw = std::make_shared<raw_options>();
    engine_options& parsed = raw->parsed;
    add_listen_option(*command, parsed.listen);
    command->add_option("--capacity", parsed.limits.capacity,
                        "Generations in one step");
    command->add_option("--step-ms", raw->step_ms, "Time of one step");
    command->add_flag("--fencing", parsed.fencing,
                      "Refuse orders with an old fencing number");
    command->add_option("--load-lag-ms", raw->load_lag_ms,
                        "Largest age of the reported load");
    command->add_option("--event-lag-ms", raw->event_lag_ms,
                        "Delay of cache events");
    command->add_option("--cache-blocks", parsed.limits.cache_blocks,
                        "Prompt blocks that fit in the cache");
    command->callback([raw, &status] {
        engine_batch::limits& limits = raw->parsed.limits;
        limits.step = std::chrono::milliseconds(raw->step_ms);
        limits.load_lag = std::chrono::milliseconds(raw->load_lag_ms);
        limits.event_lag = std::chrono::milliseconds(raw->event_lag_ms);
        status = run_engine(raw->parsed);
    });
}

} // namespace ospreystage::standin
