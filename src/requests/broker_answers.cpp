#include <ospreystage/impl/broker_state.hpp>
#include <ospreystage/impl/overloaded.hpp>

#include <cstddef>
#include <utility>

namespace ospreystage::impl {

namespace {

/// Largest answer that is buffered until it is complete, in bytes.
constexpr std::size_t max_buffered_bytes = 16 * 1024 * 1024;

constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_too_many_requests = 429;
constexpr std::uint16_t http_unavailable = 503;

bool is_overload(std::uint16_t status) {
    return status == http_too_many_requests || status == http_unavailable;
}

} // namespace

void broker_state::on_message(const process_id& from, const message& body,
                              instant now) {
    const auto with = [&](const attempt_id& attempt, auto handle) {
        const auto request = find_request(attempt, from);
        if (request)
            handle(*request);
        else
            ++dropped_frames_;
    };
    std::visit(
        overloaded{
            [&](const run_refused& refused) {
                with(refused.attempt, [&](request_id request) {
                    on_run_refused(request, refused, now);
                });
            },
            [&](const answer_begin& begin) {
                with(begin.attempt, [&](request_id request) {
                    on_begin(request, begin, now);
                });
            },
            [&](const answer_part& part) {
                with(part.attempt,
                     [&](request_id request) { on_part(request, part, now); });
            },
            [&](const answer_end& end) {
                with(end.attempt,
                     [&](request_id request) { on_end(request, end, now); });
            },
            [&](const run_failed& failed) {
                with(failed.attempt, [&](request_id request) {
                    requests_.at(request).excluded_agents.insert(from.name);
                    on_attempt_lost(request, "run_failed", now);
                });
            },
            [&](const claim_reply& reply) {
                if (reply.witness == from)
                    on_claim_reply(reply, now);
            },
            [&](const load_report& report) {
                on_load_report(from, report, now);
            },
            // Other messages, such as seal_failed, are ignored: the answer or
            // the deadline ends the request.
            [](const auto&) {},
        },
        body);
}

std::optional<request_id>
broker_state::find_request(const attempt_id& attempt,
                           const process_id& from) const {
    if (attempt.entry != self_)
        return std::nullopt;
    const auto found = attempts_.find(attempt.sequence);
    if (found == attempts_.end())
        return std::nullopt;
    const request_state& state = requests_.at(found->second);
    if (!state.attempt || state.attempt->id != attempt ||
        state.attempt->agent != from)
        return std::nullopt;
    return found->second;
}

void broker_state::on_run_refused(request_id request, const run_refused& body,
                                  instant now) {
    if (requests_.at(request).attempt->answer_begun) {
        abort_attempt(request, "refused_after_begin", now);
        return;
    }
    on_attempt_not_run(request, body.reason, milliseconds{body.retry_after_ms},
                       now);
}

void broker_state::on_begin(request_id request, const answer_begin& body,
                            instant now) {
    request_state& state = requests_.at(request);
    attempt_state& attempt = *state.attempt;
    if (body.version != attempt.version) {
        abort_attempt(request, "version_mismatch", now);
        return;
    }
    if (attempt.answer_begun)
        return;
    const bool overloaded = state.engine_service && is_overload(body.status) &&
                            !state.incoming.non_idempotent;
    if (overloaded || (state.begin_forwarded && body.status != http_ok)) {
        abort_attempt(request, "overloaded", now);
        return;
    }
    attempt.answer_begun = true;
    state.status = body.status;
    state.content_type = body.content_type;
    if (state.streams)
        forward_begin(request, state);
}

void broker_state::on_part(request_id request, const answer_part& body,
                           instant now) {
    request_state& state = requests_.at(request);
    attempt_state& attempt = *state.attempt;
    if (body.index < attempt.next_part)
        return;
    if (!attempt.answer_begun || body.index > attempt.next_part) {
        abort_attempt(request, "answer_gap", now);
        return;
    }
    ++attempt.next_part;
    if (state.streams) {
        ++state.tokens_forwarded;
        actions_.emplace_back(answer_part_action{request, body.data});
        return;
    }
    if (state.buffered.size() + body.data.size() > max_buffered_bytes) {
        abort_attempt(request, "answer_too_large", now);
        return;
    }
    state.buffered += body.data;
}

void broker_state::on_end(request_id request, const answer_end& body,
                          instant now) {
    request_state& state = requests_.at(request);
    const attempt_state& attempt = *state.attempt;
    if (!attempt.answer_begun || body.parts != attempt.next_part) {
        abort_attempt(request, "answer_truncated", now);
        return;
    }
    if (!state.streams) {
        forward_begin(request, state);
        if (!state.buffered.empty())
            actions_.emplace_back(
                answer_part_action{request, std::move(state.buffered)});
    }
    actions_.emplace_back(answer_end_action{request});
    ++answered_total_;
    remove_request(request, true, now);
}

void broker_state::abort_attempt(request_id request, const std::string& reason,
                                 instant now) {
    request_state& state = requests_.at(request);
    const attempt_state& attempt = *state.attempt;
    state.excluded_agents.insert(attempt.agent.name);
    actions_.emplace_back(
        send_action{attempt.agent.name, cancel_order{attempt.id}});
    on_attempt_lost(request, reason, now);
}

void broker_state::forward_begin(request_id request, request_state& state) {
    if (state.begin_forwarded)
        return;
    state.begin_forwarded = true;
    state.pinned_version = state.attempt->version;
    actions_.emplace_back(answer_begin_action{
        request, state.status, state.content_type, state.pinned_version});
}

} // namespace ospreystage::impl
