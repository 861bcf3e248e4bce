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

bool permit_issuer::is_only_issuer(const server_record& record,
                                   bool has_recent_view, instant now) const {
    return has_recent_view && record.responsible_since &&
           now - *record.responsible_since >= options_.settling_time;
}

permit_issuer::decision
permit_issuer::decide(const std::string& server, double per_second,
                      issuer_duty duty, bool has_recent_view, instant now) {
    const auto [found, is_new] = records_.try_emplace(server);
    server_record& record = found->second;
    if (is_new) {
        record.per_second = per_second;
        record.updated_at = now;
    }
    if (duty != issuer_duty::responsible)
        record.responsible_since.reset();
    else if (!record.responsible_since)
        record.responsible_since = now;
    if (!record.per_second)
        return {permit_verdict::unlimited, {}};
    if (duty == issuer_duty::none)
        return {permit_verdict::denied, no_duty_wait};
    const bool is_only = is_only_issuer(record, has_recent_view, now);
    const double share = is_only ? 1 : options_.partial_share;
    const double burst =
        is_only ? options_.max_burst : options_.max_partial_burst;
    const double rate = share * std::max(*record.per_second, options_.min_rate);
    const std::chrono::duration<double> elapsed = now - record.updated_at;
    record.permits = std::min(burst, record.permits + rate * elapsed.count());
    record.updated_at = now;
    if (record.permits >= 1 - rounding) {
        record.permits -= 1;
        return {permit_verdict::granted, {}};
    }
    const std::chrono::duration<double> wait((1 - record.permits) / rate);
    return {permit_verdict::denied, std::chrono::ceil<milliseconds>(wait)};
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
                                             options_.end_confirmation)
                                        record.per_second.reset();
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
