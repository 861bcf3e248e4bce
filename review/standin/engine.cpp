#include "engine.hpp"

#include <openssl/sha.h>

namespace ospreystage::review {

namespace {

using nlohmann::json;

constexpr milliseconds heartbeat_interval{1200};
constexpr milliseconds load_time{300};
constexpr milliseconds first_event_time{60};
constexpr milliseconds event_interval{20};
constexpr int events = 5;
constexpr int slots = 16;
constexpr int layers = 16;
constexpr int token_memory = 317'000;

std::string event_text(int number) {
    return "id: " + std::to_string(number) + "\ndata: token\n\n";
}

std::uint32_t piece_number(const http_request& request) {
    return static_cast<std::uint32_t>(std::stoul(request.query("item_count")));
}

} // namespace

// ---- weights ---------------------------------------------------------------

std::string weights::piece(std::uint64_t version, std::uint32_t number) {
    std::string bytes = "version " + std::to_string(version) + " piece " +
                        std::to_string(number) + " ";
    bytes.resize(piece_bytes, 'w');
    return bytes;
}

std::string weights::digest(const std::string& bytes) {
    std::array<unsigned char, SHA256_DIGEST_LENGTH> raw{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           raw.data());
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : raw) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

// ---- weights_origin --------------------------------------------------------

weights_origin::weights_origin(const std::string& ip, std::string model)
    : model_(std::move(model)),
      server_({ip, 0}, [this](const http_request& request, http_reply& reply) {
          answer(request, reply);
      }) {}

void weights_origin::answer(const http_request& request, http_reply& reply) {
    const std::string version = request.query("version");
    const std::uint64_t number = version.empty() ? 1 : std::stoull(version);
    if (request.path() == "/v1/piece/" + model_) {
        reply.send(200, {}, weights::piece(number, piece_number(request)));
        return;
    }
    if (request.path() != "/v1/manifest/" + model_) {
        reply.send(404, {}, "");
        return;
    }
    json body{{"model", model_},
              {"version", number},
              {"chunk_bytes", weights::piece_bytes},
              {"layers", layers},
              {"digests", json::array()}};
    for (std::uint32_t index = 0; index < weights::pieces; ++index)
        body["digests"].push_back(
            weights::digest(weights::piece(number, index)));
    reply.send_json(200, {}, body.dump());
}

// ---- model_worker ----------------------------------------------------------

model_worker::model_worker(site& target, std::string id, std::string service,
                           std::string model, int agent)
    : site_(target), id_(std::move(id)), service_(std::move(service)),
      model_(std::move(model)), local_(target.app(agent)),
      born_(std::chrono::duration_cast<milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
    for (std::uint32_t index = 0; index < weights::pieces; ++index)
        staged_[index] = weights::piece(version_, index);
    server_ = std::make_unique<http_server>(
        local_, [this](const http_request& request, http_reply& reply) {
            answer(request, reply);
        });
    worker_ = std::thread([this] { work(); });
}

model_worker::~model_worker() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    wake_.notify_all();
    worker_.join();
    server_.reset();
}

std::vector<model_run> model_worker::runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::uint64_t model_worker::version() {
    const std::lock_guard lock(mutex_);
    return version_;
}

/// Returns what the worker says of itself in the list and in reports.
json model_worker::state() const {
    return {{"stage", "unified"},
            {"born", born_},
            {"models",
             {{{"name", model_},
               {"version", version_},
               {"adapters", json::array()}}}},
            {"layers", {{"from", 0}, {"to", layers}, {"version", version_}}}};
}

/// Writes the worker's entry and carries out orders.
void model_worker::work() {
    std::unique_lock lock(mutex_);
    instant next_beat = steady::now();
    while (!is_stopping_) {
        if (steady::now() >= next_beat) {
            json entry = state();
            entry.update({{"service", service_},
                          {"address", to_string(local_)},
                          {"zone", "kol-hall-a"},
                          {"version", "v1"},
                          {"slots", slots},
                          {"state", "ready"},
                          {"cold_remaining_ms", 0},
                          {"sequence", beats_++}});
            lock.unlock();
            site_.store().put("servers/" + id_, entry.dump());
            lock.lock();
            next_beat = steady::now() + heartbeat_interval;
        }
        if (ordered_ && running_ == 0) {
            const std::uint64_t version = *ordered_;
            lock.unlock();
            std::this_thread::sleep_for(load_time);
            lock.lock();
            version_ = version;
            ordered_.reset();
            next_beat = steady::now();
            site_.record().write("worker: " + id_ + " has loaded version " +
                                 std::to_string(version));
            continue;
        }
        wake_.wait_until(lock, next_beat);
    }
}

void model_worker::answer(const http_request& request, http_reply& reply) {
    field_list fields{{"Keep-Alive", "timeout=5"}};
    if (const std::string id = request.field("X-Request-Id"); !id.empty())
        fields.emplace_back("X-Request-Id", id);
    const std::string path = request.path();
    if (path == "/v1/report")
        answer_report(fields, reply);
    else if (path.starts_with("/v1/stage-"))
        answer_staged(request, fields, reply);
    else if (path == "/v1/order")
        answer_order(request, fields, reply);
    else
        answer_consumer(request, std::move(fields), reply);
}

void model_worker::answer_report(const field_list& fields, http_reply& reply) {
    const std::lock_guard lock(mutex_);
    json body = state();
    body.update({{"busy", ordered_.has_value()},
                 {"sequence", orders_},
                 {"queued", 0},
                 {"running", running_},
                 {"kv_used", 0},
                 {"kv_total", token_memory},
                 {"pace", 1.0},
                 {"handles", 0}});
    reply.send_json(200, fields, body.dump());
}

void model_worker::answer_staged(const http_request& request,
                                 const field_list& fields, http_reply& reply) {
    const std::lock_guard lock(mutex_);
    if (request.method == "PUT") {
        staged_[piece_number(request)] = request.body;
        reply.send(200, fields, "");
        return;
    }
    if (request.query("item_count").empty()) {
        json body{{"held", json::array()}};
        for (const auto& [number, bytes] : staged_)
            body["held"].push_back(number);
        reply.send_json(200, fields, body.dump());
        return;
    }
    const auto found = staged_.find(piece_number(request));
    if (found == staged_.end())
        reply.send(404, fields, "");
    else
        reply.send(200, fields, found->second);
}

void model_worker::answer_order(const http_request& request,
                                const field_list& fields, http_reply& reply) {
    const json body = json::parse(request.body);
    const auto version = body.at("version").get<std::uint64_t>();
    const std::lock_guard lock(mutex_);
    if (body.at("operation") != "start") {
        reply.send(400, fields, "");
    } else if (version == version_) {
        reply.send(200, fields, "");
    } else if (ordered_ || body.value("precondition", orders_) != orders_) {
        reply.send(409, fields, "");
    } else {
        ordered_ = version;
        ++orders_;
        site_.record().write("agent: orders version " +
                             std::to_string(version) + " of " + id_);
        wake_.notify_all();
        reply.send(202, fields, "");
    }
}

void model_worker::answer_consumer(const http_request& request,
                                   field_list fields, http_reply& reply) {
    const std::string expected = request.field("X-Expect-Instance");
    const std::string version = request.field("X-Expect-Version");
    const std::string id = request.field("X-Request-Id");
    model_run run;
    {
        const std::lock_guard lock(mutex_);
        if ((!expected.empty() && expected != id_) ||
            (!version.empty() && version != std::to_string(version_))) {
            reply.send(421, fields, "");
            return;
        }
        if (ordered_ || running_ >= slots) {
            fields.emplace_back("X-Not-Executed", "1");
            reply.send(503, fields, "");
            return;
        }
        ++running_;
    }
    std::this_thread::sleep_for(first_event_time);
    {
        const std::lock_guard lock(mutex_);
        run = {steady::now(), id_, id, version_};
        runs_.push_back(run);
    }
    site_.record().write("worker: " + id_ + " begins " + id + " on version " +
                         std::to_string(run.version));
    fields.emplace_back("Content-Type", "text/event-stream");
    fields.emplace_back("X-Server-Stamp", id_ + "." + id);
    fields.emplace_back("X-Weight-Versions", std::to_string(run.version));
    reply.begin_chunks(200, fields);
    for (int number = 1; number <= events; ++number) {
        if (!reply.write_chunk(event_text(number)))
            break;
        std::this_thread::sleep_for(event_interval);
    }
    reply.finish_chunks();
    {
        const std::lock_guard lock(mutex_);
        --running_;
    }
    wake_.notify_all();
}

json make_model_service(const std::string& name, const std::string& model) {
    return {{"name", name},
            {"health_path", "/healthz"},
            {"max_connections", 364},
            {"protocol", "h1"},
            {"tls", false},
            {"engine",
             {{"slots", slots},
              {"kv_capacity_tokens", token_memory},
              {"kv_token_bytes", 262144},
              {"link_mbps", 400000.0},
              {"stride", 5},
              {"models",
               {{{"name", model},
                 {"pace", 1.0},
                 {"load_s", 4.0},
                 {"warmup_s", 0.3}}}},
              {"megabytes", 149000.0},
              {"adapter_slots", 8},
              {"loads_per_s", 0.0},
              {"step_ms", 4.0},
              {"per_seq_ms", 0.0232},
              {"context_per_k", 0.0322},
              {"read_per_s", 20700.0},
              {"pairs_per_m", 1.18},
              {"chunk", 2048},
              {"report_lag_ms", 200.0},
              {"usual", {{"prompt", 300}, {"answer", 25}}},
              {"layers", layers},
              {"layer_mb", 4090.0},
              {"chunks", weights::pieces},
              {"chunk_bytes", weights::piece_bytes}}}};
}

} // namespace ospreystage::review
