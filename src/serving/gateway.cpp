#include <ospreystage/core/log.hpp>
#include <ospreystage/core/stable_hash.hpp>
#include <ospreystage/serving/gateway.hpp>
#include <ospreystage/serving/request_identity.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "gateway";
/// Status codes of the gateway's own responses (RFC 9110).
constexpr std::uint16_t status_unauthorized = 401;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_bad_gateway = 502;
constexpr std::uint16_t status_unavailable = 503;
constexpr std::uint16_t status_gateway_timeout = 504;
constexpr std::uint16_t first_server_error = 500;
/// Status of an attempt whose response head has not been received.
constexpr std::uint16_t no_head_status = 0;

/// Retry delay for callers before the first configuration or of a service that
/// is not described, and for requests that fail without having run.
constexpr milliseconds default_retry_after{500};
/// The retry delay is at most a third of the time that the caller has left.
constexpr int max_retry_after_divisor = 3;
/// A request with a smaller share of its route's timeout left is taken for a
/// retry after a refusal.
constexpr double fresh_time_share = 0.93;
/// Time limit of requests that state none, on routes without a timeout.
constexpr milliseconds default_time_left{30'000};
/// Time after a request's deadline at which the call's own timeout ends it.
constexpr milliseconds call_timeout_margin{1000};
/// Retry delay for callers whose prompt crashes engines.
constexpr milliseconds quarantine_retry_after{30'000};
/// An engine that crashes does so within a few events of the answer that causes
/// it; an answer that has gone on for longer is sound.
constexpr std::uint32_t max_crash_events = 1;
constexpr milliseconds min_sound_time{500};
/// Time after a broken answer at which the other calls to its server show
/// whether it has ended.
constexpr milliseconds crash_check_delay{20};
/// Time within which calls that are still open must receive data to show that
/// their server goes on; connections may go silent without a close.
constexpr milliseconds silent_check_delay{400};
/// Delay of a retry after a possible crash, so that the crash is judged first.
constexpr milliseconds crash_retry_delay{25};
/// Refusal of requests that this entry may not finish before it stops, and
/// their retry delay: the caller should use another entry.
constexpr const char* stopping_reason = "entry is stopping";
constexpr milliseconds stopping_retry_after{50};
/// Interval between two checks for idle and outdated attempts.
constexpr milliseconds attempt_check_interval{100};
/// Shortest idle time after which an attempt moves to another server.
constexpr milliseconds min_idle_timeout{1200};
/// Idle time on all calls to a server after which its overdue attempts move
/// without waiting for their own idle timeout.
constexpr milliseconds server_idle_timeout{700};
/// Idle timeout of an attempt in units of the expected gap: the target latency
/// before the first event, the target gap after it.
constexpr int idle_timeout_gaps = 3;
/// Largest plain answer that is passed on only once it is whole; a larger one
/// is passed on as it arrives. It bounds the memory that one answer takes.
constexpr std::size_t max_buffered_bytes = 64 * 1024;
/// Characters of a request's path in a log line.
constexpr std::size_t max_logged_path = 200;
/// Attempts per request, including those that servers refuse.
constexpr std::uint32_t max_sent_attempts = 4;
/// Priorities of attempts, 0 being the highest: fresh requests by their own
/// priority, late ones last.
constexpr std::uint32_t late_priority = 8;
constexpr std::uint32_t lowest_fresh_priority = 7;
constexpr std::uint32_t highest_fresh_priority = 1;

/// Returns the path of a target for log lines, without its query.
std::string path_of(const std::string& target) {
    return target.substr(0, std::min(target.find('?'), max_logged_path));
}

/// Returns a response which states that the request never runs and when the
/// caller may retry.
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
                 backend_availability& availability, limit_exchange& limits,
                 prompt_quarantine& quarantine, metrics& request_metrics,
                 caller_protocol protocol, gateway_context context,
                 const retry_window::options& retry_limits)
    : core_(core), client_(client), routes_(routes), servers_(servers),
      load_(load), limits_(limits), quarantine_(quarantine),
      metrics_(request_metrics),
      selector_(servers, client, load, availability, limits, request_metrics,
                context.data_centres),
      protocol_(std::move(protocol)), context_(std::move(context)),
      server_ends_(
          core, client,
          {[this](const std::string& server, instant at) {
               return goes_on(server, at);
           },
           [this](const std::string& server, instant at, const auto& suspects) {
               on_server_ended(server, at, suspects);
           }}),
      retry_limits_(retry_limits), random_(std::random_device{}()) {}

void gateway::attach(web_server& server) {
    server_ = &server;
}

void gateway::start() {
    core_.every(service_name, attempt_check_interval, [this] {
        withdraw_attempts();
        check_idle_attempts();
    });
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

retry_window& gateway::retry_window_of(const std::string& service) {
    return retries_.try_emplace(service, retry_limits_).first->second;
}

// ---- Requests --------------------------------------------------------------

void gateway::on_request(exchange_id exchange, http_request request) {
    const caller_request caller = protocol_.read_request(request);
    const routing_decision decision =
        routes_.decide(caller.host, request.target, caller.key);
    if (const auto* routed = std::get_if<routed_request>(&decision)) {
        route_request(exchange, std::move(request), caller, *routed);
        return;
    }
    if (std::holds_alternative<not_configured>(decision)) {
        refuse_unrouted(exchange, caller, "no configuration yet",
                        default_retry_after);
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
    metrics_.count(
        fmt::format("ospreystage_requests_total{{outcome=\"{}\"}}", reason));
    log_event(log_level::info, "request_not_routed",
              routes_.with_configuration(
                  {{"request", caller.id}, {"reason", reason}}, steady::now()));
    response.body = std::string(reason) + "\n";
    server_->respond(exchange, response);
}

/// Returns true if this entry is stopping and may end before a request whose
/// deadline this is.
bool gateway::may_outlast_stop(instant deadline) const {
    return stopping_ && deadline > stopping_->ends_at &&
           steady::now() >= stopping_->accepts_until;
}

/// Returns true if a request should be refused rather than sent, since no
/// server can have run it and this entry may end before it. `waiting_attempts`
/// count as sent but wait for a connection.
bool gateway::is_left_to_others(const request_record& record,
                                std::uint32_t waiting_attempts) const {
    return record.possible_runs == waiting_attempts &&
           may_outlast_stop(record.deadline);
}

/// Refuses a request that has not been accepted.
void gateway::refuse_unrouted(exchange_id exchange,
                              const caller_request& caller, const char* reason,
                              milliseconds retry_after) {
    metrics_.count(
        fmt::format("ospreystage_requests_total{{outcome=\"{}\"}}", reason));
    log_event(log_level::info, "request_refused",
              {{"request", caller.id}, {"reason", reason}});
    server_->respond(exchange, make_refusal(reason, retry_after));
}

void gateway::route_request(exchange_id exchange, http_request request,
                            const caller_request& caller,
                            const routed_request& routed) {
    const instant now = steady::now();
    const milliseconds timeout = routed.matched_route->timeout > milliseconds(0)
                                     ? routed.matched_route->timeout
                                     : default_time_left;
    const milliseconds caller_timeout = caller.time_left.value_or(timeout);
    const instant deadline = now + std::min(timeout, caller_timeout);
    if (may_outlast_stop(deadline)) {
        refuse_unrouted(exchange, caller, stopping_reason,
                        stopping_retry_after);
        return;
    }
    auto record = std::make_unique<request_record>();
    std::uniform_real_distribution<double> draw(0, 1);
    record->service =
        route_table::choose_service(*routed.matched_route, draw(random_));
    if (const auto* described = routes_.service(record->service))
        record->description = *described;
    record->organisation =
        routed.organisation == nullptr ? "" : routed.organisation->name;
    record->regions = regions_of(routed.matched_route, routed.organisation);
    record->kind = routed.matched_route->kind;
    record->target_latency = routed.matched_route->target_latency;
    record->target_gap = routed.matched_route->target_gap;
    record->priority = routed.priority;
    record->max_attempts = std::max(1U, routed.matched_route->max_attempts);
    record->is_resumable = record->kind == request_kind::streaming &&
                           routed.matched_route->is_resumable;
    record->arrived = now;
    record->request = with_shared_body(std::move(request));
    record->caller = caller;
    record->is_late =
        static_cast<double>(caller_timeout.count()) <
            static_cast<double>(timeout.count()) * fresh_time_share &&
        timeout - caller_timeout > record->target_latency;
    record->deadline = deadline;
    record->deadline_timer =
        core_.after(service_name, record->deadline - now,
                    [this, exchange] { on_deadline(exchange); });
    retry_window_of(record->service).on_request(now);
    record->identity =
        request_identity(record->request, caller, record->organisation);
    record->parts = record->caller.prompt_parts;
    record->parts.push_back(record->identity);
    record->is_probe =
        quarantine_.admit(record->parts, now) == prompt_verdict::probe;
    requests_.emplace(static_cast<std::uint64_t>(exchange), std::move(record));
    place(exchange);
}

// ---- Attempts --------------------------------------------------------------

void gateway::place(exchange_id exchange) {
    request_record& record = *find(exchange);
    // After a stall, this may run before the timer of the deadline.
    if (steady::now() >= record.deadline) {
        on_deadline(exchange);
        return;
    }
    if (is_quarantined(record)) {
        log_quarantined(record);
        refuse(exchange, quarantine_reason(record), quarantine_retry_after);
        return;
    }
    if (is_left_to_others(record, 0)) {
        refuse(exchange, stopping_reason, stopping_retry_after);
        return;
    }
    if (!record.description) {
        refuse(exchange, "service is not described", default_retry_after);
        return;
    }
    const selection_result result = choose_server(record);
    if (const auto* chosen = std::get_if<placement>(&result)) {
        await_permit(exchange, *chosen);
        return;
    }
    const auto& refusal = std::get<selection_refusal>(result);
    selector_.count(refusal);
    refuse(exchange, refusal.reason, refusal.retry_after);
}

selection_request gateway::selection_of(const request_record& record) const {
    selection_request request;
    request.service = record.service;
    request.regions =
        current_regions(record.regions, record.caller.host,
                        record.request.target, record.organisation, routes_);
    request.placement.service = &*record.description;
    request.placement.prompt_tokens = record.caller.prompt_tokens;
    request.placement.max_answer_tokens = record.caller.max_answer_tokens;
    request.placement.target_latency = record.target_latency;
    request.placement.target_gap = record.target_gap;
    request.placement.time_left = left_until(record.deadline);
    request.placement.is_late = record.is_late;
    request.placement.min_version = context_.min_version(*record.description);
    request.placement.tried = &record.tried;
    return request;
}

/// Chooses a server that the request has not been sent to.
selection_result gateway::choose_server(const request_record& record) {
    selection_request request = selection_of(record);
    request.entries = std::max(1U, context_.entries());
    return selector_.choose(request, steady::now());
}

// ---- Permits ---------------------------------------------------------------

/// Sends the request once the chosen server's limit permits it: at once, unless
/// the server has one.
void gateway::await_permit(exchange_id exchange, const placement& chosen) {
    const instant now = steady::now();
    if (!limits_.limit(chosen.server, now)) {
        send(exchange, chosen, permit_granted{});
        return;
    }
    const permit_decision decision = limits_.request(chosen.server, now);
    const auto* pending = std::get_if<permit_pending>(&decision);
    if (pending == nullptr) {
        on_permit(exchange, chosen, decision);
        return;
    }
    find(exchange)->awaiting_permit = {pending->sequence, chosen};
    awaiting_permits_.emplace(pending->sequence, exchange);
    core_.after(
        service_name, pending->timeout,
        [this, sequence = pending->sequence] { on_permit_timeout(sequence); });
}

void gateway::on_permit(exchange_id exchange, const placement& chosen,
                        const permit_decision& decision) {
    const auto* granted = std::get_if<permit_granted>(&decision);
    metrics_.count(fmt::format("ospreystage_permits_total{{granted=\"{}\"}}",
                               granted != nullptr));
    if (granted != nullptr && may_send(*find(exchange), chosen) &&
        !is_left_to_others(*find(exchange), 0)) {
        send(exchange, chosen, *granted);
        return;
    }
    if (const auto* denied = std::get_if<permit_denied>(&decision))
        log_event(log_level::info, "permit_denied",
                  {{"request", find(exchange)->caller.id},
                   {"server", chosen.server},
                   {"wait_ms", denied->wait.count()}});
    // An attempt that is open goes on without another one beside it.
    if (!find(exchange)->call)
        place(exchange);
}

void gateway::on_permit_reply(const permit_reply& reply) {
    const auto decision = limits_.on_reply(reply, steady::now());
    if (!decision)
        return;
    const auto waiting = awaiting_permits_.extract(reply.sequence);
    if (waiting.empty())
        return;
    const exchange_id exchange = waiting.mapped();
    request_record* record = find(exchange);
    // The caller may have left, or the deadline passed, meanwhile.
    if (record == nullptr || !record->awaiting_permit ||
        record->awaiting_permit->sequence != reply.sequence)
        return;
    const placement chosen = std::move(record->awaiting_permit->chosen);
    record->awaiting_permit.reset();
    on_permit(exchange, chosen, *decision);
}

void gateway::on_permit_timeout(std::uint64_t sequence) {
    const auto waiting = awaiting_permits_.extract(sequence);
    if (waiting.empty())
        return;
    limits_.on_timeout(sequence, steady::now());
    const exchange_id exchange = waiting.mapped();
    request_record* record = find(exchange);
    if (record == nullptr || !record->awaiting_permit ||
        record->awaiting_permit->sequence != sequence)
        return;
    metrics_.count("ospreystage_permit_timeouts_total");
    log_event(log_level::warn, "permit_not_answered",
              {{"request", record->caller.id},
               {"server", record->awaiting_permit->chosen.server}});
    record->awaiting_permit.reset();
    if (!record->call)
        place(exchange);
}

// ---- Attempts at a server --------------------------------------------------

bool gateway::may_send(const request_record& record,
                       const placement& chosen) const {
    return steady::now() < record.deadline && !is_quarantined(record) &&
           selector_.may_send(selection_of(record), chosen, steady::now());
}

bool gateway::is_quarantined(const request_record& record) const {
    return !record.is_probe && quarantine_.is_quarantined(record.parts);
}

const char* gateway::quarantine_reason(const request_record& record) const {
    return quarantine_.is_quarantined({record.identity})
               ? "request is quarantined"
               : "prompt is quarantined";
}

void gateway::log_quarantined(const request_record& record) {
    if (!quarantine_.is_quarantined({record.identity}))
        return;
    metrics_.count("ospreystage_quarantined_requests_total");
    log_event(log_level::warn, "quarantined_request_refused",
              {{"request", record.caller.id},
               {"identity", fmt::format("{:016x}", record.identity)},
               {"path", path_of(record.request.target)},
               {"organisation", record.organisation}});
}

void gateway::send(exchange_id exchange, const placement& chosen,
                   const permit_granted& permit) {
    request_record& record = *find(exchange);
    if (record.call && !set_aside(record))
        return;
    const instant now = steady::now();
    const backend_server* server = servers_.find(chosen.server);
    attempt_metadata metadata;
    metadata.time_left = left_until(record.deadline);
    metadata.organisation = record.organisation;
    metadata.server = chosen.server;
    metadata.weight_version = chosen.version;
    metadata.last_event_id = record.last_event_id;
    if (chosen.version != 0)
        metadata.priority =
            record.is_late ? late_priority
                           : std::min(highest_fresh_priority + record.priority,
                                      lowest_fresh_priority);
    http_request request;
    request.method = record.request.method;
    request.target = record.request.target;
    request.fields = protocol_.attempt_fields(record.request, metadata);
    request.shared_body = record.request.shared_body;
    call_options options;
    // The request's deadline timer normally ends the call first; this timeout
    // is a fallback.
    options.timeout = metadata.time_left + call_timeout_margin;
    options.echoed_field = protocol_.id_field;
    options.may_send = [this, exchange, chosen, permit] {
        const request_record& waiting = *find(exchange);
        return may_send(waiting, chosen) && !is_left_to_others(waiting, 1) &&
               limits_.is_permitted(chosen.server, permit, steady::now());
    };
    call_handlers handlers;
    const std::uint32_t attempt = ++record.last_attempt;
    handlers.head = [this, exchange, attempt](const http_response& head) {
        if (is_set_aside(exchange, attempt))
            on_silent_head(exchange, head);
        else
            on_head(exchange, head);
    };
    handlers.body = [this, exchange, attempt](std::string_view data) {
        if (is_set_aside(exchange, attempt))
            on_silent_body(exchange, data);
        else
            on_body(exchange, data);
    };
    handlers.ended = [this, exchange, attempt](call_end end) {
        if (is_set_aside(exchange, attempt))
            on_silent_ended(exchange, end);
        else
            on_call_ended(exchange, end);
    };
    record.tried.insert(chosen.server);
    static_cast<attempt_record&>(record) = {};
    record.number = attempt;
    record.server = chosen.server;
    record.server_started_unix_ms = server->started_unix_ms;
    record.last_received = now;
    record.head.status = no_head_status;
    record.resumed_after = record.last_event_id;
    record.version = chosen.version;
    record.sent_at = now;
    record.pace = {server->start(), now, chosen.usual_first_event,
                   chosen.usual_gap};
    ++record.sent_attempts;
    ++record.possible_runs;
    last_received_.try_emplace(chosen.server, now);
    load_.on_sent(chosen.server, chosen.prefill_time, now);
    if (chosen.prefill_time > microseconds(0))
        context_.announce_attempt(*server, chosen.prefill_time);
    record.call =
        client_.start(server->endpoint, request, options, std::move(handlers));
    log_event(log_level::info, "request_sent",
              with_state({{"request", record.caller.id},
                          {"server", chosen.server},
                          {"attempt", record.sent_attempts},
                          {"version", chosen.version},
                          {"in_flight", chosen.in_flight},
                          {"backlog_ms", chosen.backlog.count()},
                          {"expected_ms", chosen.expected_wait.count()},
                          {"time_left_ms", metadata.time_left.count()}},
                         now));
}

void gateway::end_call(request_record& record, attempt_result result) {
    load_.on_ended(record.server, result, steady::now());
    record.call.reset();
    record.events.reset();
}

void gateway::cancel_call(request_record& record) {
    if (!record.call)
        return;
    client_.cancel(*record.call);
    end_call(record, attempt_result::cancelled);
}

bool gateway::acquire_retry(request_record& record) {
    if (record.sent_attempts >= max_sent_attempts ||
        record.possible_runs >= record.max_attempts)
        return false;
    return retry_window_of(record.service)
        .spend(context_.entries(), steady::now());
}

void gateway::on_head(exchange_id exchange, const http_response& head) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    record->last_received = record->head_at = steady::now();
    on_server_state(*record, head);
    record->head = head;
    record->head.body.clear();
    record->is_event_stream =
        record->kind == request_kind::streaming && head.status < 300 &&
        is_event_stream(field_value(head.fields, "Content-Type"));
    // A stream has begun only with its first event.
    if (!record->is_event_stream && !record->has_response_begun &&
        head.status < first_server_error && !protocol_.is_not_run(head))
        drop_silent_attempt(*record);
}

/// Records what the head of an answer states about its server.
void gateway::on_server_state(const attempt_record& attempt,
                              const http_response& head) {
    const std::string& server = attempt.server;
    const instant now = steady::now();
    last_received_[server] = now;
    const limit_statement statement = protocol_.limit_of(head);
    if (std::holds_alternative<limit_named>(statement))
        metrics_.count("ospreystage_limit_answers_total");
    limits_.on_answer(server, statement, now);
    if (const auto pace = protocol_.pace_of(head))
        load_.pace().on_answer(attempt.pace.server, *pace, now);
    const availability_statement availability = protocol_.availability_of(head);
    // Another start of the server may have answered.
    if (availability.is_misdirected)
        context_.on_connection_ended(server);
    on_availability(attempt.pace.server, availability);
}

void gateway::on_availability(const server_start& server,
                              const availability_statement& statement) {
    if (statement.is_leaving)
        metrics_.count("ospreystage_leaving_answers_total");
    if (statement.pause)
        metrics_.count("ospreystage_pause_answers_total");
    selector_.on_availability(server, statement, steady::now());
}

void gateway::on_body(exchange_id exchange, std::string_view data) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    last_received_[record->server] = steady::now();
    if (!record->is_event_stream) {
        on_plain_body(exchange, data);
        return;
    }
    on_events(exchange, record->events.feed(data));
}

void gateway::on_events(exchange_id exchange,
                        const std::vector<stream_event>& events) {
    request_record* record = find(exchange);
    for (const stream_event& event : events) {
        if (const char* defect = event_defect(*record, event)) {
            abandon_answer(exchange, call_end::malformed, defect);
            return;
        }
        if (event.id)
            record->attempt_event_id = event.id;
        // Nothing of a resumed run is passed on before it has gone on.
        if (record->resumed_after && !record->attempt_event_id)
            continue;
        // Single bytes and comments do not show that the request progresses.
        if (!is_comment(event)) {
            record->last_received = steady::now();
            load_.pace().on_event(record->pace, record->last_received);
            ++record->events_received;
            check_answered(*record);
            drop_silent_attempt(*record);
        } else if (record->silent_attempt) {
            continue; // The other attempt may still be the one that answers.
        }
        forward(exchange, event);
        record = find(exchange);
        if (record == nullptr || !record->call)
            return;
    }
    if (record->events.is_too_large())
        abandon_answer(exchange, call_end::too_large, "event too large");
}

/// Returns why an event may not follow those that the caller has, or null if it
/// may. A resumed run must show that it goes on where the run before ended.
const char* gateway::event_defect(const request_record& record,
                                  const stream_event& event) {
    if (is_comment(event))
        return nullptr;
    if (is_foreign(event))
        return "text within the stream is no event";
    const bool has_gone_on = !record.resumed_after ||
                             (record.attempt_event_id &&
                              *record.attempt_event_id > *record.resumed_after);
    if (has_gone_on)
        return nullptr;
    if (!event.id)
        return "resumed stream has events without ids";
    // An event may stand for several ids, which then leave out numbers.
    const bool are_ids_consecutive =
        record.has_consecutive_ids && record.numbered_events > 1;
    const bool is_later = *event.id > *record.resumed_after;
    if (are_ids_consecutive && is_later &&
        *event.id - *record.resumed_after > 1)
        return "resumed stream leaves out events";
    return nullptr;
}

void gateway::on_plain_body(exchange_id exchange, std::string_view data) {
    request_record& record = *find(exchange);
    record.last_received = steady::now();
    if (record.is_body_forwarded) {
        write(exchange, data);
        return;
    }
    std::string& body = record.head.body;
    body.append(data);
    if (body.size() <= max_buffered_bytes)
        return;
    if (is_refusal(record.head)) {
        // The head says all that matters; the body is not passed on.
        client_.cancel(*record.call);
        on_call_ended(exchange, call_end::too_large);
    } else if (record.has_response_begun) {
        abandon_answer(exchange, call_end::too_large, "stream not resumed");
    } else {
        record.is_body_forwarded = true;
        const std::string first = std::exchange(body, "");
        begin_response(exchange);
        write(exchange, first);
    }
}

/// Sends the head of the current answer to the caller, once.
void gateway::begin_response(exchange_id exchange) {
    request_record& record = *find(exchange);
    if (std::exchange(record.has_response_begun, true))
        return;
    drop_silent_attempt(record);
    http_response head = record.head;
    erase_hop_fields(head.fields);
    server_->begin(exchange, head,
                   record.is_event_stream ? std::nullopt
                                          : record.head.content_length);
}

/// Passes a part of the body on; stops reading while the caller does not.
void gateway::write(exchange_id exchange, std::string_view data) {
    request_record& record = *find(exchange);
    if (!server_->write(exchange, data) && record.call) {
        record.is_paused = true;
        client_.set_reading(*record.call, false);
    }
}

/// Closes the connection of an answer that is not passed on any further.
void gateway::abandon_answer(exchange_id exchange, call_end end,
                             const char* reason) {
    request_record& record = *find(exchange);
    client_.cancel(*record.call);
    log_answer_end(record, end);
    record.is_probe = false;
    end_call(record, attempt_result::failed);
    record.head.body.clear();
    on_attempt_failed(exchange, reason, true);
}

void gateway::forward(exchange_id exchange, const stream_event& event) {
    request_record& record = *find(exchange);
    if (event.id && record.last_event_id && *event.id <= *record.last_event_id)
        return; // Already forwarded from the previous server.
    if (!record.has_response_begun) {
        const instant now = steady::now();
        const auto elapsed = now - record.arrived;
        const auto since_sent = now - record.sent_at;
        metrics_.observe("ospreystage_first_event_seconds", elapsed);
        metrics_.observe("ospreystage_attempt_first_event_seconds", since_sent);
        log_event(log_level::info, "request_first_event",
                  {{"request", record.caller.id},
                   {"server", record.server},
                   {"version", record.version},
                   {"after_ms", elapsed / milliseconds(1)},
                   {"since_sent_ms", since_sent / milliseconds(1)}});
        begin_response(exchange);
    }
    if (event.id) {
        if (record.last_event_id && *event.id - *record.last_event_id != 1)
            record.has_consecutive_ids = false;
        ++record.numbered_events;
        record.last_event_id = event.id;
    } else if (!is_comment(event)) {
        record.has_unnumbered_event = true;
    }
    write(exchange, event.text);
}

void gateway::on_drained(exchange_id exchange) {
    request_record* record = find(exchange);
    if (record == nullptr || !record->call)
        return;
    record->is_paused = false;
    record->last_received = steady::now();
    if (record->pace.last_event) // The caller has caused the gap.
        record->pace.last_event = record->last_received;
    client_.set_reading(*record->call, true);
}

void gateway::on_call_ended(exchange_id exchange, call_end end) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    if (end == call_end::withheld) {
        --record->possible_runs;
        --record->sent_attempts;
        end_call(*record, attempt_result::cancelled);
        if (!resume_silent_attempt(*record))
            place(exchange);
        return;
    }
    if (end == call_end::not_connected) {
        --record->possible_runs; // Nothing was sent.
        context_.on_connection_ended(record->server);
        end_call(*record, attempt_result::failed);
        on_attempt_failed(exchange, "server not reached", false);
        return;
    }
    log_answer_end(*record, end);
    if (end == call_end::no_answer || end == call_end::reset ||
        end == call_end::truncated)
        context_.on_connection_ended(record->server);
    // A probe reaches one server.
    record->is_probe = false;
    const backend_server* doubted =
        end == call_end::complete ? doubted_server(*record) : nullptr;
    if (doubted != nullptr)
        judge_end(exchange, *doubted);
    else
        on_answer_ended(exchange, end);
}

/// Returns the server of an answer that ended with its connection, or null if
/// nothing speaks against the answer. The close is in order also if the server
/// was killed; one that is leaving ends only after its answers.
const backend_server*
gateway::doubted_server(const request_record& record) const {
    if (record.head.framing != http_framing::connection ||
        protocol_.is_not_run(record.head) ||
        (record.is_event_stream && stream_defect(record) != nullptr))
        return nullptr;
    const backend_server* listed = servers_.find(record.server);
    const bool is_leaving = listed == nullptr || listed->is_draining ||
                            selector_.is_leaving(record.pace.server);
    return is_leaving ? nullptr : listed;
}

/// Holds the end of an answer back until it is known whether its server has
/// ended; the answer then counts as broken off.
void gateway::judge_end(exchange_id exchange, const backend_server& server) {
    request_record& record = *find(exchange);
    record.is_end_in_doubt = true;
    server_ends_.on_closed(
        record.server, server.endpoint, steady::now(),
        [this, exchange, number = record.number](bool has_ended) {
            request_record* found = find(exchange);
            if (found == nullptr || found->number != number ||
                !found->is_end_in_doubt)
                return;
            found->is_end_in_doubt = false;
            if (has_ended) {
                metrics_.count("ospreystage_answers_doubted_total");
                log_event(log_level::info, "answer_doubted",
                          {{"request", found->caller.id},
                           {"server", found->server},
                           {"reason", "server has ended"}});
                found->may_be_whole = found->is_event_stream;
            }
            on_answer_ended(exchange, has_ended ? call_end::truncated
                                                : call_end::complete);
        });
}

void gateway::on_answer_ended(exchange_id exchange, call_end end) {
    request_record* record = find(exchange);
    if (record->is_event_stream) {
        on_stream_ended(exchange, end);
        return;
    }
    const bool is_whole =
        end == call_end::complete ||
        (end == call_end::too_large && is_refusal(record->head));
    const bool is_refused = is_whole && protocol_.is_not_run(record->head);
    if (!is_whole) {
        const bool is_crash = check_crash(*record, end);
        end_call(*record, attempt_result::failed);
        record->head.body.clear();
        on_attempt_broken(exchange, to_string(end), is_crash);
        return;
    }
    if (is_refused) {
        --record->possible_runs;
        end_call(*record, attempt_result::refused);
        record->head.body.clear();
        on_attempt_failed(exchange, "refused by the server", false);
        return;
    }
    if (record->is_body_forwarded) {
        report_answered(*record);
        end_call(*record, attempt_result::answered);
        server_->finish(exchange);
        erase(exchange, "answered");
        return;
    }
    if (record->has_response_begun) {
        // The server was asked to resume a stream and sent another response.
        end_call(*record, attempt_result::failed);
        on_attempt_failed(exchange, "stream not resumed", true);
        return;
    }
    const bool is_server_error = record->head.status >= first_server_error;
    if (!is_server_error)
        report_answered(*record);
    end_call(*record, is_server_error ? attempt_result::failed
                                      : attempt_result::answered);
    if (is_server_error)
        log_event(log_level::warn, "attempt_failed",
                  {{"request", record->caller.id},
                   {"server", record->server},
                   {"reason", "server failed"},
                   {"status", record->head.status},
                   {"may_have_run", true}});
    if (is_server_error && resume_silent_attempt(*record))
        return;
    if (is_server_error && record->kind == request_kind::idempotent &&
        acquire_retry(*record)) {
        record->head.body.clear();
        place(exchange);
        return;
    }
    if (protocol_.is_promise(record->head)) {
        // Passed on, the status would promise that the request never ran.
        fail_request(exchange, status_bad_gateway, "server failed");
        return;
    }
    http_response response = std::move(record->head);
    erase_hop_fields(response.fields);
    respond(exchange, response, is_server_error ? "server failed" : "answered");
}

/// Counts how answers are framed and end, and logs the ends that leave open
/// whether the answer is whole.
void gateway::log_answer_end(const request_record& record, call_end end) {
    const bool has_head = record.head.status != no_head_status;
    const char* framing = has_head ? to_string(record.head.framing) : "none";
    metrics_.count(
        fmt::format("ospreystage_answers_total{{framing=\"{}\",end=\"{}\"}}",
                    framing, to_string(end)));
    const std::size_t unfinished_bytes = record.events.remainder().size();
    const bool is_plainly_whole =
        end == call_end::complete && unfinished_bytes == 0 &&
        record.head.framing != http_framing::connection;
    if (!has_head || is_plainly_whole)
        return;
    log_event(log_level::info, "answer_ended",
              {{"request", record.caller.id},
               {"server", record.server},
               {"framing", framing},
               {"end", to_string(end)},
               {"status", record.head.status},
               {"event_stream", record.is_event_stream},
               {"unfinished_bytes", unfinished_bytes}});
}

/// Returns why a stream whose framing is complete was broken off, or null if it
/// is whole. The end of a connection alone does not show that a stream is
/// whole.
const char* gateway::stream_defect(const attempt_record& attempt) {
    if (attempt.events.is_inside_event())
        return "stream ended inside an event";
    if (attempt.head.framing == http_framing::connection &&
        attempt.events_received == 0)
        return "stream ended before its first event";
    return nullptr;
}

void gateway::on_stream_ended(exchange_id exchange, call_end end) {
    request_record& record = *find(exchange);
    const char* defect =
        end == call_end::complete ? stream_defect(record) : to_string(end);
    const bool has_reached_caller =
        !record.resumed_after ||
        (record.attempt_event_id &&
         *record.attempt_event_id >= *record.resumed_after);
    // A stream that was whole has no more events.
    const bool confirms_end = record.may_be_whole &&
                              record.events_received == 0 &&
                              record.head.framing != http_framing::connection;
    if (defect == nullptr && !has_reached_caller && !confirms_end)
        defect = "resumed stream ended before it went on";
    if (defect == nullptr) {
        // An answer that ends with its connection may have been broken off.
        if (record.head.framing != http_framing::connection ||
            is_past_crash(record))
            report_answered(record);
        check_crash(record, end);
        const std::string remainder = record.events.remainder();
        end_call(record, attempt_result::answered);
        if (!remainder.empty())
            forward(exchange, {remainder, std::nullopt});
        begin_response(exchange);
        server_->finish(exchange);
        erase(exchange, "answered");
        return;
    }
    const bool is_crash = check_crash(record, end);
    end_call(record, attempt_result::failed);
    on_attempt_broken(exchange, defect, is_crash);
}

/// Returns true if another server may run a request that may have run. A plain
/// answer must not have begun; a stream goes on after its last event, which
/// must have an id.
bool gateway::may_run_again(const request_record& record) {
    if (record.is_body_forwarded)
        return false;
    return record.kind == request_kind::idempotent ||
           (record.is_resumable && !record.has_unnumbered_event);
}

/// Retries the request if that is allowed, or responds with the outcome.
void gateway::on_attempt_failed(exchange_id exchange, const char* reason,
                                bool may_have_run) {
    request_record& record = *find(exchange);
    const bool is_retryable = !may_have_run || may_run_again(record);
    const bool has_time = left_until(record.deadline) > milliseconds(50);
    log_event(log_level::warn, "attempt_failed",
              {{"request", record.caller.id},
               {"server", record.server},
               {"reason", reason},
               {"may_have_run", may_have_run},
               {"is_suspect", record.is_suspect},
               {"last_event", record.last_event_id
                                  ? nlohmann::json(*record.last_event_id)
                                  : nlohmann::json()}});
    if (resume_silent_attempt(record))
        return;
    if (is_retryable && has_time && !is_quarantined(record) &&
        !(record.is_suspect && may_have_run) && acquire_retry(record)) {
        // Otherwise the reply to the permit request goes on with the request.
        if (!record.awaiting_permit)
            place(exchange);
        return;
    }
    if (record.possible_runs == 0)
        refuse(exchange, reason, retry_delay(record));
    else
        fail_request(exchange, status_bad_gateway, reason);
}

/// Returns when the caller of a request that has not run should return.
milliseconds gateway::retry_delay(const request_record& record) {
    if (is_quarantined(record))
        return quarantine_retry_after;
    return selector_.pause(selection_of(record), steady::now())
        .value_or(default_retry_after);
}

// ---- Silent servers --------------------------------------------------------

void gateway::check_idle_attempts() {
    const instant now = steady::now();
    std::vector<exchange_id> silent_exchanges;
    for (const auto& [id, record] : requests_)
        if (!record->awaiting_permit && is_silent(*record, now))
            silent_exchanges.push_back(exchange_id{id});
    for (const exchange_id exchange : silent_exchanges)
        try_other_server(exchange);
}

/// Returns true if a request that may run again has received nothing from its
/// server for so long that another one should be tried.
bool gateway::is_silent(const request_record& record, instant now) const {
    // The server cannot send while the caller does not read.
    if (!record.call || record.is_end_in_doubt || record.is_paused ||
        !may_run_again(record) || record.possible_runs >= record.max_attempts)
        return false;
    const auto expected_gap =
        record.has_response_begun ? record.target_gap : record.target_latency;
    const auto idle_timeout = std::max<milliseconds>(
        expected_gap * idle_timeout_gaps, min_idle_timeout);
    const auto idle = now - record.last_received;
    const auto found = last_received_.find(record.server);
    const bool is_server_idle = found != last_received_.end() &&
                                now - found->second > server_idle_timeout &&
                                idle > server_idle_timeout &&
                                idle > expected_gap;
    return is_server_idle || idle > idle_timeout;
}

/// Sends a request whose server is silent to another one, if there is one. The
/// silent server may have paused only, so its attempt stays open meanwhile.
void gateway::try_other_server(exchange_id exchange) {
    const request_record* record = find(exchange);
    // A probe reaches one server.
    if (record == nullptr || !record->call || record->is_suspect ||
        record->sent_attempts >= max_sent_attempts ||
        quarantine_.is_quarantined(record->parts) ||
        !retry_window_of(record->service)
             .has_budget(context_.entries(), steady::now()))
        return;
    const selection_result result = choose_server(*record);
    if (const auto* chosen = std::get_if<placement>(&result))
        await_permit(exchange, *chosen);
}

/// Keeps the silent attempt beside the one that is about to be sent. Returns
/// false if the request is to stay where it is.
bool gateway::set_aside(request_record& record) {
    const instant now = steady::now();
    if (!is_silent(record, now) || !acquire_retry(record))
        return false;
    drop_silent_attempt(record);
    // The attempt counts as ended, so that its server is avoided.
    load_.on_ended(record.server, attempt_result::timed_out, now);
    log_event(log_level::warn, "attempt_silent",
              {{"request", record.caller.id},
               {"server", record.server},
               {"silent_ms", (now - record.last_received) / milliseconds(1)}});
    record.silent_attempt = std::move(static_cast<attempt_record&>(record));
    return true;
}

/// Makes the attempt at a silent server the current one again and cancels the
/// one beside it. Returns false if there is none.
bool gateway::resume_silent_attempt(request_record& record) {
    if (!record.silent_attempt)
        return false;
    cancel_call(record);
    static_cast<attempt_record&>(record) = std::move(*record.silent_attempt);
    record.silent_attempt.reset();
    const instant now = steady::now();
    load_.on_sent(record.server, microseconds(0), now);
    log_event(log_level::info, "attempt_resumed",
              {{"request", record.caller.id},
               {"server", record.server},
               {"silent_ms", (now - record.last_received) / milliseconds(1)}});
    return true;
}

void gateway::drop_silent_attempt(request_record& record) {
    if (!record.silent_attempt)
        return;
    client_.cancel(*record.silent_attempt->call);
    record.silent_attempt.reset();
}

bool gateway::is_set_aside(exchange_id exchange, std::uint32_t attempt) {
    const request_record* record = find(exchange);
    return record != nullptr && record->silent_attempt &&
           record->silent_attempt->number == attempt;
}

/// Returns true if a response is one that the caller should get rather than
/// that of another server.
bool gateway::is_answer(const http_response& head) const {
    return head.status != no_head_status && head.status < first_server_error &&
           !protocol_.is_not_run(head);
}

/// Returns true if the head of a response states that the request has not run,
/// or would promise it to the caller. Its body is not passed on.
bool gateway::is_refusal(const http_response& head) const {
    return head.status != no_head_status &&
           (protocol_.is_not_run(head) || protocol_.is_promise(head));
}

void gateway::on_silent_head(exchange_id exchange, const http_response& head) {
    request_record& record = *find(exchange);
    if (is_answer(head)) {
        resume_silent_attempt(record);
        on_head(exchange, head);
        return;
    }
    on_server_state(*record.silent_attempt, head);
    if (protocol_.is_not_run(head))
        --record.possible_runs;
    drop_silent_attempt(record);
}

void gateway::on_silent_body(exchange_id exchange, std::string_view data) {
    request_record& record = *find(exchange);
    attempt_record& silent = *record.silent_attempt;
    if (!silent.is_event_stream) {
        if (!is_answer(silent.head))
            return;
        resume_silent_attempt(record);
        on_body(exchange, data);
        return;
    }
    last_received_[silent.server] = steady::now();
    const std::vector<stream_event> events = silent.events.feed(data);
    if (!std::all_of(events.begin(), events.end(), is_comment)) {
        resume_silent_attempt(record);
        on_events(exchange, events);
    } else if (silent.events.is_too_large()) {
        drop_silent_attempt(record);
    }
}

void gateway::on_silent_ended(exchange_id exchange, call_end end) {
    request_record& record = *find(exchange);
    if (end == call_end::complete && is_answer(record.silent_attempt->head) &&
        stream_defect(*record.silent_attempt) == nullptr) {
        resume_silent_attempt(record);
        on_call_ended(exchange, end);
        return;
    }
    attempt_record& current = record;
    std::swap(current, *record.silent_attempt);
    check_crash(record, end);
    std::swap(current, *record.silent_attempt);
    record.silent_attempt.reset();
}

// ---- Attempts that must not begin ------------------------------------------

/// Withdraws the requests that still wait at an engine and must not begin
/// there: its version has ended, or their prompt or the whole request has been
/// quarantined.
void gateway::withdraw_attempts() {
    std::vector<std::pair<exchange_id, const char*>> withdrawn;
    for (const auto& [id, record] : requests_) {
        if (record->silent_attempt &&
            withdrawal_reason(*record, *record->silent_attempt) != nullptr)
            drop_silent_attempt(*record);
        if (const char* reason = withdrawal_reason(*record, *record))
            withdrawn.emplace_back(exchange_id{id}, reason);
    }
    for (const auto& [exchange, reason] : withdrawn)
        withdraw(exchange, reason);
}

/// Returns why an attempt must not begin at its server, or null. Only event
/// streams show that they have begun; a plain request is withdrawn as long as
/// it has no answer if it is quarantined itself.
const char* gateway::withdrawal_reason(const request_record& record,
                                       const attempt_record& attempt) {
    // What is not sent yet is checked again when it would be.
    if (!attempt.call || !client_.is_sent(*attempt.call) || has_begun(attempt))
        return nullptr;
    if (attempt.version == 0 || record.kind != request_kind::streaming) {
        const bool is_blamed =
            !record.is_probe && quarantine_.is_quarantined({record.identity});
        return is_blamed ? quarantine_reason(record) : nullptr;
    }
    if (attempt.version < context_.min_begin_version(*record.description))
        return "version ended";
    return is_quarantined(record) ? quarantine_reason(record) : nullptr;
}

/// Returns true if an attempt shows that its server works on it.
bool gateway::has_begun(const attempt_record& attempt) {
    const bool is_plain =
        attempt.head.status != no_head_status && !attempt.is_event_stream;
    return is_plain || attempt.events_received > 0 ||
           attempt.events.is_inside_event();
}

void gateway::withdraw(exchange_id exchange, const char* reason) {
    request_record* found = find(exchange);
    if (found == nullptr || !found->call)
        return;
    request_record& record = *found;
    const auto waited = steady::now() - record.sent_at;
    log_event(log_level::warn, "attempt_withdrawn",
              {{"request", record.caller.id},
               {"server", record.server},
               {"reason", reason},
               {"version", record.version},
               {"waited_ms", waited / milliseconds(1)}});
    metrics_.count(fmt::format(
        "ospreystage_withdrawn_attempts_total{{reason=\"{}\"}}", reason));
    cancel_call(record);
    record.head.body.clear();
    on_attempt_failed(exchange, reason, true);
}

// ---- Prompts that crash engines --------------------------------------------

/// Records that an answer was written on the parts of its prompt, once it has
/// gone on for longer than an engine takes to crash.
void gateway::check_answered(request_record& record) {
    if (record.is_reported_answered || !is_past_crash(record))
        return;
    record.is_reported_answered = true;
    report_answered(record);
}

/// Records that the request did not end its server. A plain answer that ends
/// with its connection may have been broken off.
void gateway::report_answered(const request_record& record) {
    const bool may_be_cut = !record.is_event_stream &&
                            record.head.framing == http_framing::connection;
    quarantine_.on_answered(may_be_cut ? record.caller.prompt_parts
                                       : record.parts,
                            record.head_at, steady::now());
}

/// Returns true if the current answer has gone on for longer than an engine
/// takes to crash under it.
bool gateway::is_past_crash(const request_record& record) {
    return record.events_received > max_crash_events &&
           steady::now() - record.head_at >= min_sound_time;
}

/// Takes an answer that was broken off just after it had begun for a sign that
/// its server has crashed. Returns true if it is one; other calls to the server
/// may still show that it goes on.
bool gateway::check_crash(request_record& record, call_end end) {
    // Without a length or chunks, a connection that closes ends the answer.
    const bool is_broken =
        end == call_end::truncated || end == call_end::reset ||
        end == call_end::no_answer ||
        (end == call_end::complete && stream_defect(record) != nullptr) ||
        (end == call_end::complete && record.is_event_stream &&
         record.head.framing == http_framing::connection &&
         record.events_received <= max_crash_events);
    if (!is_broken || is_past_crash(record))
        return false;
    check_server_end(record);
    if (record.version == 0 || record.caller.prompt_parts.empty())
        return true;
    const std::uint64_t request =
        record.caller.id.empty() ? random_() : stable_hash(record.caller.id);
    const instant now = steady::now();
    core_.after(service_name, crash_check_delay,
                [this, suspect = prompt_suspect{record.server, now, request,
                                                record.caller.prompt_parts,
                                                context_of(record, now)}] {
                    report_crash(suspect, false);
                });
    return true;
}

/// Returns true if a call to the server that had a response head before `at` is
/// open and read.
bool gateway::is_open_at(const attempt_record& attempt,
                         const std::string& server, instant at) {
    return attempt.call && !attempt.is_end_in_doubt &&
           attempt.server == server && !attempt.is_paused &&
           attempt.head.status != no_head_status && attempt.head_at < at;
}

/// Returns true if the server shows that it has not ended at `at`: by an idle
/// connection, which its end would have closed, or by data since.
bool gateway::goes_on(const std::string& server, instant at) const {
    const backend_server* listed = servers_.find(server);
    if (listed != nullptr && client_.has_idle_connection(listed->endpoint))
        return true;
    return std::any_of(
        requests_.begin(), requests_.end(), [&](const auto& item) {
            const request_record& other = *item.second;
            const auto has_data = [&](const attempt_record& attempt) {
                return is_open_at(attempt, server, at) &&
                       attempt.last_received > at;
            };
            return has_data(other) ||
                   (other.silent_attempt && has_data(*other.silent_attempt));
        });
}

/// Returns what a report of the crash of the attempt's server names.
crash_context gateway::context_of(const request_record& record, instant now) {
    const auto exposure =
        std::chrono::duration_cast<milliseconds>(now - record.sent_at);
    return {stable_hash(record.service), record.server_started_unix_ms,
            static_cast<std::uint32_t>(exposure.count())};
}

/// Has it found out whether the server of a broken attempt has ended under the
/// request. An answer that is passed on as it arrives had gone on too long.
void gateway::check_server_end(request_record& record) {
    if (record.is_body_forwarded)
        return;
    record.is_suspect = quarantine_.is_suspected(record.identity);
    const backend_server* listed = servers_.find(record.server);
    // A server that is leaving ends for a reason of its own.
    if (listed == nullptr || listed->is_draining)
        return;
    const instant now = steady::now();
    server_ends_.on_broken(record.server, listed->endpoint,
                           {record.caller.id, record.identity,
                            path_of(record.request.target), record.organisation,
                            context_of(record, now)},
                           now);
}

void gateway::on_server_ended(
    const std::string& server, instant at,
    const std::vector<server_end_detector::suspect>& suspects) {
    const std::uint64_t server_hash = stable_hash(server);
    for (const server_end_detector::suspect& suspect : suspects) {
        log_event(log_level::warn, "request_crash_suspected",
                  {{"request", suspect.request},
                   {"identity", fmt::format("{:016x}", suspect.identity)},
                   {"path", suspect.path},
                   {"organisation", suspect.organisation},
                   {"server", server},
                   {"server_hash", fmt::format("{:016x}", server_hash)},
                   {"server_started_unix_ms", suspect.context.started_unix_ms},
                   {"exposure_ms", suspect.context.exposure_ms}});
        metrics_.count("ospreystage_request_crash_suspects_total");
        quarantine_.on_crash(server_hash, suspect.identity, {suspect.identity},
                             at, suspect.context);
    }
}

void gateway::report_crash(const prompt_suspect& suspect,
                           bool is_second_check) {
    const auto& [server, at, request, parts, context] = suspect;
    if (goes_on(server, at))
        return;
    const bool has_others = std::any_of(
        requests_.begin(), requests_.end(), [&suspect](const auto& item) {
            return is_open_at(*item.second, suspect.server, suspect.at);
        });
    if (has_others && !is_second_check) {
        core_.after(service_name, silent_check_delay,
                    [this, suspect] { report_crash(suspect, true); });
        return;
    }
    log_event(log_level::warn, "engine_crash_suspected",
              {{"request_hash", fmt::format("{:016x}", request)},
               {"server", server},
               {"server_started_unix_ms", context.started_unix_ms},
               {"parts", parts.size()}});
    metrics_.count("ospreystage_crash_suspects_total");
    quarantine_.on_crash(stable_hash(server), request, parts, at, context);
}

/// Handles an attempt that failed and may have run. If its server may have
/// crashed under it, the crash is judged before a retry.
void gateway::on_attempt_broken(exchange_id exchange, const char* reason,
                                bool is_crash) {
    if (!is_crash) {
        on_attempt_failed(exchange, reason, true);
        return;
    }
    request_record& broken = *find(exchange);
    // A permit that comes meanwhile would send the request before that.
    broken.awaiting_permit.reset();
    core_.after(service_name, crash_retry_delay,
                [this, exchange, reason, number = broken.number] {
                    const request_record* record = find(exchange);
                    if (record != nullptr && !record->call &&
                        record->number == number)
                        on_attempt_failed(exchange, reason, true);
                });
}

void gateway::on_deadline(exchange_id exchange) {
    end_request(exchange, "deadline passed");
}

void gateway::end_requests(const char* reason) {
    std::vector<exchange_id> open;
    open.reserve(requests_.size());
    for (const auto& [exchange, record] : requests_)
        open.push_back(exchange_id{exchange});
    for (const exchange_id exchange : open)
        end_request(exchange, reason);
}

/// Gives a request its final answer, whatever its attempts do.
void gateway::end_request(exchange_id exchange, const char* reason) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    cancel_call(*record);
    if (record->possible_runs == 0)
        refuse(exchange, reason, default_retry_after);
    else
        fail_request(exchange, status_gateway_timeout, reason);
}

void gateway::on_caller_disconnected(exchange_id exchange) {
    request_record* record = find(exchange);
    if (record == nullptr)
        return;
    cancel_call(*record);
    erase(exchange, "caller left");
}

// ---- Answers ---------------------------------------------------------------

/// Adds the configuration and the list of servers that decide at `now` to the
/// fields of a log line.
nlohmann::json gateway::with_state(nlohmann::json fields, instant now) const {
    return routes_.with_configuration(
        servers_.with_list(std::move(fields), now), now);
}

void gateway::refuse(exchange_id exchange, const char* reason,
                     milliseconds retry_after) {
    request_record& record = *find(exchange);
    if (record.has_response_begun || record.possible_runs > 0) {
        fail_request(exchange, status_bad_gateway, reason);
        return;
    }
    const milliseconds max_retry_after =
        std::max(left_until(record.deadline), milliseconds(0)) /
        max_retry_after_divisor;
    log_event(log_level::info, "request_refused",
              with_state({{"request", record.caller.id},
                          {"service", record.service},
                          {"reason", reason},
                          {"sent", record.sent_attempts},
                          {"retry_after_ms", retry_after.count()}},
                         steady::now()));
    respond(exchange,
            make_refusal(reason, std::min(retry_after, max_retry_after)),
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
               {"status", record.has_response_begun ? 0 : status}});
    if (record.has_response_begun) {
        server_->abort(exchange);
        erase(exchange, "cut");
        return;
    }
    http_response response;
    response.status = status;
    response.body = std::string(reason) + "\n";
    respond(exchange, response, "failed");
}

void gateway::respond(exchange_id exchange, const http_response& response,
                      const char* outcome) {
    server_->respond(exchange, response);
    erase(exchange, outcome);
}

void gateway::erase(exchange_id exchange, const char* outcome) {
    const auto found = requests_.find(static_cast<std::uint64_t>(exchange));
    request_record& record = *found->second;
    drop_silent_attempt(record);
    core_.cancel(record.deadline_timer);
    metrics_.count(
        fmt::format("ospreystage_requests_total{{outcome=\"{}\"}}", outcome));
    const auto elapsed = steady::now() - record.arrived;
    metrics_.observe("ospreystage_request_seconds", elapsed);
    log_event(log_level::info, "request_ended",
              {{"request", record.caller.id},
               {"outcome", outcome},
               {"server", record.server},
               {"attempts", record.sent_attempts},
               {"after_ms", elapsed / milliseconds(1)}});
    requests_.erase(found);
}

} // namespace ospreystage
