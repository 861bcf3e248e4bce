#include <ospreystage/core/log.hpp>
#include <ospreystage/http/bounded_call.hpp>
#include <ospreystage/requests/prompt_prefix.hpp>
#include <ospreystage/weights/engine_service.hpp>

#include <absl/time/time.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr milliseconds poll_interval{150};
constexpr milliseconds call_timeout{1000};
constexpr std::size_t max_prefixes = 256;
/// The engine runs beside its agent; its largest answer lists cache events.
constexpr call_bounds engine_bounds{4 * 1024 * 1024, 2 * call_timeout};

httplib::Client make_client(const std::string& url) {
    httplib::Client client(url);
    client.set_connection_timeout(call_timeout);
    client.set_read_timeout(call_timeout);
    return client;
}

nlohmann::json order_body(const engine_order& order, std::uint64_t fence,
                          const std::string& source) {
    nlohmann::json body{{"fence", fence}, {"source", source}};
    if (const auto* load = std::get_if<load_version>(&order)) {
        body["op"] = "load";
        body["version"] = load->version;
    } else {
        body["op"] = "drop";
        body["version"] = std::get<drop_version>(order).version;
    }
    return body;
}

} // namespace

engine_service::engine_service(kernel& core, const settings& configuration,
                               std::uint64_t fence, dependencies callbacks)
    : core_(core), configuration_(configuration), fence_(fence),
      callbacks_(std::move(callbacks)) {}

engine_service::~engine_service() {
    stop();
}

void engine_service::start() {
    thread_ = std::thread([this] { poll(); });
}

void engine_service::stop() {
    {
        const absl::MutexLock lock(&mutex_);
        stopping_ = true;
    }
    if (thread_.joinable())
        thread_.join();
}

nlohmann::json engine_service::dump() const {
    return {{"polls", polls_},
            {"failures", failures_},
            {"orders", orders_},
            {"held", latest_.held},
            {"loading", latest_.loading},
            {"fence", latest_.fence}};
}

void engine_service::poll() {
    do {
        const auto observed_state = observe();
        if (!observed_state) {
            core_.post("engine", [this] {
                ++failures_;
                callbacks_.unreachable();
            });
            continue;
        }
        const auto orders = core_.call("engine", [this, &observed_state] {
            return decide(*observed_state);
        });
        if (!orders)
            return;
        send_orders(*orders);
    } while (wait_for_next_poll());
}

std::optional<engine_service::observation> engine_service::observe() {
    httplib::Client client = make_client(configuration_.backend_server.url);
    const httplib::Result answer =
        call_bounded(client, make_get("/state"), engine_bounds);
    if (!answer || answer->status != 200)
        return std::nullopt;
    error ignored;
    auto state = value_or_error(
        [&] {
            return parse_engine_state(answer->body,
                                      configuration_.backend_server.url);
        },
        ignored);
    if (!state)
        return std::nullopt;
    read_cache_events();
    return observation{std::move(*state), prefixes_};
}

std::vector<engine_order>
engine_service::decide(const observation& observed_state) {
    ++polls_;
    latest_ = observed_state.state;
    callbacks_.observed(observed_state.state, observed_state.prefixes);
    auto orders = reconcile(observed_state.state,
                            callbacks_.target(observed_state.state));
    orders_ += orders.size();
    return orders;
}

void engine_service::send_orders(const std::vector<engine_order>& orders) {
    const std::string source =
        fmt::format("http://{}", to_string(configuration_.listen.http));
    for (const engine_order& order : orders) {
        const nlohmann::json body = order_body(order, fence_, source);
        httplib::Client client = make_client(configuration_.backend_server.url);
        const httplib::Result answer = call_bounded(
            client, make_json_post("/orders", body.dump()), engine_bounds);
        log_event(log_level::info, "engine_order",
                  {{"order", body["op"]},
                   {"version", body["version"]},
                   {"status", answer ? answer->status : 0}});
    }
}

void engine_service::read_cache_events() {
    const std::string path =
        fmt::format("/cache_events?after={}", next_cache_event_);
    httplib::Client client = make_client(configuration_.backend_server.url);
    const httplib::Result answer =
        call_bounded(client, make_get(path), engine_bounds);
    if (!answer || answer->status != 200)
        return;
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (!body.is_object() || !body.contains("events"))
        return;
    next_cache_event_ = body.value("next", next_cache_event_);
    for (const auto& event : body["events"]) {
        const std::uint64_t hash =
            engine_block_number(event.value("block", std::string()));
        if (hash == 0)
            continue;
        std::erase(prefixes_, hash);
        if (event.value("type", std::string()) == "stored")
            prefixes_.push_back(hash);
    }
    if (prefixes_.size() > max_prefixes)
        prefixes_.erase(prefixes_.begin(),
                        prefixes_.end() - static_cast<long>(max_prefixes));
}

bool engine_service::wait_for_next_poll() {
    const absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&stopping_),
                            absl::FromChrono(poll_interval));
    return !stopping_;
}

} // namespace ospreystage
