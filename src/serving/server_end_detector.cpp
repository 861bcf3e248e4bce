#include <ospreystage/serving/server_end_detector.hpp>

#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "server_end_detector";
/// Time after a broken answer at which its server is checked: by then the other
/// calls to a server that has ended are broken off too.
constexpr milliseconds check_delay{20};
/// Longest wait for a connection.
constexpr milliseconds connect_timeout{400};

} // namespace

server_end_detector::server_end_detector(kernel& core, web_client& client,
                                         handlers owner)
    : core_(core), client_(client), owner_(std::move(owner)) {}

void server_end_detector::on_broken(const std::string& server,
                                    const std::optional<address>& endpoint,
                                    suspect broken, instant now) {
    const auto [found, is_new] = broken_.try_emplace(server);
    found->second.suspects.push_back(std::move(broken));
    if (!is_new)
        return;
    found->second.endpoint = endpoint;
    found->second.at = now;
    core_.after(service_name, check_delay, [this, server] { check(server); });
}

void server_end_detector::on_closed(const std::string& server,
                                    const address& endpoint, instant now,
                                    verdict_handler verdict) {
    core_.after(service_name, check_delay,
                [this, server, endpoint, now, verdict = std::move(verdict)] {
                    if (owner_.goes_on(server, now)) {
                        verdict(false);
                        return;
                    }
                    const instant started = steady::now();
                    connect(endpoint, [verdict, started](call_end end) {
                        const bool is_refused =
                            end == call_end::not_connected &&
                            steady::now() - started < connect_timeout;
                        verdict(is_refused);
                    });
                });
}

void server_end_detector::check(const std::string& server) {
    const broken_server& record = broken_.at(server);
    if (owner_.goes_on(server, record.at))
        broken_.erase(server);
    else if (record.endpoint)
        connect(*record.endpoint, [this, server](call_end end) {
            if (end == call_end::not_connected)
                on_ended(server);
            else
                broken_.erase(server);
        });
    else
        on_ended(server);
}

/// Opens a connection and closes it without a request. `done` gets
/// `not_connected` if the server does not accept it in time.
void server_end_detector::connect(const address& endpoint,
                                  std::function<void(call_end)> done) {
    // Without a connection of its own, the entry learns nothing of the server.
    if (!client_.can_connect()) {
        done(call_end::withheld);
        return;
    }
    call_options options;
    options.reuse = false;
    options.connect_timeout = connect_timeout;
    options.timeout = connect_timeout;
    options.may_send = [] { return false; };
    call_handlers handlers;
    handlers.ended = std::move(done);
    client_.start(endpoint, http_request{}, options, std::move(handlers));
}

void server_end_detector::on_ended(const std::string& server) {
    const auto ended = broken_.extract(server);
    owner_.ended(server, ended.mapped().at, ended.mapped().suspects);
}

} // namespace ospreystage
