#include <ospreystage/core/log.hpp>
#include <ospreystage/serving/gateway.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "gateway";
/// Status codes of the gateway's own answers (RFC 9110).
constexpr std::uint16_t status_unauthorized = 401;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_gateway_timeout = 504;
constexpr std::uint16_t first_server_error = 500;

/// Time after which a caller returns that came before the first
/// configuration, or when no server was known.
constexpr milliseconds start_retry_after{500};
/// Time after which a caller returns when no server can answer.
constexpr milliseconds longest_retry_after{2500};
/// A caller's retry waits for at most a third of the time that it has left.
constexpr int most_wait_divisor = 3;
/// A request with less of its route's time left was refused before.
constexpr double fresh_share = 0.93;
/// Deadline of requests that state none, on routes without a time limit.
constexpr milliseconds default_time_left{30'000};
/// Time after a request's deadline at which its call ends by itself.
constexpr milliseconds call_slack{1000};
/// Time after which a caller returns to another entry when this one stops.
constexpr milliseconds stopping_retry_after{50};
/// Interval between two looks for silent servers.
constexpr milliseconds silence_check_interval{100};
/// Shortest silence after which an attempt moves to another server.
constexpr milliseconds least_silence{1200};
/// Silence of all calls to a server after which it counts as dark.
constexpr milliseconds dark_silence{700};
/// Pauses of a stream, in units of the longest one that is on time, that are
/// borne before it moves.
constexpr int silent_gaps = 3;
/// Servers that may refuse one request before its caller is refused.
constexpr std::uint32_t max_sends = 4;
/// Urgencies of attempts: fresh requests by priority, late ones last.
constexpr std::uint32_t late_urgency = 8;
constexpr std::uint32_t least_urgency = 7;
constexpr std::uint32_t first_urgency = 1;

/// Says that a request never runs, and when its caller may return.
http_response make_refusal(const char* reason, milliseconds retry_after) {
    const std::chrono::duration<double> wait = retry_after;
    http_response response;
    response.status = status_unavailable;
    response.fields.push_back(
        {"Retry-After", fmt::format("{:.3f}", wait.count())});
    response.body = std::string(reason) + "\n";
    return response;
}

milliseconds left_until(instant deadline) {
    return std::chrono::duration_cast<milliseconds>(deadline - steady::now());
}

} // namespace

gateway::gateway(kernel& core, web_client& client, const route_table& routes,
                 const backend_registry& servers, backend_load& load,
                 metrics& figures, caller_protocol protocol,
                 gateway_context context,
                 const retry_window::options& retry_limits)
    : core_(core), client_(client), routes_(routes), servers_(servers),
      load_(load), figures_(figures), protocol_(std::move(protocol)),
      context_(std::move(context)), retry_limits_(retry_limits),
      random_(std::random_device{}()) {}

void gateway::attach(web_server& server) {
    server_ = &server;
}

void gateway::start() {
    core_.every(service_name, silence_check_interval,
                [this] { check_silence(); });
}

gateway::request_record* gateway::find(exchange_id exchange) {
    const auto found = requests_.find(static_cast<std::uint64_t>(exchange));
    return found == requests_.end() ? nullptr : found->second.get();
}

void gateway::set_retry_limits(const retry_window::options& limits) {
    retry_limits_ = limits;
    for (auto& [service, window] : retries_)
        window.set_limits(limits);
}

retry_window& gateway::retries_of(const std::string& service) {
    return retries_.try_emplace(service, retry_limits_).first->second;
}

// ---- Requests --------------------------------------------------------------

void gateway::on_request(exchange_id exchange, http_request request) {
    const caller_request caller = protocol_.read_request(request);
    if (is_closed_) {
        refuse_unrouted(exchange, caller, "entry is stopping",
                        stopping_retry_after);
        return;
    }
    const routing_decision decision =
        routes_.decide(caller.host, request.target, caller.key);
    if (const auto* routed = std::get_if<routed_request>(&decision)) {
        route_request(exchange, std::move(request), caller, *routed);
        return;
    }
    if (std::holds_alternative<not_configured>(decision)) {
        refuse_unrouted(exchange, caller, "no configuration yet",
                        start_retry_after);
        return;
    }
    http_response response;
    const char* reason = "no route";
    if (std::holds_alternative<unknown_key>(decision)) {
        reason = "unknown key";
        response.status = status_unauthorized;
    } else {
        response.status = status_not_found;
    }
    figures_.count(
        fmt::format("ospreystage_requests_total{{outcome=\"{}\"}}", reason));
    log_event(log_level::info, "request_not_routed",
              {{"request", caller.id},
               {"reason", reason},
               {"configuration", routes_.current().version}});
    response.body = std::string(reason) + "\n";
    server_->respond(exchange, response);
}

/// Refuses a request before it is known where it would go.
void gateway::refuse_unrouted(exchange_id exchange,
                              const caller_request& caller, const char* reason,
                              milliseconds retry_after) {
    figures_.count(
        fmt::format("ospreystage_requests_total{{outcome=\"{}\"}}", reason));
    log_event(log_level::info, "request_refused",
              {{"request", caller.id}, {"reason", reason}});
    server_->respond(exchange, make_refusal(reason, retry_after));
}

void gateway::route_request(exchange_id exchange, http_request request,
                            const caller_request& caller,
                            const routed_request& routed) {
    const instant now = steady::now();
    auto record = std::make_unique<request_record>();
    std::uniform_real_distribution<double> draw(0, 1);
    record->service = route_table::choose_service(*routed.path, draw(random_));
    record->organisation =
        routed.organisation == nullptr ? "" : routed.organisation->name;
    record->kind = routed.path->kind;
    record->objective = routed.path->objective;
    record->max_gap = routed.path->max_gap;
    record->priority = routed.priority;
    record->max_attempts = std::max(1U, routed.path->max_attempts);
    record->is_resumable =
        record->kind == request_kind::streaming && routed.path->is_resumable;
    record->arrived = now;
    record->request = std::move(request);
    record->caller = caller;
    const milliseconds timeout = routed.path->timeout > milliseconds(0)
                                     ? routed.path->timeout
                                     : default_time_left;
    const milliseconds stated = caller.time_left.value_or(timeout);
    record->is_late = static_cast<double>(stated.count()) <
                          static_cast<double>(timeout.count()) * fresh_share &&
                      timeout - stated > record->objective;
    record->deadline = now + std::min(timeout, stated);
    record->deadline_timer =
        core_.after(service_name, record->deadline - now,
                    [this, exchange] { on_deadline(exchange); });
    retries_of(record->service).on_request(now);
    requests_.emplace(static_cast<std::uint64_t>(exchange), std::move(record));
    place(exchange);
}

// ---- Attempts --------------------------------------------------------------

void gateway::place(exchange_id exchange) {
    request_record& record = *find(exchange);
    const service_description* service = routes_.service(record.service);
    if (service == nullptr) {
        refuse(exchange, "service is not described", start_retry_after);
        return;
    }
    placement_request wanted;
    wanted.service = service;
    wanted.prompt_tokens = record.caller.prompt_tokens;
    wanted.objective = record.objective;
    wanted.is_late = record.is_late;
    wanted.min_version = context_.min_version(record.service);
    wanted.tried = &record.tried;
    // All entries share a server's connections; it resets those beyond.
    const std::uint32_t entries = std::max(1U, context_.entries());
    const std::size_t share =
        service->max_connections == 0
            ? 0
            : std::max<std::size_t>(1, service->max_connections / entries);
    std::vector<const backend_server*> servers =
        servers_.serving(record.service);
    std::erase_if(servers, [&](const backend_server* server) {
        return !client_.has_free_connection(server->endpoint, share);
    });
    const placement_decision decision =
        load_.place(wanted, servers, entries, steady::now());
    if (const auto* chosen = std::get_if<placed>(&decision))
        send(exchange, *chosen);
    else if (const auto* full = std::get_if<no_room>(&decision))
        refuse(exchange, "no server has room in time", full->retry_after);
    else
        // Servers take seconds to load weights: as late as callers may return.
        refuse(exchange, "no server can answer", longest_retry_after);
}

void gateway::send(exchange_id exchange, const placed& chosen) {
    request_record& record = *find(exchange);
    const instant now = steady::now();
    const backend_server* server = servers_.find(chosen.server);
    attempt_terms terms;
    terms.time_left = left_until(record.deadline);
    terms.organisation = record.organisation;
    terms.server = chosen.server;
    terms.weight_version = chosen.version;
    terms.after_event = record.last_event;
    if (chosen.version != 0)
        terms.urgency =
            record.is_late
                ? late_urgency
                : std::min(first_urgency + record.priority, least_urgency);
    http_request request;
    request.method = record.request.method;
    request.target = record.request.target;
    request.fields = protocol_.attempt_fields(record.request, terms);
    request.body = record.request.body;
    call_options options;
    // The request's own timer ends it; this one is for a timer that is lost.
    options.timeout = terms.time_left + call_slack;
    options.echoed_field = protocol_.id_field;
    call_handlers handlers;
    handlers.head = [this, exchange](const http_response& head) {
        on_head(exchange, head);
    };
    handlers.body = [this, exchange](std::string_view data) {
        on_body(exchange, data);
    };
    handlers.ended = [this, exchange](call_end end) {
        on_call_ended(exchange, end);
    };
    record.server = chosen.server;
    record.tried.insert(chosen.server);
    record.heard = now;
    ++record.sent;
    ++record.runs;
    heard_.try_emplace(chosen.server, now);
    load_.on_sent(chosen.server, chosen.prefill_time, now);
    if (chosen.prefill_time > microseconds(0))
        context_.sent(*server, chosen.prefill_time);
    record.call =
        client_.start(server->endpoint, request, options, std::move(handlers));
    log_event(log_level::info, "request_sent",
              {{"request", record.caller.id},
               {"server", chosen.server},
               {"attempt", record.sent},
               {"in_flight", chosen.in_flight},
               {"backlog_ms", chosen.backlog.count()},
               {"expected_ms", chosen.wait.count()},
               {"time_left_ms", terms.time_left.count()}});
}

void gateway::end_call(request_record& record, attempt_result result) {
    load_.on_ended(record.server, result, steady::now());
    record.call.reset();
    record.events.reset();
}

void gateway::give_up_call(request_record& record) {
    if (!record.call)
        return;
    client_.cancel(*record.call);
    end_call(record, attempt_result::given_up);
}

bool gateway::may_repeat(request_record& record) {
    if (record.sent >= max_sends || record.runs >= record.max_attempts)
        return false;
    return retries_of(record.service).spend(context_.entries(), steady::now());
}

void gateway::on_head(exchange_id exchange, const http_response& head) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    record->heard = steady::now();
    heard_[record->server] = record->heard;
    record->head = head;
    record->head.body.clear();
    record->is_event_stream =
        record->kind == request_kind::streaming && head.status < 300 &&
        is_event_stream(field_value(head.fields, "Content-Type"));
}

void gateway::on_body(exchange_id exchange, std::string_view data) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    record->heard = steady::now();
    heard_[record->server] = record->heard;
    if (!record->is_event_stream) {
        record->head.body.append(data);
        return;
    }
    for (const stream_event& event : record->events.feed(data)) {
        forward(exchange, event);
        record = find(exchange);
        if (record == nullptr || !record->call)
            return;
    }
}

void gateway::forward(exchange_id exchange, const stream_event& event) {
    request_record& record = *find(exchange);
    if (event.id && record.last_event && *event.id <= *record.last_event)
        return; // The caller has it from the server before.
    if (!record.has_begun) {
        record.has_begun = true;
        const auto spent = steady::now() - record.arrived;
        figures_.observe("ospreystage_first_event_seconds", spent);
        log_event(log_level::info, "request_first_event",
                  {{"request", record.caller.id},
                   {"server", record.server},
                   {"after_ms", spent / milliseconds(1)}});
        http_response head = record.head;
        erase_hop_fields(head.fields);
        server_->begin(exchange, head);
    }
    if (event.id)
        record.last_event = event.id;
    const bool is_read = server_->write(exchange, event.text);
    if (!is_read && record.call)
        client_.set_reading(*record.call, false);
}

void gateway::on_drained(exchange_id exchange) {
    const request_record* record = find(exchange);
    if (record != nullptr && record->call)
        client_.set_reading(*record->call, true);
}

void gateway::on_call_ended(exchange_id exchange, call_end end) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    if (end == call_end::not_connected) {
        --record->runs; // Nothing was sent.
        end_call(*record, attempt_result::failed);
        on_failed_attempt(exchange, "server not reached", false);
        return;
    }
    if (record->is_event_stream) {
        on_stream_ended(exchange, end);
        return;
    }
    if (end != call_end::complete) {
        end_call(*record, attempt_result::failed);
        record->head.body.clear();
        on_failed_attempt(exchange, to_string(end), true);
        return;
    }
    if (protocol_.is_not_run(record->head)) {
        --record->runs;
        end_call(*record, attempt_result::refused);
        record->head.body.clear();
        on_failed_attempt(exchange, "refused by the server", false);
        return;
    }
    if (record->has_begun) {
        // A server that was to go on with a stream answered something else.
        end_call(*record, attempt_result::failed);
        on_failed_attempt(exchange, "stream not resumed", true);
        return;
    }
    const bool has_failed = record->head.status >= first_server_error;
    end_call(*record,
             has_failed ? attempt_result::failed : attempt_result::answered);
    if (has_failed)
        log_event(log_level::warn, "attempt_failed",
                  {{"request", record->caller.id},
                   {"server", record->server},
                   {"reason", "server failed"},
                   {"status", record->head.status},
                   {"may_have_run", true}});
    if (has_failed && record->kind == request_kind::safe &&
        may_repeat(*record)) {
        record->head.body.clear();
        place(exchange);
        return;
    }
    http_response response = std::move(record->head);
    erase_hop_fields(response.fields);
    answer(exchange, response, has_failed ? "server failed" : "answered");
}

void gateway::on_stream_ended(exchange_id exchange, call_end end) {
    request_record& record = *find(exchange);
    if (end == call_end::complete) {
        const std::string rest = record.events.rest();
        end_call(record, attempt_result::answered);
        if (!rest.empty())
            forward(exchange, {rest, std::nullopt});
        if (!record.has_begun) {
            http_response head = record.head;
            erase_hop_fields(head.fields);
            server_->begin(exchange, head);
        }
        server_->finish(exchange);
        erase(exchange, "answered");
        return;
    }
    end_call(record, attempt_result::failed);
    on_failed_attempt(exchange, to_string(end), true);
}

/// Sends the request once more if it may be, or tells the caller the outcome.
void gateway::on_failed_attempt(exchange_id exchange, const char* reason,
                                bool may_have_run) {
    request_record& record = *find(exchange);
    const bool is_repeatable = !may_have_run ||
                               record.kind == request_kind::safe ||
                               record.is_resumable;
    const bool has_time = left_until(record.deadline) > milliseconds(50);
    log_event(
        log_level::warn, "attempt_failed",
        {{"request", record.caller.id},
         {"server", record.server},
         {"reason", reason},
         {"may_have_run", may_have_run},
         {"last_event", record.last_event ? nlohmann::json(*record.last_event)
                                          : nlohmann::json()}});
    if (is_repeatable && has_time && may_repeat(record)) {
        place(exchange);
        return;
    }
    if (record.runs == 0)
        refuse(exchange, reason, start_retry_after);
    else
        fail_request(exchange, status_bad_gateway, reason);
}

void gateway::check_silence() {
    const instant now = steady::now();
    std::vector<exchange_id> silent;
    for (const auto& [id, record] : requests_) {
        if (!record->call)
            continue;
        const bool is_repeatable =
            record->kind == request_kind::safe || record->is_resumable;
        if (!is_repeatable || record->runs >= record->max_attempts)
            continue;
        const auto expected =
            record->has_begun ? record->max_gap : record->objective;
        const auto limit =
            std::max<milliseconds>(expected * silent_gaps, least_silence);
        const bool is_dark = now - heard_[record->server] > dark_silence &&
                             now - record->heard > dark_silence &&
                             now - record->heard > expected;
        if (is_dark || now - record->heard > limit)
            silent.push_back(exchange_id{id});
    }
    for (const exchange_id exchange : silent) {
        request_record* record = find(exchange);
        if (record == nullptr || !record->call)
            continue;
        // Checked first: without a second server the first may still answer.
        if (!may_repeat(*record))
            continue;
        client_.cancel(*record->call);
        end_call(*record, attempt_result::silent);
        record->head.body.clear();
        log_event(log_level::warn, "attempt_silent",
                  {{"request", record->caller.id},
                   {"server", record->server},
                   {"silent_ms", (now - record->heard) / milliseconds(1)}});
        place(exchange);
    }
}

void gateway::on_deadline(exchange_id exchange) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    give_up_call(*record);
    if (record->runs == 0)
        refuse(exchange, "deadline passed", start_retry_after);
    else
        fail_request(exchange, status_gateway_timeout, "deadline passed");
}

void gateway::on_abandoned(exchange_id exchange) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    give_up_call(*record);
    erase(exchange, "caller left");
}

// ---- Answers ---------------------------------------------------------------

void gateway::refuse(exchange_id exchange, const char* reason,
                     milliseconds retry_after) {
    request_record& record = *find(exchange);
    if (record.has_begun || record.runs > 0) {
        fail_request(exchange, status_bad_gateway, reason);
        return;
    }
    const milliseconds most =
        std::max(left_until(record.deadline), milliseconds(0)) /
        most_wait_divisor;
    log_event(log_level::info, "request_refused",
              {{"request", record.caller.id},
               {"service", record.service},
               {"reason", reason},
               {"sent", record.sent},
               {"retry_after_ms", retry_after.count()}});
    answer(exchange, make_refusal(reason, std::min(retry_after, most)),
           "refused");
}

void gateway::fail_request(exchange_id exchange, std::uint16_t status,
                           const char* reason) {
    request_record& record = *find(exchange);
    log_event(log_level::warn, "request_failed",
              {{"request", record.caller.id},
               {"service", record.service},
               {"server", record.server},
               {"reason", reason},
               {"status", record.has_begun ? 0 : status}});
    if (record.has_begun) {
        server_->abort(exchange);
        erase(exchange, "cut");
        return;
    }
    http_response response;
    response.status = status;
    response.body = std::string(reason) + "\n";
    answer(exchange, response, "failed");
}

void gateway::answer(exchange_id exchange, const http_response& response,
                     const char* outcome) {
    server_->respond(exchange, response);
    erase(exchange, outcome);
}

void gateway::erase(exchange_id exchange, const char* outcome) {
    const auto found = requests_.find(static_cast<std::uint64_t>(exchange));
    const request_record& record = *found->second;
    core_.cancel(record.deadline_timer);
    figures_.count(
        fmt::format("ospreystage_requests_total{{outcome=\"{}\"}}", outcome));
    const auto spent = steady::now() - record.arrived;
    figures_.observe("ospreystage_request_seconds", spent);
    log_event(log_level::info, "request_ended",
              {{"request", record.caller.id},
               {"outcome", outcome},
               {"server", record.server},
               {"attempts", record.sent},
               {"after_ms", spent / milliseconds(1)}});
    requests_.erase(found);
}

} // namespace ospreystage
