#include <ospreystage/network/socket_address.hpp>
#include <ospreystage/serving/load_exchange.hpp>

#include <netinet/in.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Reports, or notices, in a digest; it then fits into an IP packet.
constexpr std::size_t max_digest_items = 16;

/// Returns the address of the engine that a notice names.
address engine_of(const attempt_notice& notice) {
    sockaddr_in raw{};
    raw.sin_addr.s_addr = htonl(notice.host);
    raw.sin_port = htons(notice.port);
    return from_socket_address(raw);
}

} // namespace

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

std::vector<load_exchange::outgoing>
load_exchange::announce(const backend_server& server,
                        microseconds prefill_time) const {
    const auto raw = to_socket_address(server.endpoint);
    if (!raw)
        return {};
    attempt_notice notice{ntohl(raw->sin_addr.s_addr), server.endpoint.port,
                          static_cast<std::uint32_t>(prefill_time.count()),
                          false};
    std::vector<outgoing> result{
        {without_self(duties_.entries_of(region_)), notice}};
    notice.is_remote = true;
    for (const std::string& region : duties_.regions())
        if (region != region_)
            result.push_back(
                {duties_.responsible(region, server.endpoint.host), notice});
    return result;
}

// ---- Events ----------------------------------------------------------------

void load_exchange::on_report(const engine_report& report, instant now) {
    apply(report, now);
    if (has_other_entries())
        digest_.reports.push_back(report);
}

void load_exchange::on_notice(const attempt_notice& notice, instant now) {
    apply(notice, now);
    if (!notice.is_remote || !has_other_entries())
        return;
    // All entries that deal with the engine get the notice; one passes it on.
    const auto responsible =
        duties_.responsible(region_, engine_of(notice).host);
    if (!responsible.empty() && responsible.front()->name == self_)
        digest_.notices.push_back(notice);
}

void load_exchange::on_digest(const load_digest& digest, instant now) {
    for (const engine_report& report : digest.reports)
        if (!deals_with(report.engine.host))
            apply(report, now);
    for (const attempt_notice& notice : digest.notices)
        if (!deals_with(engine_of(notice).host))
            apply(notice, now);
}

std::optional<load_exchange::outgoing> load_exchange::take_digest() {
    if (digest_.reports.empty() && digest_.notices.empty())
        return std::nullopt;
    return outgoing{without_self(duties_.entries_of(region_)),
                    std::exchange(digest_, {})};
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

std::vector<const site_entry*>
load_exchange::without_self(std::vector<const site_entry*> entries) const {
    std::erase_if(
        entries, [&](const site_entry* entry) { return entry->name == self_; });
    return entries;
}

} // namespace ospreystage
