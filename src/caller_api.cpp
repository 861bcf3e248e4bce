#include <ospreystage/caller_api.hpp>
#include <ospreystage/http_server.hpp>
#include <ospreystage/prompt_prefix.hpp>

#include <absl/hash/hash.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <memory>
#include <type_traits>

namespace ospreystage {

namespace {

/// Bound on the wait for one event; the broker's deadlines are shorter.
constexpr std::chrono::minutes longest_wait{10};
/// Interval at which a waiting stream checks that its caller is still there.
constexpr milliseconds caller_check_interval{250};
constexpr const char* default_organisation = "default";
constexpr const char* stream_end = "data: [DONE]\n\n";

nlohmann::json refusal_body(const refuse_action& refusal) {
    return {{"error",
             {{"outcome", to_string(refusal.result)},
              {"reason", refusal.reason},
              {"retry_after_ms", refusal.retry_after.count()}}}};
}

int refusal_status(const refuse_action& refusal) {
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

void answer_refusal(httplib::Response& response, const refuse_action& refusal) {
    const auto whole = std::chrono::ceil<seconds>(refusal.retry_after);
    response.set_header("Retry-After", std::to_string(whole.count()));
    response.set_header("X-Outcome", to_string(refusal.result));
    answer_json(response, refusal_status(refusal), refusal_body(refusal));
}

void refuse_invalid(httplib::Response& response) {
    refuse_action refusal;
    refusal.reason = "invalid_request";
    answer_refusal(response, refusal);
}

void read_headers(const httplib::Request& request, incoming_request& out) {
    out.organisation = request.get_header_value("X-Organisation");
    if (out.organisation.empty())
        out.organisation = default_organisation;
    out.request_class = request.get_header_value("X-Class");
    out.idempotency_key = request.get_header_value("Idempotency-Key");
    out.non_idempotent = !out.idempotency_key.empty();
    out.content_type = request.get_header_value("Content-Type");
    out.method = request.method;
    out.body = request.body;
}

/// Reads a chat request; returns false if its form is wrong.
bool read_chat(const httplib::Request& request, incoming_request& out) {
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("model") ||
        !body["model"].is_string() || !body.contains("messages") ||
        !body["messages"].is_array())
        return false;
    read_headers(request, out);
    out.path = "/v1/chat/completions";
    out.service = body["model"].get<std::string>();
    const auto stream = body.find("stream");
    out.stream =
        stream != body.end() && stream->is_boolean() && stream->get<bool>();
    out.prefix_hash = prefix_hash(first_prompt_block(body));
    return true;
}

} // namespace

caller_api::caller_api(const settings& configuration, exchange_table& exchanges,
                       metrics& measures, dependencies needs)
    : configuration_(configuration), exchanges_(exchanges), measures_(measures),
      needs_(std::move(needs)) {}

void caller_api::add_routes(httplib::Server& server) {
    server.set_payload_max_length(configuration_.requests.max_body_bytes);
    server.Get("/v1/entries",
               [this](const httplib::Request&, httplib::Response& response) {
                   handle_entries(response);
               });
    server.Post("/v1/chat/completions", [this](const httplib::Request& request,
                                               httplib::Response& response) {
        handle_chat(request, response);
    });
    const auto plain = [this](const httplib::Request& request,
                              httplib::Response& response) {
        handle_plain(request, response);
    };
    const char* pattern = R"(/v1/services/([^/]+)(/.*)?)";
    server.Get(pattern, plain);
    server.Post(pattern, plain);
    server.Put(pattern, plain);
    server.Delete(pattern, plain);
}

void caller_api::handle_entries(httplib::Response& response) const {
    answer_json(response, 200,
                {{"entries", needs_.entries()},
                 {"ttl_ms", configuration_.cluster.entry_answer_ttl.count()}});
}

void caller_api::handle_chat(const httplib::Request& request,
                             httplib::Response& response) {
    incoming_request incoming;
    if (!read_chat(request, incoming)) {
        refuse_invalid(response);
        return;
    }
    serve(std::move(incoming), response);
}

void caller_api::handle_plain(const httplib::Request& request,
                              httplib::Response& response) {
    incoming_request incoming;
    read_headers(request, incoming);
    incoming.service = request.matches[1].str();
    incoming.path = request.matches[2].str();
    if (incoming.path.empty())
        incoming.path = "/";
    serve(std::move(incoming), response);
}

void caller_api::serve(incoming_request incoming, httplib::Response& response) {
    const instant arrived = steady::now();
    const bool stream = incoming.stream;
    measures_.count("ospreystage_requests_total");
    const request_id id = exchanges_.open();
    needs_.begin(id, std::move(incoming));
    const auto first = exchanges_.next(id, longest_wait);
    measures_.observe("ospreystage_first_event_seconds",
                      steady::now() - arrived);
    if (!first) {
        needs_.cancel(id);
        exchanges_.close(id);
        answer_refusal(response, {id, outcome::unknown, "no_event", {}});
        return;
    }
    if (const auto* refusal = std::get_if<refuse_action>(&*first)) {
        measures_.count("ospreystage_refused_total");
        exchanges_.close(id);
        answer_refusal(response, *refusal);
        return;
    }
    const auto* begin = std::get_if<answer_begin_action>(&*first);
    const answer_begin_action head =
        begin == nullptr ? answer_begin_action{} : *begin;
    if (stream)
        stream_answer(id, head, response);
    else
        collect_answer(id, head, response);
}

void caller_api::stream_answer(request_id id, const answer_begin_action& begin,
                               httplib::Response& response) {
    const auto ended = std::make_shared<bool>(false);
    const bool events = begin.content_type.starts_with("text/event-stream");
    const auto deliver = [ended, events](const exchange_event& event,
                                         httplib::DataSink& sink) {
        const auto finish = [&](const std::string& last) {
            if (!last.empty())
                sink.write(last.data(), last.size());
            *ended = true;
            sink.done();
        };
        if (const auto* part = std::get_if<answer_part_action>(&event))
            return sink.write(part->data.data(), part->data.size());
        if (std::holds_alternative<answer_end_action>(event))
            finish(events ? stream_end : "");
        if (const auto* refusal = std::get_if<refuse_action>(&event)) {
            if (!events) {
                *ended = true;
                return false;
            }
            finish("data: " + refusal_body(*refusal).dump() + "\n\n");
        }
        return true;
    };
    response.status = begin.status;
    response.set_header("X-Model-Version", begin.version);
    response.set_chunked_content_provider(
        begin.content_type,
        [this, id, deliver](std::size_t, httplib::DataSink& sink) {
            const auto event = exchanges_.next(id, caller_check_interval);
            if (!event)
                return sink.is_writable();
            return deliver(*event, sink);
        },
        [this, id, ended](bool) {
            if (!*ended)
                needs_.cancel(id);
            exchanges_.close(id);
        });
}

void caller_api::collect_answer(request_id id, const answer_begin_action& begin,
                                httplib::Response& response) {
    std::string body;
    for (;;) {
        const auto event = exchanges_.next(id, longest_wait);
        if (event && std::holds_alternative<answer_part_action>(*event)) {
            body += std::get<answer_part_action>(*event).data;
            continue;
        }
        if (event && std::holds_alternative<answer_end_action>(*event)) {
            response.status = begin.status;
            if (!begin.version.empty())
                response.set_header("X-Model-Version", begin.version);
            response.set_content(body, begin.content_type);
        } else {
            if (!event)
                needs_.cancel(id);
            const auto* refusal =
                event ? std::get_if<refuse_action>(&*event) : nullptr;
            answer_refusal(
                response,
                refusal != nullptr
                    ? *refusal
                    : refuse_action{id, outcome::unknown, "no_event", {}});
        }
        exchanges_.close(id);
        return;
    }
}

} // namespace ospreystage
