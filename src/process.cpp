#include <ospreystage/log.hpp>
#include <ospreystage/process.hpp>

#include <httplib.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <utility>

namespace ospreystage {

namespace {

/// Time for which an address may still be in callers' caches while it drains.
constexpr seconds least_drain{3};
/// A drain that lasts longer is broken off.
constexpr std::chrono::minutes most_drain{10};
constexpr milliseconds drain_check_interval{50};

sigset_t stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

process::process(const settings& configuration)
    : configuration_(configuration), self_{configuration.process.name,
                                           new_incarnation()},
      http_(configuration.listen.http_threads) {
    const sigset_t signals = stop_signals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    start_logging(self_, parse_log_level(configuration.process.log_level));
    core_.add("network", std::make_unique<network>(core_));
    links_ = &core_.add("links",
                        std::make_unique<links>(core_, configuration_, self_));
    add_common_routes();
}

process::~process() {
    if (signals_ >= 0)
        close(signals_);
}

void process::on_stop(std::function<void()> drain, std::function<bool()> idle) {
    drain_ = std::move(drain);
    idle_ = std::move(idle);
}

void process::on_kernel_ended(std::function<void()> ended) {
    kernel_ended_ = std::move(ended);
}

void process::stop_now(const std::string& reason) {
    log_event(log_level::error, "stopped", {{"reason", reason}});
    core_.stop();
}

exit_code process::run() {
    watch_signals();
    error failure;
    const auto started = value_or_error(
        [this]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(links_->start());
            BOOST_LEAF_CHECK(http_.start(configuration_.listen.http));
            return true;
        },
        failure);
    if (!started) {
        std::cerr << to_string(failure) << '\n';
        return exit_code::usage;
    }
    log_event(log_level::info, "started",
              {{"http", to_string(configuration_.listen.http)},
               {"peer", to_string(configuration_.listen.peer)}});
    std::cout << "ready" << std::endl;
    core_.run();
    if (kernel_ended_)
        kernel_ended_();
    http_.stop();
    log_event(log_level::info, "stopped");
    return exit_code::success;
}

void process::add_common_routes() {
    httplib::Server& server = http_.routes();
    server.Get("/metrics",
               [this](const httplib::Request&, httplib::Response& response) {
                   response.set_content(metrics_.text(), "text/plain");
               });
    server.Get("/admin/v1/dump", [this](const httplib::Request& request,
                                        httplib::Response& response) {
        const bool allowed =
            has_token(request, configuration_.cluster.token) ||
            std::any_of(configuration_.operators.begin(),
                        configuration_.operators.end(),
                        [&](const operator_settings& entry) {
                            return has_token(request, entry.token);
                        });
        if (!allowed) {
            answer_json(response, 401, {{"error", "token missing or wrong"}});
            return;
        }
        auto state = core_.call("dump", [this] { return core_.dump(); });
        nlohmann::json body = std::move(state).value_or(nlohmann::json());
        body["process"] = to_string(self_);
        body["metrics"] = metrics_.dump();
        answer_json(response, 200, body);
    });
}

void process::watch_signals() {
    const sigset_t signals = stop_signals();
    signals_ = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    core_.watch(signals_, EPOLLIN, [this](std::uint32_t) {
        signalfd_siginfo received{};
        while (read(signals_, &received, sizeof(received)) > 0)
            begin_drain();
    });
}

void process::begin_drain() {
    if (draining_)
        return;
    draining_ = true;
    drain_started_ = steady::now();
    log_event(log_level::info, "draining");
    if (drain_)
        drain_();
    core_.every("drain", drain_check_interval, [this] { check_drained(); });
}

void process::check_drained() {
    const auto spent = steady::now() - drain_started_;
    const bool idle = !idle_ || idle_();
    if ((spent >= least_drain && idle) || spent >= most_drain)
        core_.stop();
}

} // namespace ospreystage
