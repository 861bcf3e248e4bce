#include <ospreystage/impl/broker_state.hpp>

#include <absl/random/distributions.h>
#include <fmt/format.h>

#include <algorithm>

namespace ospreystage::impl {

namespace {

/// Time in which the votes on a key must come.
constexpr milliseconds claim_bound{1000};

/// Interval at which voters without a vote are asked again.
constexpr milliseconds claim_interval{250};

/// Range of the time after which a caller may repeat a split vote.
constexpr milliseconds min_split_retry{50};
constexpr milliseconds max_split_retry{250};

digest digest_of(const incoming_request& incoming) {
    return sha256(fmt::format("{}\n{}\n{}\n{}\n{}", incoming.service,
                              incoming.method, incoming.path,
                              incoming.content_type, incoming.body));
}

} // namespace

void broker_state::start_claim(request_id request, instant now) {
    request_state& state = requests_.at(request);
    claim_record wanted;
    wanted.key = {state.incoming.organisation, state.incoming.idempotency_key};
    wanted.body = digest_of(state.incoming);
    wanted.attempt = {self_, next_sequence_++};
    attempts_.emplace(wanted.attempt.sequence, request);
    state.tally = claim_tally(wanted, claim_voters(wanted.key, witnesses_));
    state.phase = request_phase::claiming;
    state.wait_until = std::min(state.deadline, now + claim_bound);
    state.claim_again = now + claim_interval;
    send_claims(state);
}

void broker_state::send_claims(request_state& state) {
    for (const std::string& voter : state.tally.missing())
        out_.emplace_back(send_action{
            voter, claim_request{state.tally.wanted(), process_id{voter, 0}}});
}

void broker_state::release_claim(request_state& state) {
    for (const std::string& voter : state.tally.voters())
        out_.emplace_back(
            send_action{voter, claim_release{state.tally.wanted().key,
                                             state.tally.wanted().attempt}});
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
    if (state.wait_until <= now) {
        check_claim(request, now);
        return;
    }
    state.tally.add(reply);
    decide_claim(request, now);
}

void broker_state::decide_claim(request_id request, instant now) {
    request_state& state = requests_.at(request);
    switch (state.tally.verdict()) {
    case claim_verdict::open:
        return;
    case claim_verdict::won:
        state.claimed = true;
        choose_later(request, now);
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
                   random_, min_split_retry.count(), max_split_retry.count())},
               now);
        return;
    }
}

void broker_state::check_claim(request_id request, instant now) {
    request_state& state = requests_.at(request);
    if (state.wait_until <= now) {
        give_up(request, "claim_unavailable", now);
        return;
    }
    if (state.claim_again > now)
        return;
    state.claim_again = now + claim_interval;
    send_claims(state);
}

} // namespace ospreystage::impl
