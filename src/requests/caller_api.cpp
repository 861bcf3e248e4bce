#include <ospreystage/core/log.hpp>
#include <ospreystage/impl/bounded_json.hpp>
#include <ospreystage/impl/overloaded.hpp>
#include <ospreystage/requests/caller_api.hpp>
#include <ospreystage/requests/prompt_prefix.hpp>

#include <absl/hash/hash.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace ospreystage {

namespace {

constexpr const char* service_name = "callers";
/// Timeout after which a caller that does not read its answer is disconnected;
/// a usual limit for writes to a network peer.
constexpr seconds max_unread_time{5};
constexpr milliseconds unread_check_interval{250};
constexpr const char* default_organisation = "default";
constexpr const char* stream_end = "data: [DONE]\n\n";
constexpr std::uint16_t payload_too_large = 413;
constexpr const char* too_large = "the body is larger than allowed";

nlohmann::json refusal_body(const refuse_action& refusal) {
    return {{"error",
             {{"outcome", to_string(refusal.result)},
              {"reason", refusal.reason},
              {"retry_after_ms", refusal.retry_after.count()}}}};
}

std::uint16_t refusal_status(const refuse_action& refusal) {
    if (refusal.reason == "key_reused")
        return 422;
    if (refusal.reason == "invalid_request")
        return 400;
    if (refusal.reason == "unknown_service")
        return 404;
    if (refusal.result == outcome::unknown)
        return 504;
    return refusal.reason == "overloaded" ? 429 : 503;
}

http_response refusal_response(const refuse_action& refusal) {
    const auto retry_seconds = std::chrono::ceil<seconds>(refusal.retry_after);
    http_response response =
        json_response(refusal_status(refusal), refusal_body(refusal));
    response.fields.push_back(
        {"Retry-After", std::to_string(retry_seconds.count())});
    response.fields.push_back({"X-Outcome", to_string(refusal.result)});
    return response;
}

http_response invalid_request_response() {
    refuse_action refusal;
    refusal.reason = "invalid_request";
    return refusal_response(refusal);
}

/// Returns the response to a request that could not be read; its outcome is
/// `not-run`.
http_response unreadable_response(std::uint16_t status,
                                  const std::string& reason,
                                  const std::string& target) {
    const std::string detail = status == payload_too_large ? too_large : reason;
    if (target.starts_with("/admin/"))
        return json_response(status, {{"error", detail}});
    http_response response =
        json_response(status, {{"error",
                                {{"outcome", to_string(outcome::not_run)},
                                 {"reason", "invalid_request"},
                                 {"detail", detail}}}});
    response.fields.push_back({"X-Outcome", to_string(outcome::not_run)});
    return response;
}

void read_fields(const api_request& request, incoming_request& out) {
    out.organisation = field_value(request, "X-Organisation");
    if (out.organisation.empty())
        out.organisation = default_organisation;
    out.request_class = field_value(request, "X-Class");
    out.idempotency_key = field_value(request, "Idempotency-Key");
    out.non_idempotent = !out.idempotency_key.empty();
    out.content_type = field_value(request, "Content-Type");
    out.method = request.message.method;
    out.body = request.message.body;
}

/// Parses a chat request; returns false if it is malformed.
bool read_chat(const api_request& request, incoming_request& out) {
    const auto body = impl::parse_json(request.message.body);
    if (!body.is_object() || !body.contains("model") ||
        !body["model"].is_string() || !body.contains("messages") ||
        !body["messages"].is_array())
        return false;
    read_fields(request, out);
    out.path = "/v1/chat/completions";
    out.service = body["model"].get<std::string>();
    const auto stream = body.find("stream");
    out.stream =
        stream != body.end() && stream->is_boolean() && stream->get<bool>();
    out.prefix_hash = prefix_hash(first_prompt_block(body));
    return true;
}

} // namespace

// ---- Routes ----------------------------------------------------------------

caller_api::caller_api(kernel& core, const settings& configuration,
                       api_server& server, metrics& registry,
                       dependencies callbacks)
    : core_(core), configuration_(configuration), server_(server),
      metrics_(registry), dependencies_(std::move(callbacks)) {
    add_routes();
    server_.set_refusal_formatter(unreadable_response);
    server_.set_stream_handlers(
        [this](exchange_id exchange) { on_caller_disconnected(exchange); },
        [this](exchange_id exchange) {
            const auto found =
                by_exchange_.find(static_cast<std::uint64_t>(exchange));
            if (found != by_exchange_.end())
                open_.at(found->second).unread_since.reset();
        });
    server_limits limits;
    limits.max_body_bytes = configuration.requests.max_body_bytes;
    server_.web().set_limits(limits);
    core_.every(service_name, unread_check_interval,
                [this] { abort_unread(); });
}

void caller_api::add_routes() {
    server_.route_sync("GET", "/v1/entries", [this](const api_request&) {
        return json_response(
            200, {{"entries", dependencies_.entries()},
                  {"ttl_ms", configuration_.cluster.entry_answer_ttl.count()}});
    });
    server_.route("POST", "/v1/chat/completions",
                  [this](exchange_id exchange, const api_request& request) {
                      handle_chat(exchange, request);
                  });
    for (const char* method : {"GET", "POST", "PUT", "DELETE"})
        server_.route_pattern(
            method, R"(/v1/services/([^/]+)(/.*)?)",
            [this](exchange_id exchange, const api_request& request) {
                handle_plain(exchange, request);
            });
}

void caller_api::handle_chat(exchange_id exchange, const api_request& request) {
    incoming_request incoming;
    if (read_chat(request, incoming))
        serve(exchange, std::move(incoming));
    else
        server_.web().respond(exchange, invalid_request_response());
}

void caller_api::handle_plain(exchange_id exchange,
                              const api_request& request) {
    incoming_request incoming;
    read_fields(request, incoming);
    incoming.service = request.captures[0];
    incoming.path = request.captures[1];
    if (incoming.path.empty())
        incoming.path = "/";
    if (!request.query.empty())
        incoming.path += "?" + request.query;
    serve(exchange, std::move(incoming));
}

void caller_api::serve(exchange_id exchange, incoming_request incoming) {
    metrics_.count("ospreystage_requests_total");
    const request_id id = next_id_++;
    if (is_stopped_) {
        server_.web().respond(
            exchange, refusal_response({id, outcome::not_run, "leaving", {}}));
        return;
    }
    open_request& request = open_[id];
    request.exchange = exchange;
    request.arrived_at = steady::now();
    request.stream_requested = incoming.stream;
    by_exchange_.emplace(static_cast<std::uint64_t>(exchange), id);
    dependencies_.begin(id, std::move(incoming));
}

// ---- Answers ---------------------------------------------------------------

std::size_t caller_api::size() const noexcept {
    return open_.size();
}

void caller_api::deliver(request_id id, const exchange_event& event) {
    const auto found = open_.find(id);
    if (found == open_.end())
        return;
    open_request& request = found->second;
    std::visit(impl::overloaded{
                   [&](const answer_begin_action& begin) {
                       begin_answer(request, begin);
                   },
                   [&](const answer_part_action& part) {
                       deliver_part(request, part);
                   },
                   [&](const answer_end_action&) { end_answer(id); },
                   [&](const refuse_action& refusal) { refuse(id, refusal); },
               },
               event);
}

void caller_api::begin_answer(open_request& request,
                              const answer_begin_action& begin) {
    metrics_.observe("ospreystage_first_event_seconds",
                     steady::now() - request.arrived_at);
    request.has_begun = true;
    request.is_event_stream = is_event_stream(begin.content_type);
    request.answer.status = begin.status;
    request.answer.fields.push_back({"Content-Type", begin.content_type});
    if (!begin.version.empty())
        request.answer.fields.push_back({"X-Model-Version", begin.version});
    if (request.stream_requested)
        server_.web().begin(request.exchange, request.answer);
}

void caller_api::deliver_part(open_request& request,
                              const answer_part_action& part) {
    if (!request.stream_requested) {
        request.answer.body += part.data;
        return;
    }
    const bool is_read = server_.web().write(request.exchange, part.data);
    if (!is_read && !request.unread_since)
        request.unread_since = steady::now();
}

void caller_api::end_answer(request_id id) {
    const open_request& request = open_.at(id);
    web_server& web = server_.web();
    if (!request.stream_requested) {
        web.respond(request.exchange, request.answer);
    } else {
        if (request.is_event_stream)
            web.write(request.exchange, stream_end);
        web.finish(request.exchange);
    }
    close(id);
}

void caller_api::refuse(request_id id, const refuse_action& refusal) {
    const open_request& request = open_.at(id);
    web_server& web = server_.web();
    if (!request.has_begun)
        metrics_.count("ospreystage_refused_total");
    if (!request.has_begun || !request.stream_requested) {
        web.respond(request.exchange, refusal_response(refusal));
    } else if (request.is_event_stream) {
        web.write(request.exchange,
                  "data: " + refusal_body(refusal).dump() + "\n\n");
        web.finish(request.exchange);
    } else {
        web.abort(request.exchange);
    }
    close(id);
}

void caller_api::abandon_all() {
    is_stopped_ = true;
    std::vector<request_id> ids;
    for (const auto& [id, request] : open_)
        ids.push_back(id);
    for (const request_id id : ids)
        refuse(id, {id, outcome::unknown, "entry_stopped", {}});
}

void caller_api::close(request_id id) {
    const auto found = open_.find(id);
    by_exchange_.erase(static_cast<std::uint64_t>(found->second.exchange));
    open_.erase(found);
}

void caller_api::on_caller_disconnected(exchange_id exchange) {
    const auto found = by_exchange_.find(static_cast<std::uint64_t>(exchange));
    if (found == by_exchange_.end())
        return;
    const request_id id = found->second;
    close(id);
    // Posted, since the broker may still be performing its actions.
    core_.post(service_name, [this, id] { dependencies_.cancel(id); });
}

void caller_api::abort_unread() {
    const instant now = steady::now();
    std::vector<request_id> expired;
    for (const auto& [id, request] : open_)
        if (request.unread_since &&
            now - *request.unread_since > max_unread_time)
            expired.push_back(id);
    for (const request_id id : expired) {
        const exchange_id exchange = open_.at(id).exchange;
        log_event(log_level::info, "caller_does_not_read",
                  {{"request", id}, {"waited_s", max_unread_time.count()}});
        server_.web().abort(exchange);
        on_caller_disconnected(exchange);
    }
}

} // namespace ospreystage
