#include <ospreystage/impl/broker_state.hpp>

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include <algorithm>

namespace ospreystage::impl {

namespace {

/// Time within which the votes on a key must arrive.
constexpr milliseconds claim_timeout{1000};

/// Interval at which the claim is resent to voters without a valid vote.
constexpr milliseconds claim_retry_interval{250};

/// Range of the random retry delay that is sent to a caller after a split
/// vote.
constexpr milliseconds min_split_retry_after{50};
constexpr milliseconds max_split_retry_after{250};

digest request_digest(const incoming_request& incoming) {
    return sha256(fmt::format("{}\n{}\n{}\n{}\n{}", incoming.service,
                              incoming.method, incoming.path,
                              incoming.content_type, incoming.body));
}

} // namespace

void broker_state::start_claim(request_id request, instant now) {
    request_state& state = requests_.at(request);
    claim_record record;
    record.key = {state.incoming.organisation, state.incoming.idempotency_key};
    record.body = request_digest(state.incoming);
    record.attempt = {self_, next_sequence_++};
    attempts_.emplace(record.attempt.sequence, request);
    state.tally = claim_tally(record, claim_voters(record.key, witnesses_));
    state.phase = request_phase::claiming;
    state.phase_deadline = std::min(state.deadline, now + claim_timeout);
    state.next_claim_at = now + claim_retry_interval;
    send_claims(state);
}

void broker_state::send_claims(request_state& state) {
    for (const std::string& voter : state.tally.missing_voters())
        actions_.emplace_back(
            send_action{voter, claim_request{state.tally.requested(),
                                             process_id{voter, 0}}});
}

void broker_state::release_claim(request_state& state) {
    for (const std::string& voter : state.tally.voters())
        actions_.emplace_back(
            send_action{voter, claim_release{state.tally.requested().key,
                                             state.tally.requested().attempt}});
    state.claimed = false;
}

void broker_state::on_claim_reply(const claim_reply& reply, instant now) {
    if (reply.asked.entry != self_)
        return;
    const auto found = attempts_.find(reply.asked.sequence);
    if (found == attempts_.end())
        return;
    const request_id request = found->second;
    request_state& state = requests_.at(request);
    if (state.phase != request_phase::claiming)
        return;
    if (state.phase_deadline <= now) {
        check_claim(request, now);
        return;
    }
    state.tally.add(reply);
    apply_verdict(request, now);
}

void broker_state::apply_verdict(request_id request, instant now) {
    request_state& state = requests_.at(request);
    switch (state.tally.verdict()) {
    case claim_verdict::undecided:
        return;
    case claim_verdict::won:
        state.claimed = true;
        start_choosing(request, now);
        return;
    case claim_verdict::taken:
        release_claim(state);
        refuse(request, outcome::unknown, "already_run", milliseconds{0}, now);
        return;
    case claim_verdict::key_reused:
        release_claim(state);
        refuse(request, outcome::not_run, "key_reused", milliseconds{0}, now);
        return;
    case claim_verdict::split:
        release_claim(state);
        refuse(request, outcome::not_run, "claim_split",
               milliseconds{absl::Uniform<std::int64_t>(
                   random_, min_split_retry_after.count(),
                   max_split_retry_after.count())},
               now);
        return;
    }
}

void broker_state::check_claim(request_id request, instant now) {
    request_state& state = requests_.at(request);
    if (state.phase_deadline <= now) {
        fail_request(request, "claim_unavailable", now);
        return;
    }
    if (state.next_claim_at > now)
        return;
    state.next_claim_at = now + claim_retry_interval;
    send_claims(state);
}

} // namespace ospreystage::impl
