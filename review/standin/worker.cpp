#include "worker.hpp"

namespace ospreystage::review {

namespace {

using nlohmann::json;

/// Interval of the workers' writes, as in the settings (`heartbeat_ms`).
constexpr milliseconds heartbeat_interval{1200};
constexpr milliseconds work_time{15};
constexpr int slots = 6;
constexpr const char* idle_timeout = "timeout=5";

} // namespace

plain_worker::plain_worker(site& target, std::string id, std::string service,
                           int index)
    : site_(target), id_(std::move(id)),
      service_(std::move(service)), local_{target.ip(index), 0} {
    start();
    heartbeats_ = std::thread([this] { send_heartbeats(); });
}

plain_worker::~plain_worker() {
    {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
    }
    wake_.notify_all();
    heartbeats_.join();
    server_.reset();
}

void plain_worker::start() {
    server_ = std::make_unique<http_server>(
        local_, [this](const http_request& request, http_reply& reply) {
            answer(request, reply);
        });
    {
        const std::lock_guard lock(mutex_);
        local_ = server_->local();
        is_leaving_ = false;
        is_up_ = true;
        sequence_ = 0;
        born_ = std::chrono::duration_cast<milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count();
    }
    site_.record().write("worker: " + id_ + " of " + service_ + " started");
    report();
}

void plain_worker::leave() {
    {
        const std::lock_guard lock(mutex_);
        is_leaving_ = true;
    }
    report();
    site_.record().write("worker: " + id_ + " is draining, acknowledged");
}

void plain_worker::stop() {
    {
        const std::lock_guard lock(mutex_);
        is_up_ = false;
    }
    site_.store().remove("servers/" + id_);
    server_.reset();
    site_.record().write("worker: " + id_ + " ended");
}

void plain_worker::report() {
    json entry;
    {
        const std::lock_guard lock(mutex_);
        if (!is_up_)
            return;
        entry = {{"service", service_},
                 {"address", to_string(local_)},
                 {"zone", "kol-hall-a"},
                 {"version", "v1"},
                 {"slots", slots},
                 {"state", is_leaving_ ? "draining" : "ready"},
                 {"cold_remaining_ms", 0},
                 {"born", born_},
                 {"sequence", sequence_++}};
    }
    site_.store().put("servers/" + id_, entry.dump());
}

std::vector<worker_run> plain_worker::runs() {
    const std::lock_guard lock(mutex_);
    return runs_;
}

void plain_worker::crash_on(const std::string& path, milliseconds down,
                            bool renames) {
    const std::lock_guard lock(mutex_);
    crash_path_ = path;
    down_time_ = down;
    renames_ = renames;
}

/// Ends the server with all its connections and starts it again later.
void plain_worker::crash(std::unique_lock<std::mutex>& lock) {
    has_crashed_ = false;
    is_up_ = false;
    const std::string ended = id_;
    lock.unlock();
    server_.reset();
    site_.record().write("worker: " + ended + " has crashed");
    lock.lock();
    wake_.wait_for(lock, down_time_, [this] { return is_stopping_; });
    if (is_stopping_)
        return;
    if (renames_)
        id_ =
            ended.substr(0, ended.find('x')) + "x" + std::to_string(++starts_);
    lock.unlock();
    if (id_ != ended)
        site_.store().remove("servers/" + ended);
    start();
    lock.lock();
}

void plain_worker::send_heartbeats() {
    std::unique_lock lock(mutex_);
    while (!is_stopping_) {
        lock.unlock();
        report();
        lock.lock();
        wake_.wait_for(lock, heartbeat_interval,
                       [this] { return is_stopping_ || has_crashed_; });
        if (has_crashed_)
            crash(lock);
    }
}

void plain_worker::answer(const http_request& request, http_reply& reply) {
    const std::string id = request.field("X-Request-Id");
    field_list fields{{"Keep-Alive", idle_timeout}};
    if (!id.empty())
        fields.emplace_back("X-Request-Id", id);
    {
        const std::lock_guard lock(mutex_);
        if (is_leaving_)
            fields.emplace_back("Server-Leaving", "1");
    }
    const std::string expected = request.field("X-Expect-Instance");
    if (!expected.empty() && expected != id_) {
        fields.emplace_back("X-Instance-Id", id_);
        reply.send(421, fields, "");
        return;
    }
    if (id.empty()) {
        fields.emplace_back("X-Not-Executed", "1");
        reply.send(400, fields, "");
        return;
    }
    const worker_run run{steady::now(), id, request.path(),
                         request.field("X-Tenant")};
    bool crashes = false;
    {
        const std::lock_guard lock(mutex_);
        if (!is_up_ || has_crashed_) {
            reply.cut();
            return;
        }
        runs_.push_back(run);
        crashes = run.path == crash_path_;
        has_crashed_ = crashes;
    }
    site_.record().write("worker: " + id_ + " runs " + id + " " +
                         request.target + " tenant " + run.tenant);
    if (crashes) {
        server_->end_all();
        wake_.notify_all();
        reply.cut();
        return;
    }
    std::this_thread::sleep_for(work_time);
    {
        const std::lock_guard lock(mutex_);
        if (!is_up_ || has_crashed_) {
            reply.cut();
            return;
        }
    }
    fields.emplace_back("X-Server-Stamp", id_ + "." + id);
    reply.send(200, fields, "answer of " + id_ + " to " + id);
}

} // namespace ospreystage::review
