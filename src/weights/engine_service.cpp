#include <ospreystage/core/log.hpp>
#include <ospreystage/http/blocking_client.hpp>
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
constexpr std::uint16_t status_ok = 200;

/// Returns the bounds of a call to the engine, which runs beside its agent. Its
/// largest answer lists cache events.
call_options engine_options() {
    call_options options;
    options.connect_timeout = call_timeout;
    options.timeout = 2 * call_timeout;
    options.idle_timeout = call_timeout;
    options.max_body_bytes = 4 * 1024 * 1024;
    return options;
}

bool is_success(const blocking_client::answer& answer) {
    return answer.end == call_end::complete &&
           answer.response.status == status_ok;
}

http_request make_get(std::string target) {
    http_request request;
    request.target = std::move(target);
    return request;
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

blocking_client::answer
engine_service::call_engine(const http_request& request) const {
    return blocking_client(configuration_.backend_server.url)
        .fetch(request, engine_options());
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
    const auto answer = call_engine(make_get("/state"));
    if (!is_success(answer))
        return std::nullopt;
    error ignored;
    auto state = value_or_error(
        [&] {
            return parse_engine_state(answer.response.body,
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
        const auto answer = call_engine(make_json_post("/orders", body.dump()));
        log_event(
            log_level::info, "engine_order",
            {{"order", body["op"]},
             {"version", body["version"]},
             {"end", to_string(answer.end)},
             {"status",
              answer.end == call_end::complete ? answer.response.status : 0}});
    }
}

void engine_service::read_cache_events() {
    const std::string path =
        fmt::format("/cache_events?after={}", next_cache_event_);
    const auto answer = call_engine(make_get(path));
    if (!is_success(answer))
        return;
    const auto body =
        nlohmann::json::parse(answer.response.body, nullptr, false);
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
