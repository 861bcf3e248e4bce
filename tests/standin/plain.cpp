#include "common.hpp"
#include "run_counts.hpp"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>

#include <memory>

namespace ospreystage::standin {

namespace {

constexpr std::size_t echo_bytes = 200;

/// Service that works for a fixed time and answers with what it was asked.
class plain_service {
  public:
    plain_service(absl::Duration work, std::int64_t capacity)
        : work_(work), capacity_(capacity) {}

    void run(const httplib::Request& request, httplib::Response& answer) {
        const absl::MutexLock lock(&mutex_);
        runs_.add(identity_of(request));
        const std::int64_t serial = ++serial_;
        ++running_;
        const absl::Time end = absl::Now() + work_;
        while (stalled_ || absl::Now() < end) {
            if (stalled_)
                changed_.Wait(&mutex_);
            else
                changed_.WaitWithDeadline(&mutex_, end);
        }
        --running_;
        reply(answer, {{"path", request.path},
                       {"echo", request.body.substr(0, echo_bytes)},
                       {"serial", serial}});
    }

    void set_faults(const json& body) {
        const absl::MutexLock lock(&mutex_);
        stalled_ = body.value("stall", stalled_);
        changed_.SignalAll();
    }

    [[nodiscard]] json state() {
        const absl::MutexLock lock(&mutex_);
        return {{"running", running_}, {"capacity", capacity_}};
    }

    [[nodiscard]] json runs() {
        const absl::MutexLock lock(&mutex_);
        return runs_.to_json();
    }

  private:
    absl::Duration work_;
    std::int64_t capacity_;
    absl::Mutex mutex_;
    absl::CondVar changed_;
    bool stalled_ = false;
    std::int64_t serial_ = 0;
    std::int64_t running_ = 0;
    run_counts runs_;
};

int run_plain(const std::string& listen, absl::Duration work,
              std::int64_t capacity) {
    httplib::Server server;
    prepare(server);
    plain_service service(work, capacity);
    on_get(server, "/state", [&service] { return service.state(); });
    on_get(server, "/control/runs", [&service] { return service.runs(); });
    on_post(server, "/control/faults",
            [&service](const json& body, httplib::Response& answer) {
                service.set_faults(body);
                reply(answer, json::object());
            });
    const auto any = [&service](const httplib::Request& request,
                                httplib::Response& answer) {
        service.run(request, answer);
    };
    server.Get("/.*", any);
    server.Post("/.*", any);
    server.Put("/.*", any);
    server.Patch("/.*", any);
    server.Delete("/.*", any);
    return serve(server, listen);
}

} // namespace

void add_plain_command(CLI::App& app, int& status) {
    struct options {
        std::string listen;
        int work_ms = 0;
        int capacity = 16;
    };
    auto* command = app.add_subcommand("plain", "Plain service");
    auto chosen = std::make_shared<options>();
    add_listen_option(*command, chosen->listen);
    command->add_option("--work-ms", chosen->work_ms, "Time of each request");
    command->add_option("--capacity", chosen->capacity, "Reported capacity");
    command->callback([chosen, &status] {
        status = run_plain(chosen->listen, absl::Milliseconds(chosen->work_ms),
                           chosen->capacity);
    });
}

} // namespace ospreystage::standin
