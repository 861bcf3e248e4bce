#include <ospreystage/core/log.hpp>
#include <ospreystage/impl/bounded_json.hpp>
#include <ospreystage/network/resolve.hpp>
#include <ospreystage/requests/back_end.hpp>

#include <absl/strings/ascii.h>
#include <absl/strings/string_view.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>
#include <vector>

namespace ospreystage {

namespace {

constexpr const char* service_name = "back_end";
constexpr milliseconds connect_timeout{500};
/// A streaming call fails if the back end sends nothing for this long.
constexpr milliseconds silence_timeout{4000};
constexpr milliseconds silence_check_interval{100};
constexpr absl::string_view stream_end = "data: [DONE]";

/// Returns the request body with the fields that the agent sets.
std::string engine_body(const run_order& order) {
    nlohmann::json body = impl::parse_json(order.body);
    if (!body.is_object())
        return order.body;
    body["model"] = order.version;
    body["stream"] = order.stream;
    body["priority"] = order.priority;
    if (order.skip_tokens > 0)
        body["skip_tokens"] = order.skip_tokens;
    return body.dump();
}

http_request make_request(const run_order& order) {
    http_request request;
    request.method = order.method;
    request.target = order.path;
    request.body = order.version.empty() ? order.body : engine_body(order);
    request.fields = {{"X-Attempt-Id", to_string(order.attempt)},
                      {"X-Organisation", order.organisation}};
    if (!order.content_type.empty())
        request.fields.push_back({"Content-Type", order.content_type});
    if (!order.idempotency_key.empty())
        request.fields.push_back({"Idempotency-Key", order.idempotency_key});
    return request;
}

/// Returns true for a status by which an engine signals that it did not run
/// the request.
bool is_refusal(std::uint16_t status) {
    return status == 404 || status == 429 || status == 503;
}

} // namespace

back_end::back_end(kernel& core, std::string url, callback receiver)
    : core_(core), url_(std::move(url)), server_(resolve_url(url_)),
      receiver_(std::move(receiver)), client_(core) {
    core_.every(service_name, silence_check_interval,
                [this] { fail_silent_calls(); });
}

void back_end::start(const run_order& order, milliseconds deadline) {
    const attempt_id attempt = order.attempt;
    running_call& current = running_[attempt];
    current.refusal_means_not_run = !order.version.empty();
    current.stream_requested = order.stream;
    current.last_received = steady::now();
    call_options options;
    options.connect_timeout = connect_timeout;
    options.timeout = deadline;
    // The server may close an idle connection at the moment of its reuse; it is
    // then unknown whether the request ran. Requests with a key must not run
    // twice, so each gets a connection of its own.
    options.reuse = order.idempotency_key.empty();
    call_handlers handlers;
    handlers.head = [this, attempt](const http_response& head) {
        on_head(attempt, head);
    };
    handlers.body = [this, attempt](std::string_view data) {
        on_body(attempt, data);
    };
    handlers.ended = [this, attempt](call_end end) { on_ended(attempt, end); };
    current.call = client_.start(server_, make_request(order), options,
                                 std::move(handlers));
}

void back_end::cancel(const attempt_id& attempt) {
    fail(attempt, {true, "cancelled"});
}

void back_end::on_head(const attempt_id& attempt, const http_response& head) {
    running_call& current = running_.at(attempt);
    current.last_received = steady::now();
    if (current.refusal_means_not_run && is_refusal(head.status)) {
        current.refused_status = head.status;
        return;
    }
    const std::string type = field_value(head.fields, "Content-Type");
    current.is_event_stream = is_event_stream(type);
    receiver_(attempt,
              back_end_begin{head.status, type,
                             field_value(head.fields, "X-Model-Version")});
}

void back_end::on_body(const attempt_id& attempt, std::string_view data) {
    running_call& current = running_.at(attempt);
    current.last_received = steady::now();
    if (current.refused_status != 0)
        return;
    if (!current.is_event_stream) {
        receiver_(attempt, back_end_part{std::string(data)});
        return;
    }
    // The receiver may cancel the call, which destroys the splitter.
    const std::vector<stream_event> events = current.splitter.feed(data);
    for (const stream_event& event : events) {
        const auto found = running_.find(attempt);
        if (found == running_.end())
            return;
        if (absl::StripTrailingAsciiWhitespace(event.text) == stream_end)
            found->second.stream_complete = true;
        else
            receiver_(attempt, back_end_part{event.text});
    }
    const auto found = running_.find(attempt);
    if (found != running_.end() && found->second.splitter.is_too_large())
        fail(attempt, {true, fmt::format("event larger than {} bytes",
                                         max_event_bytes)});
}

void back_end::on_ended(const attempt_id& attempt, call_end end) {
    const auto found = running_.find(attempt);
    const std::uint16_t refused = found->second.refused_status;
    const bool is_truncated =
        found->second.is_event_stream && !found->second.stream_complete;
    running_.erase(found);
    if (end != call_end::complete)
        receiver_(attempt, back_end_failed{end != call_end::not_connected,
                                           to_string(end)});
    else if (refused != 0)
        receiver_(
            attempt,
            back_end_failed{false, "back end refused the request with status " +
                                       std::to_string(refused)});
    else if (is_truncated)
        receiver_(attempt,
                  back_end_failed{
                      true, "stream truncated: ended before its [DONE] event"});
    else
        receiver_(attempt, back_end_end{});
}

void back_end::fail(const attempt_id& attempt, back_end_failed failure) {
    const auto found = running_.find(attempt);
    if (found == running_.end())
        return;
    client_.cancel(found->second.call);
    running_.erase(found);
    core_.post(service_name,
               [this, attempt, failure = std::move(failure)]() mutable {
                   receiver_(attempt, std::move(failure));
               });
}

void back_end::fail_silent_calls() {
    const instant now = steady::now();
    std::vector<attempt_id> silent;
    for (const auto& [attempt, current] : running_)
        if (current.stream_requested &&
            now - current.last_received > silence_timeout)
            silent.push_back(attempt);
    for (const attempt_id& attempt : silent)
        fail(attempt, {true, "silent"});
}

} // namespace ospreystage
