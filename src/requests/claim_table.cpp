#include <ospreystage/requests/claim_table.hpp>
#include <ospreystage/requests/claim_tally.hpp>

#include <algorithm>

namespace ospreystage {

namespace {

/// Interval between two recovery requests to the same witness.
constexpr milliseconds recovery_interval{250};

/// Number of records that completes a page of a recovery reply.
constexpr std::size_t records_per_page = 4000;

std::uint32_t to_wire(milliseconds duration) {
    return static_cast<std::uint32_t>(
        std::max(duration, milliseconds{0}).count());
}

} // namespace

claim_table::claim_table(process_id self, std::vector<std::string> witnesses,
                         milliseconds retention, instant now, std::size_t limit)
    : self_(std::move(self)), witnesses_(std::move(witnesses)),
      retention_(retention), limit_(limit), started_(now),
      next_recovery_at_(now) {}

// ---- Observers -------------------------------------------------------------

bool claim_table::is_recovered(instant now) const {
    if (recovery_skipped_ || now - started_ >= retention_)
        return true;
    if (witnesses_.size() < 2)
        return false;
    return std::all_of(
        witnesses_.begin(), witnesses_.end(), [&](const std::string& witness) {
            return witness == self_.name || recovered_from_.contains(witness);
        });
}

bool claim_table::may_vote(const claim_key& key, instant now) const {
    if (is_recovered(now))
        return true;
    const std::vector<std::string> voters = claim_voters(key, witnesses_);
    return voters.size() > 1 &&
           std::all_of(voters.begin(), voters.end(),
                       [&](const std::string& voter) {
                           return voter == self_.name ||
                                  recovered_from_.contains(voter);
                       });
}

std::size_t claim_table::size() const noexcept {
    return expiry_.size();
}

nlohmann::json claim_table::dump(instant now) const {
    nlohmann::json state;
    state["recovered"] = is_recovered(now);
    state["keys"] = claims_.size();
    state["claims"] = size();
    state["limit"] = limit_;
    state["refused_full"] = refused_full_;
    state["answered"] = recovered_from_;
    state["known"] = newest_incarnations_;
    return state;
}

// ---- Inputs ----------------------------------------------------------------

void claim_table::skip_recovery() {
    recovery_skipped_ = true;
}

claim_reply claim_table::on_claim(const claim_request& request, instant now) {
    evict_expired(now);
    claim_reply reply;
    reply.asked = request.record.attempt;
    reply.witness = self_;
    reply.known = newest_incarnations();
    const std::uint64_t incarnation = request.witness.incarnation;
    reply.recovering = !may_vote(request.record.key, now) ||
                       request.witness.name != self_.name ||
                       (incarnation != 0 && incarnation != self_.incarnation);
    if (reply.recovering)
        return reply;
    const claim_key& key = request.record.key;
    if (!claims_.contains(key)) {
        if (size() >= limit_) {
            ++refused_full_;
            reply.recovering = true;
            return reply;
        }
        claim_record record = request.record;
        record.age_ms = 0;
        store(record, now);
    }
    const claim_list& held = claims_.at(key);
    reply.recovering = held.size() > 1;
    if (!reply.recovering)
        reply.held = held.front().record;
    return reply;
}

void claim_table::on_release(const claim_release& release, instant now) {
    evict_expired(now);
    const auto found = claims_.find(release.key);
    if (found == claims_.end())
        return;
    claim_list& held = found->second;
    // It is not known which of several conflicting claims was dispatched.
    if (held.size() > 1)
        return;
    const auto claim =
        std::find_if(held.begin(), held.end(), [&](const stored_claim& stored) {
            return stored.record.attempt == release.attempt;
        });
    if (claim == held.end())
        return;
    expiry_.erase({claim->expires, release.key, release.attempt});
    held.erase(claim);
    if (held.empty())
        claims_.erase(found);
}

std::vector<recover_reply>
claim_table::on_recover_request(const recover_request& request, instant now) {
    evict_expired(now);
    record_incarnation(request.witness);
    recover_reply page;
    page.sender = self_;
    page.witness = request.witness;
    page.recovering = !is_recovered(now);
    page.last = false;
    std::vector<recover_reply> pages;
    if (!page.recovering) {
        for (const auto& [key, held] : claims_) {
            if (!is_voter(key, request.witness.name))
                continue;
            for (const stored_claim& stored : held) {
                claim_record record = stored.record;
                const auto remaining =
                    std::chrono::ceil<milliseconds>(stored.expires - now);
                record.age_ms = to_wire(retention_ - remaining);
                page.records.push_back(std::move(record));
            }
            if (page.records.size() >= records_per_page) {
                pages.push_back(page);
                page.records.clear();
            }
        }
    }
    page.last = true;
    pages.push_back(std::move(page));
    return pages;
}

void claim_table::on_recover_reply(const recover_reply& reply, instant now) {
    if (reply.witness != self_ || reply.sender.name == self_.name)
        return;
    record_incarnation(reply.sender);
    if (reply.recovering ||
        reply.sender.incarnation < newest_incarnations_.at(reply.sender.name))
        return;
    // A recovered witness votes by its own records alone.
    if (is_recovered(now) || recovered_from_.contains(reply.sender.name))
        return;
    for (const claim_record& record : reply.records)
        store(record, now);
    if (reply.last)
        recovered_from_.insert(reply.sender.name);
}

std::vector<claim_table::outgoing_recover_request>
claim_table::tick(instant now) {
    evict_expired(now);
    std::vector<outgoing_recover_request> steps;
    if (now < next_recovery_at_ || is_recovered(now))
        return steps;
    next_recovery_at_ = now + recovery_interval;
    for (const std::string& witness : witnesses_) {
        if (witness != self_.name && !recovered_from_.contains(witness))
            steps.push_back({witness, recover_request{self_}});
    }
    return steps;
}

// ---- Implementation ---------------------------------------------------------

void claim_table::record_incarnation(const process_id& witness) {
    std::uint64_t& newest = newest_incarnations_[witness.name];
    newest = std::max(newest, witness.incarnation);
}

void claim_table::store(const claim_record& record, instant now) {
    const instant expires = now - milliseconds{record.age_ms} + retention_;
    if (expires <= now)
        return;
    claim_list& held = claims_[record.key];
    const bool known =
        std::any_of(held.begin(), held.end(), [&](const stored_claim& stored) {
            return stored.record.attempt == record.attempt;
        });
    if (known)
        return;
    held.push_back({record, expires});
    expiry_.emplace(expires, record.key, record.attempt);
}

bool claim_table::is_voter(const claim_key& key,
                           const std::string& witness) const {
    const std::vector<std::string> voters = claim_voters(key, witnesses_);
    return std::find(voters.begin(), voters.end(), witness) != voters.end();
}

void claim_table::evict_expired(instant now) {
    while (!expiry_.empty() && std::get<instant>(*expiry_.begin()) <= now) {
        const claim_key key = std::get<claim_key>(*expiry_.begin());
        expiry_.erase(expiry_.begin());
        const auto found = claims_.find(key);
        if (found == claims_.end())
            continue;
        std::erase_if(found->second, [&](const stored_claim& stored) {
            return stored.expires <= now;
        });
        if (found->second.empty())
            claims_.erase(found);
    }
}

std::vector<process_id> claim_table::newest_incarnations() const {
    std::vector<process_id> witnesses;
    for (const auto& [name, incarnation] : newest_incarnations_)
        witnesses.push_back({name, incarnation});
    return witnesses;
}

} // namespace ospreystage
