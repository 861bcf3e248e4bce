#include <ospreystage/requests/claim_tally.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

std::vector<std::string>
claim_voters(const claim_key& key, const std::vector<std::string>& witnesses) {
    std::vector<std::string> order =
        rendezvous_order(key.organisation + "\n" + key.key, witnesses);
    if (order.size() > claim_voter_count)
        order.resize(claim_voter_count);
    return order;
}

claim_tally::claim_tally(claim_record requested,
                         std::vector<std::string> voters)
    : requested_(std::move(requested)), voters_(std::move(voters)) {}

const claim_record& claim_tally::requested() const noexcept {
    return requested_;
}

const std::vector<std::string>& claim_tally::voters() const noexcept {
    return voters_;
}

std::vector<std::string> claim_tally::missing_voters() const {
    std::vector<std::string> names;
    for (const std::string& voter : voters_) {
        const auto found = replies_.find(voter);
        if (found == replies_.end() || found->second.recovering ||
            !is_current(found->second))
            names.push_back(voter);
    }
    return names;
}

claim_verdict claim_tally::verdict() const {
    const std::size_t majority = claim_majority(voters_.size());
    const std::vector<const claim_reply*> votes = valid_votes();
    absl::flat_hash_map<attempt_id, std::size_t> held;
    std::size_t highest = 0;
    for (const claim_reply* vote : votes)
        highest = std::max(highest, ++held[vote->held.attempt]);
    if (held[requested_.attempt] >= majority)
        return claim_verdict::won;
    for (const claim_reply* vote : votes) {
        if (held[vote->held.attempt] < majority)
            continue;
        return vote->held.body == requested_.body ? claim_verdict::taken
                                                  : claim_verdict::key_reused;
    }
    const std::size_t outstanding = voters_.size() - votes.size();
    return highest + outstanding < majority ? claim_verdict::split
                                            : claim_verdict::undecided;
}

void claim_tally::add(const claim_reply& reply) {
    const std::string& name = reply.witness.name;
    if (reply.asked != requested_.attempt ||
        std::find(voters_.begin(), voters_.end(), name) == voters_.end())
        return;
    if (!reply.recovering && reply.held.key != requested_.key)
        return;
    std::uint64_t& newest = newest_incarnations_[name];
    if (reply.witness.incarnation < newest)
        return;
    newest = reply.witness.incarnation;
    for (const process_id& other : reply.known) {
        std::uint64_t& reported = newest_incarnations_[other.name];
        reported = std::max(reported, other.incarnation);
    }
    replies_.insert_or_assign(name, reply);
}

bool claim_tally::is_current(const claim_reply& reply) const {
    const auto found = newest_incarnations_.find(reply.witness.name);
    return found == newest_incarnations_.end() ||
           found->second <= reply.witness.incarnation;
}

std::vector<const claim_reply*> claim_tally::valid_votes() const {
    std::vector<const claim_reply*> votes;
    for (const auto& [name, reply] : replies_) {
        if (!reply.recovering && is_current(reply))
            votes.push_back(&reply);
    }
    return votes;
}

} // namespace ospreystage
