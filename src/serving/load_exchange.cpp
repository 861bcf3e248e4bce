#include <ospreystage/network/socket_address.hpp>
#include <ospreystage/serving/load_exchange.hpp>

#include <netinet/in.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Reports, or notices, in a digest; it then fits into an IP packet.
constexpr std::size_t max_digest_items = 16;
/// An entry stands in for the ones before it once they have passed on no report
/// of an engine for this long, once for each of them. Engines in use report
/// more often than that.
constexpr milliseconds stand_in_delay{300};
/// Entries of a region up to which they send each other their notices directly,
/// which is sooner than through a digest.
constexpr std::size_t max_direct_receivers = 16;
/// A notice that has not come back in a digest by then was lost.
constexpr milliseconds max_notice_age{500};

} // namespace

address engine_of(const attempt_notice& notice) {
    sockaddr_in raw{};
    raw.sin_addr.s_addr = htonl(notice.host);
    raw.sin_port = htons(notice.port);
    return from_socket_address(raw);
}

load_exchange::load_exchange(std::string self, std::string region,
                             const entry_duties& duties,
                             const backend_registry& servers,
                             backend_load& load)
    : self_(std::move(self)), region_(std::move(region)), duties_(duties),
      servers_(servers), load_(load) {}

// ---- Observers -------------------------------------------------------------

bool load_exchange::deals_with(const std::string& host) const {
    return has_entry(duties_.responsible(region_, host), self_);
}

bool load_exchange::is_digest_full() const noexcept {
    return std::max(digest_.reports.size(), digest_.notices.size()) >=
           max_digest_items;
}

// ---- Events ----------------------------------------------------------------

std::vector<load_exchange::outgoing>
load_exchange::on_attempt(const backend_server& server,
                          microseconds prefill_time, instant now) {
    const auto raw = to_socket_address(server.endpoint);
    if (!raw)
        return {};
    attempt_notice notice{ntohl(raw->sin_addr.s_addr), server.endpoint.port,
                          static_cast<std::uint32_t>(prefill_time.count()),
                          true};
    const bool is_direct = duties_.size_of(region_) <= max_direct_receivers;
    outgoing relayed{{}, notice};
    for (const std::string& region : duties_.regions()) {
        if (region == region_ && is_direct)
            continue;
        const auto receivers =
            without_self(duties_.responsible(region, server.endpoint.host));
        relayed.receivers.insert(relayed.receivers.end(), receivers.begin(),
                                 receivers.end());
    }
    if (!is_direct) {
        collect(notice);
        drop_old_notices(now);
        if (!deals_with(server.endpoint.host))
            own_notices_.emplace_back(now, notice);
        return {std::move(relayed)};
    }
    notice.is_passed_on = false;
    return {{without_self(duties_.entries_of(region_)), notice},
            std::move(relayed)};
}

void load_exchange::on_report(const engine_report& report, instant now) {
    apply(report, now);
    if (has_other_entries() && passes_on(report.engine.host, now))
        digest_.reports.push_back(report);
}

void load_exchange::on_notice(const attempt_notice& notice, instant now) {
    apply(notice, now);
    // Entries of earlier releases send notices to their whole region.
    if (notice.is_passed_on)
        collect(notice);
}

void load_exchange::on_digest(const load_digest& digest, instant now) {
    for (const engine_report& report : digest.reports)
        if (deals_with(report.engine.host))
            passed_on_at_[report.engine.host] = now;
        else
            apply(report, now);
    for (const attempt_notice& notice : digest.notices)
        if (!deals_with(engine_of(notice).host) && !is_own(notice, now))
            apply(notice, now);
}

void load_exchange::drop_old_notices(instant now) {
    while (!own_notices_.empty() &&
           now - own_notices_.front().first > max_notice_age)
        own_notices_.pop_front();
}

bool load_exchange::is_own(const attempt_notice& notice, instant now) {
    drop_old_notices(now);
    const auto found =
        std::find_if(own_notices_.begin(), own_notices_.end(),
                     [&](const auto& own) { return own.second == notice; });
    if (found == own_notices_.end())
        return false;
    own_notices_.erase(found);
    return true;
}

std::optional<load_exchange::outgoing> load_exchange::take_digest() {
    if (digest_.reports.empty() && digest_.notices.empty())
        return std::nullopt;
    return outgoing{without_self(duties_.entries_of(region_)),
                    std::exchange(digest_, {})};
}

void load_exchange::on_condition(const server_condition& condition,
                                 instant now) {
    apply(condition, now);
    if (has_other_entries() && passes_on(condition.server.host, now))
        conditions_.conditions.push_back(condition);
}

void load_exchange::on_conditions(const condition_digest& digest, instant now) {
    for (const server_condition& condition : digest.conditions)
        if (!deals_with(condition.server.host))
            apply(condition, now);
}

std::optional<load_exchange::outgoing> load_exchange::take_conditions() {
    auto& waiting = conditions_.conditions;
    if (waiting.empty())
        return std::nullopt;
    const auto end =
        waiting.begin() +
        static_cast<std::ptrdiff_t>(std::min(waiting.size(), max_digest_items));
    condition_digest digest{{waiting.begin(), end}};
    waiting.erase(waiting.begin(), end);
    return outgoing{without_self(duties_.entries_of(region_)),
                    std::move(digest)};
}

/// Adds a notice to the digest if this entry is the one that passes it on.
void load_exchange::collect(const attempt_notice& notice) {
    if (!has_other_entries())
        return;
    const auto& responsible =
        duties_.responsible(region_, engine_of(notice).host);
    if (!responsible.empty() && responsible.front()->name == self_)
        digest_.notices.push_back(notice);
}

bool load_exchange::passes_on(const std::string& host, instant now) const {
    const auto& responsible = duties_.responsible(region_, host);
    const auto self = std::find_if(
        responsible.begin(), responsible.end(),
        [this](const site_entry* entry) { return entry->name == self_; });
    if (self == responsible.end())
        return false;
    const auto rank = self - responsible.begin();
    if (rank == 0)
        return true;
    const auto passed_on = passed_on_at_.find(host);
    return passed_on == passed_on_at_.end() ||
           now - passed_on->second > stand_in_delay * rank;
}

bool load_exchange::has_other_entries() const {
    return duties_.size_of(region_) > entry_duties::entries_per_vm;
}

void load_exchange::apply(const engine_report& report, instant now) {
    for (const std::string& id : servers_.ids_at(report.engine))
        load_.on_status(
            id,
            {report.running, report.queued, report.version, report.is_loading},
            now);
}

void load_exchange::apply(const attempt_notice& notice, instant now) {
    for (const std::string& id : servers_.ids_at(engine_of(notice)))
        load_.on_sent_by_peer(id, microseconds(notice.prefill_us), now);
}

void load_exchange::apply(const server_condition& condition, instant now) {
    const double factor =
        static_cast<double>(condition.pace_percent) /
        static_cast<double>(server_condition::usual_pace_percent);
    std::optional<milliseconds> started_ago;
    if (condition.started_ms_ago != server_condition::unknown_start)
        started_ago = milliseconds(condition.started_ms_ago);
    for (const std::string& id : servers_.ids_at(condition.server))
        load_.pace().on_condition(servers_.find(id)->start(), factor,
                                  started_ago, now);
}

std::vector<const site_entry*>
load_exchange::without_self(std::vector<const site_entry*> entries) const {
    std::erase_if(
        entries, [&](const site_entry* entry) { return entry->name == self_; });
    return entries;
}

} // namespace ospreystage
