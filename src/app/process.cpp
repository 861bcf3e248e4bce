#include <ospreystage/app/process.hpp>
#include <ospreystage/core/log.hpp>

#include <algorithm>
#include <iostream>
#include <utility>

namespace ospreystage {

namespace {

/// Callers may still use a cached address of this process for this long after
/// the drain has begun.
constexpr seconds min_drain_time{3};
/// Time limit for draining; after it the process stops with requests open.
constexpr std::chrono::minutes max_drain_time{10};
constexpr milliseconds drain_check_interval{50};

} // namespace

process::process(const settings& configuration)
    : configuration_(configuration), self_{configuration.process.name,
                                           new_incarnation()},
      signals_(
          core_, [this] { begin_drain(); },
          [] {
              log_event(log_level::warn, "reload_ignored",
                        {{"reason", "settings are read only at startup"}});
          }),
      http_(core_, configuration.listen.http_threads) {
    start_logging(self_, parse_log_level(configuration.process.log_level));
    core_.add("network", std::make_unique<network>(core_));
    links_ = &core_.add("links",
                        std::make_unique<links>(core_, configuration_, self_));
    add_common_routes();
}

void process::on_stop(std::function<void()> drain, std::function<bool()> idle) {
    drain_ = std::move(drain);
    idle_ = std::move(idle);
}

void process::on_kernel_stopped(std::function<void()> callback) {
    on_kernel_stopped_ = std::move(callback);
}

void process::stop_now(const std::string& reason) {
    log_event(log_level::error, "stopped", {{"reason", reason}});
    core_.stop();
}

exit_code process::run() {
    error failure;
    const auto started = value_or_error(
        [this]() -> leaf::result<bool> {
            BOOST_LEAF_CHECK(links_->start());
            BOOST_LEAF_CHECK(http_.web().listen(configuration_.listen.http));
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
    print_line("ready");
    core_.run();
    if (on_kernel_stopped_)
        on_kernel_stopped_();
    log_event(log_level::info, "stopped");
    finish_logging();
    return exit_code::success;
}

void process::add_common_routes() {
    metrics_.gauge("ospreystage_log_lines_dropped",
                   [] { return static_cast<double>(dropped_log_lines()); });
    http_.route_sync("GET", "/metrics", [this](const api_request&) {
        return text_response("text/plain", metrics_.text());
    });
    http_.route_sync(
        "GET", "/admin/v1/dump", [this](const api_request& request) {
            const bool allowed =
                has_token(request, configuration_.cluster.token) ||
                std::any_of(configuration_.operators.begin(),
                            configuration_.operators.end(),
                            [&](const operator_settings& item) {
                                return has_token(request, item.token);
                            });
            if (!allowed)
                return json_response(401,
                                     {{"error", "token missing or wrong"}});
            nlohmann::json body = core_.dump();
            body["process"] = to_string(self_);
            body["http"] = http_.dump();
            body["metrics"] = metrics_.dump();
            return json_response(200, body);
        });
}

void process::begin_drain() {
    if (draining_)
        return;
    draining_ = true;
    drain_started_ = steady::now();
    log_event(log_level::info, "draining");
    http_.web().close_after_responses();
    if (drain_)
        drain_();
    core_.every("drain", drain_check_interval, [this] { check_drained(); });
}

void process::check_drained() {
    const auto spent = steady::now() - drain_started_;
    const bool idle = http_.web().exchanges() == 0 && (!idle_ || idle_());
    if (spent >= max_drain_time) {
        core_.stop();
        return;
    }
    if (spent < min_drain_time || !idle)
        return;
    // Connections remain while a request arrives or its answer leaves.
    http_.web().drain();
    if (http_.web().connections() == 0)
        core_.stop();
}

} // namespace ospreystage
