#include "common.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <tests/support/weights.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>

namespace ospreystage::standin {

namespace {

constexpr std::size_t max_piece_bytes = 64 * 1024;
constexpr absl::Duration poll_interval = absl::Milliseconds(20);

/// Paces bytes so that all responses together keep to one rate.
class pacer {
  public:
    explicit pacer(std::uint64_t bytes_per_second)
        : bytes_per_second_(bytes_per_second) {}

    /// Returns the time at which `size` more bytes may have been sent.
    [[nodiscard]] absl::Time reserve(std::size_t size) {
        const absl::Time now = absl::Now();
        if (bytes_per_second_ == 0)
            return now;
        const double cost =
            static_cast<double>(size) / static_cast<double>(bytes_per_second_);
        free_at_ = std::max(free_at_, now) + absl::Seconds(cost);
        return free_at_;
    }

  private:
    std::uint64_t bytes_per_second_;
    absl::Time free_at_ = absl::InfinitePast();
};

/// Store of generated model versions, with a limited rate and faults.
class weight_store {
  public:
    explicit weight_store(std::uint64_t bytes_per_second)
        : pacer_(bytes_per_second) {}

    void add_routes(httplib::Server& server);

  private:
    struct version_record {
        support::weights_spec spec;
        support::weights_version weights;
        std::uint64_t sent_bytes = 0;
    };

    struct chunk_transfer {
        digest version;
        std::string bytes;
    };

    void publish(const json& body, httplib::Response& answer);
    void set_faults(const json& body);
    [[nodiscard]] json stats();
    void send_manifest(const digest& version, httplib::Response& answer);
    void send_chunk(const digest& version, const std::string& index,
                    httplib::Response& answer);
    [[nodiscard]] bool send_piece(const chunk_transfer& transfer,
                                  std::size_t offset, httplib::DataSink& sink);
    [[nodiscard]] bool await_turn(std::size_t size, httplib::DataSink& sink);
    [[nodiscard]] std::optional<version_record>
    admit(const digest& version, httplib::Response& answer);
    [[nodiscard]] bool draw_corruption();

    absl::Mutex mutex_;
    absl::CondVar changed_;
    pacer pacer_;
    std::map<digest, version_record> versions_;
    std::uint64_t requests_ = 0;
    bool down_ = false;
    bool stalled_ = false;
    double corrupt_percent_ = 0;
    std::minstd_rand random_{1};
};

void weight_store::add_routes(httplib::Server& server) {
    server.Get(
        "/versions/([0-9a-f]+)/manifest",
        [this](const httplib::Request& request, httplib::Response& answer) {
            send_manifest(request.matches[1], answer);
        });
    server.Get(
        "/versions/([0-9a-f]+)/chunks/([0-9]{1,9})",
        [this](const httplib::Request& request, httplib::Response& answer) {
            send_chunk(request.matches[1], request.matches[2], answer);
        });
    on_post(server, "/control/publish",
            [this](const json& body, httplib::Response& answer) {
                publish(body, answer);
            });
    on_post(server, "/control/faults",
            [this](const json& body, httplib::Response& answer) {
                set_faults(body);
                reply(answer, json::object());
            });
    on_get(server, "/control/stats", [this] { return stats(); });
}

void weight_store::publish(const json& body, httplib::Response& answer) {
    version_record record;
    record.spec.name = body.value("name", "");
    record.spec.bytes = body.at("bytes");
    record.spec.chunk_bytes = body.at("chunk_bytes");
    record.spec.seed = body.value("seed", std::uint64_t{0});
    if (record.spec.chunk_bytes == 0 ||
        record.spec.chunk_bytes > max_chunk_bytes) {
        reply(answer, {{"error", "chunk_bytes is out of range"}}, 400);
        return;
    }
    record.weights = support::describe(record.spec);
    const digest version = record.weights.version;
    const std::size_t chunks = record.weights.description.chunks.size();
    const absl::MutexLock lock(&mutex_);
    versions_.try_emplace(version, std::move(record));
    reply(answer, {{"version", version}, {"chunks", chunks}});
}

void weight_store::set_faults(const json& body) {
    const absl::MutexLock lock(&mutex_);
    down_ = body.value("down", down_);
    stalled_ = body.value("stall", stalled_);
    corrupt_percent_ = body.value("corrupt_percent", corrupt_percent_);
    changed_.SignalAll();
}

json weight_store::stats() {
    const absl::MutexLock lock(&mutex_);
    std::uint64_t total = 0;
    json versions = json::object();
    for (const auto& [version, record] : versions_) {
        total += record.sent_bytes;
        const double copies = static_cast<double>(record.sent_bytes) /
                              static_cast<double>(record.spec.bytes);
        versions[version] = {{"chunk_bytes", record.sent_bytes},
                             {"copies", copies}};
    }
    return {{"chunk_bytes", total},
            {"requests", requests_},
            {"versions", versions}};
}

std::optional<weight_store::version_record>
weight_store::admit(const digest& version, httplib::Response& answer) {
    const absl::MutexLock lock(&mutex_);
    ++requests_;
    while (stalled_ && !down_)
        changed_.Wait(&mutex_);
    if (down_) {
        reply(answer, {{"error", "unavailable"}}, 503);
        return std::nullopt;
    }
    const auto found = versions_.find(version);
    if (found == versions_.end()) {
        reply(answer, {{"error", "no such version"}}, 404);
        return std::nullopt;
    }
    return found->second;
}

void weight_store::send_manifest(const digest& version,
                                 httplib::Response& answer) {
    const auto record = admit(version, answer);
    if (record)
        answer.set_content(to_json_text(record->weights.description),
                           "application/json");
}

void weight_store::send_chunk(const digest& version, const std::string& index,
                              httplib::Response& answer) {
    const auto record = admit(version, answer);
    if (!record)
        return;
    auto transfer = std::make_shared<chunk_transfer>();
    transfer->version = version;
    transfer->bytes = support::weights_chunk(
        record->spec, static_cast<std::uint32_t>(std::stoul(index)));
    if (transfer->bytes.empty()) {
        reply(answer, {{"error", "no such chunk"}}, 404);
        return;
    }
    if (draw_corruption())
        transfer->bytes[transfer->bytes.size() / 2] ^= 1;
    answer.set_content_provider(
        transfer->bytes.size(), "application/octet-stream",
        [this, transfer](std::size_t offset, std::size_t,
                         httplib::DataSink& sink) {
            return send_piece(*transfer, offset, sink);
        });
}

bool weight_store::send_piece(const chunk_transfer& transfer,
                              std::size_t offset, httplib::DataSink& sink) {
    const std::size_t size =
        std::min(max_piece_bytes, transfer.bytes.size() - offset);
    if (!await_turn(size, sink) ||
        !sink.write(transfer.bytes.data() + offset, size))
        return false;
    const absl::MutexLock lock(&mutex_);
    versions_.at(transfer.version).sent_bytes += size;
    return true;
}

/// Waits for the pace and for a stall to end; returns false on an outage.
bool weight_store::await_turn(std::size_t size, httplib::DataSink& sink) {
    const absl::MutexLock lock(&mutex_);
    const absl::Time turn = pacer_.reserve(size);
    while (!down_ && (stalled_ || absl::Now() < turn)) {
        const absl::Time poll = absl::Now() + poll_interval;
        changed_.WaitWithDeadline(&mutex_,
                                  stalled_ ? poll : std::min(turn, poll));
        if (!sink.is_writable())
            return false;
    }
    return !down_;
}

bool weight_store::draw_corruption() {
    const absl::MutexLock lock(&mutex_);
    std::uniform_real_distribution<double> percent(0.0, 100.0);
    return percent(random_) < corrupt_percent_;
}

int run_origin(const std::string& listen, std::uint64_t bytes_per_second) {
    httplib::Server server;
    prepare(server);
    weight_store store(bytes_per_second);
    store.add_routes(server);
    return serve(server, listen);
}

} // namespace

void add_origin_command(CLI::App& app, int& status) {
    struct options {
        std::string listen;
        std::uint64_t bytes_per_second = 0;
    };
    auto* command = app.add_subcommand("origin", "Origin of weights");
    auto chosen = std::make_shared<options>();
    add_listen_option(*command, chosen->listen);
    command->add_option("--bytes-per-second", chosen->bytes_per_second,
                        "Rate of all chunk bytes; 0 for no limit");
    command->callback([chosen, &status] {
        status = run_origin(chosen->listen, chosen->bytes_per_second);
    });
}

} // namespace ospreystage::standin
