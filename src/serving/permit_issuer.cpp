#include <ospreystage/impl/overloaded.hpp>
#include <ospreystage/serving/permit_issuer.hpp>

#include <algorithm>
#include <variant>

namespace ospreystage {

namespace {

/// Reply to an entry that asks one without a duty: its list of entries differs
/// and will have changed by then.
constexpr milliseconds no_duty_wait{250};
/// Accounts for rounding in sums of small time spans.
constexpr double rounding = 1e-9;

} // namespace

bool permit_issuer::is_only_issuer(const issuer_duty& duty) const {
    return duty.role == issuer_role::responsible && duty.has_recent_view &&
           duty.held_for >= options_.settling_time;
}

permit_issuer::decision permit_issuer::decide(const std::string& server,
                                              const permit_terms& terms,
                                              const issuer_duty& duty,
                                              instant now) {
    const auto [found, is_new] = records_.try_emplace(server);
    server_record& record = found->second;
    if (is_new)
        record.updated_at = now;
    if (!terms.is_cold && !record.per_second && !record.has_ended)
        record.per_second = terms.per_second;
    if (!terms.is_cold && !record.per_second)
        return {permit_verdict::unlimited, {}};
    if (duty.role == issuer_role::none)
        return {permit_verdict::denied, no_duty_wait};
    const double per_second =
        terms.is_cold ? std::min(terms.per_second,
                                 record.per_second.value_or(terms.per_second))
                      : *record.per_second;
    const bool is_only = is_only_issuer(duty);
    const double partial_share =
        terms.is_cold ? options_.partial_cold_share : options_.partial_share;
    const double share = is_only ? 1 : partial_share;
    record.burst = is_only ? options_.max_burst : options_.max_partial_burst;
    record.rate = share * std::max(per_second, options_.min_rate);
    accrue(record, now);
    // A cold server takes a burst from its first moment.
    if (is_new && terms.is_cold)
        record.permits = record.burst;
    if (record.permits < 1 - rounding)
        return {permit_verdict::denied, next_turn(record, now)};
    record.permits -= 1;
    drop_unused(record, now);
    record.unused.push_back(now);
    return {permit_verdict::granted, {}};
}

/// Returns the time after which a denied entry should ask again: once there is
/// a permit, and later than the entries that were denied before.
milliseconds permit_issuer::next_turn(server_record& record,
                                      instant now) const {
    const std::chrono::duration<double> until_permit((1 - record.permits) /
                                                     record.rate);
    const std::chrono::duration<double> gap(options_.turn_share / record.rate);
    const auto to_span = [](std::chrono::duration<double> time) {
        return std::chrono::ceil<steady::duration>(time);
    };
    const instant turn =
        std::max(now + to_span(until_permit), record.last_turn + to_span(gap));
    record.last_turn = std::min(turn, now + options_.max_wait);
    // A server that takes less than one request in that time is not asked for
    // before there is a permit.
    const instant at = std::max(record.last_turn, now + to_span(until_permit));
    return std::chrono::ceil<milliseconds>(at - now);
}

void permit_issuer::drop_unused(server_record& record, instant now) const {
    while (!record.unused.empty() &&
           now - record.unused.front() > options_.permit_lifetime)
        record.unused.pop_front();
}

void permit_issuer::on_sent(const std::string& server, double per_second,
                            instant now) {
    const auto [found, is_new] = records_.try_emplace(server);
    server_record& record = found->second;
    if (is_new) {
        record.updated_at = now;
        record.rate = options_.partial_cold_share * per_second;
        record.burst = options_.max_partial_burst;
    }
    accrue(record, now);
    drop_unused(record, now);
    if (!record.unused.empty())
        record.unused.pop_front();
    else
        record.permits = std::max(record.permits - 1, -options_.max_debt);
}

void permit_issuer::accrue(server_record& record, instant now) {
    const std::chrono::duration<double> elapsed = now - record.updated_at;
    record.permits =
        std::min(record.burst, record.permits + record.rate * elapsed.count());
    record.updated_at = now;
}

void permit_issuer::on_statement(const std::string& server,
                                 const limit_statement& statement,
                                 instant now) {
    std::visit(impl::overloaded{[&](const limit_named& limit) {
                                    const auto [found, is_new] =
                                        records_.try_emplace(server);
                                    server_record& record = found->second;
                                    if (is_new)
                                        record.updated_at = now;
                                    record.per_second = limit.per_second;
                                    record.has_ended = false;
                                    record.unnamed_since.reset();
                                },
                                [&](const no_limit_named&) {
                                    const auto found = records_.find(server);
                                    if (found == records_.end() ||
                                        !found->second.per_second)
                                        return;
                                    server_record& record = found->second;
                                    if (!record.unnamed_since)
                                        record.unnamed_since = now;
                                    else if (now - *record.unnamed_since >=
                                             options_.end_confirmation) {
                                        record.per_second.reset();
                                        record.has_ended = true;
                                    }
                                },
                                [](const limit_unknown&) {}},
               statement);
}

void permit_issuer::retain(const absl::flat_hash_set<std::string>& listed) {
    absl::erase_if(records_, [&](const auto& item) {
        return !listed.contains(item.first);
    });
}

} // namespace ospreystage
