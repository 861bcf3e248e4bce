#include <ospreystage/core/ids.hpp>
#include <ospreystage/core/log.hpp>
#include <ospreystage/serving/limit_exchange.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace ospreystage {

namespace {

/// Rate assumed of a server that takes nothing, per second; callers return
/// after the longest time then.
constexpr double min_return_rate = 0.1;
/// Longest time after which a refused caller should return.
constexpr milliseconds max_return_time{10'000};
/// Range of the time between two callers, in parts of its mean.
constexpr double min_return_gap = 0.5;
constexpr double max_return_gap = 1.5;
/// A server is closed for this long if no entry issues permits for it.
constexpr milliseconds no_issuer_wait{250};

bool is_valid_limit(double per_second) {
    return std::isfinite(per_second) && per_second >= 0;
}

} // namespace

limit_exchange::limit_exchange(options configuration,
                               const entry_duties& duties,
                               const backend_registry& servers,
                               std::function<void(const entry_datagram&)> send)
    : options_(std::move(configuration)), duties_(duties), servers_(servers),
      send_(std::move(send)), issuer_(options_.issuer),
      random_(std::hash<std::string>()(options_.self) ^ new_incarnation()),
      // Replies to an earlier process of this entry match no request.
      next_sequence_(new_incarnation()) {}

// ---- Observers -------------------------------------------------------------

std::optional<double> limit_exchange::limit(const std::string& server) const {
    const auto found = known_.find(server);
    return found == known_.end() ? std::nullopt
                                 : std::optional(found->second.per_second);
}

bool limit_exchange::is_closed(const std::string& server, instant now) const {
    const auto found = known_.find(server);
    return found != known_.end() && now < found->second.closed_until;
}

/// Returns the entries that issue permits for a server, the responsible one
/// first. They are entries of the server's region, as far as it has some: an
/// entry that is cut off from them is most likely cut off from the server too.
std::vector<const site_entry*>
limit_exchange::issuers(const std::string& server) const {
    const backend_server* listed = servers_.find(server);
    if (listed == nullptr)
        return {};
    return duties_.assigners(options_.region_of(listed->data_centre),
                             listed->endpoint.host);
}

// ---- Permits ---------------------------------------------------------------

permit_decision limit_exchange::request(const std::string& server,
                                        instant now) {
    const auto found = known_.find(server);
    if (found == known_.end())
        return permit_granted{};
    limit_record& record = found->second;
    const auto order = issuers(server);
    if (order.empty()) {
        close(record, no_issuer_wait, now);
        return permit_denied{no_issuer_wait};
    }
    const bool has_stand_in = order.size() > 1;
    const bool is_at_stand_in = has_stand_in && now < record.stand_in_until;
    const site_entry* asked = order[is_at_stand_in ? 1 : 0];
    if (asked->name == options_.self)
        return apply(server, issue(server, record.per_second, now), now);
    const std::uint64_t sequence = next_sequence_++;
    pending_[sequence] = {server, has_stand_in && !is_at_stand_in};
    send_({{asked}, permit_request{server, sequence, record.per_second}});
    return permit_pending{sequence, options_.reply_timeout};
}

permit_issuer::decision limit_exchange::issue(const std::string& server,
                                              double per_second, instant now) {
    const auto order = issuers(server);
    issuer_duty duty = issuer_duty::none;
    if (!order.empty() && order[0]->name == options_.self)
        duty = issuer_duty::responsible;
    else if (order.size() > 1 && order[1]->name == options_.self)
        duty = issuer_duty::stand_in;
    const auto age = options_.site_age();
    return issuer_.decide(server, per_second, duty,
                          age && *age <= options_.max_site_age, now);
}

permit_decision limit_exchange::apply(const std::string& server,
                                      const permit_issuer::decision& decision,
                                      instant now) {
    const auto found = known_.find(server);
    switch (decision.verdict) {
    case permit_verdict::granted:
        return permit_granted{};
    case permit_verdict::unlimited:
        if (found != known_.end()) {
            log_event(log_level::info, "server_limit_changed",
                      {{"server", server},
                       {"per_second", nullptr},
                       {"previous", found->second.per_second},
                       {"source", "issuer"}});
            known_.erase(found);
        }
        return permit_granted{};
    case permit_verdict::denied:
        break;
    }
    if (found != known_.end())
        close(found->second, decision.wait, now);
    return permit_denied{decision.wait};
}

void limit_exchange::close(limit_record& record, milliseconds wait,
                           instant now) const {
    record.closed_until =
        now + std::clamp(wait, milliseconds(1), options_.max_denial);
}

std::optional<permit_decision>
limit_exchange::on_reply(const permit_reply& reply, instant now) {
    const auto found = pending_.find(reply.sequence);
    if (found == pending_.end() || found->second.server != reply.server)
        return std::nullopt;
    pending_.erase(found);
    return apply(reply.server, {reply.verdict, milliseconds(reply.wait_ms)},
                 now);
}

void limit_exchange::on_timeout(std::uint64_t sequence, instant now) {
    const auto found = pending_.find(sequence);
    if (found == pending_.end())
        return;
    const pending_request given_up = std::move(found->second);
    pending_.erase(found);
    const auto known = known_.find(given_up.server);
    if (known == known_.end())
        return;
    if (given_up.may_ask_stand_in)
        known->second.stand_in_until = now + options_.silence_time;
    else
        close(known->second, no_issuer_wait, now);
}

milliseconds
limit_exchange::retry_after(const std::vector<const backend_server*>& closed,
                            std::uint32_t entries, instant now) {
    double per_second = 0;
    instant reopening = now + max_return_time;
    for (const backend_server* server : closed) {
        const auto found = known_.find(server->id);
        if (found == known_.end())
            continue;
        per_second += std::max(found->second.per_second, min_return_rate);
        reopening = std::min(reopening, found->second.closed_until);
    }
    if (per_second <= 0)
        return options_.max_denial;
    std::uniform_real_distribution<double> gap(min_return_gap, max_return_gap);
    const std::chrono::duration<double> spacing(
        gap(random_) * std::max(1U, entries) / per_second);
    instant& last = last_returns_[closed.front()->service];
    last = std::min(std::max({last, reopening, now}) +
                        std::chrono::duration_cast<milliseconds>(spacing),
                    now + max_return_time);
    return std::chrono::ceil<milliseconds>(last - now);
}

// ---- Events ----------------------------------------------------------------

bool limit_exchange::learn(const std::string& server, double per_second,
                           const char* source) {
    const auto [found, is_new] = known_.try_emplace(server);
    limit_record& record = found->second;
    if (!is_new && record.per_second == per_second)
        return false;
    log_event(log_level::info, "server_limit_changed",
              {{"server", server},
               {"per_second", per_second},
               {"previous",
                is_new ? nlohmann::json() : nlohmann::json(record.per_second)},
               {"source", source}});
    record.per_second = per_second;
    if (const backend_server* listed = servers_.find(server))
        record.started_unix_ms = listed->started_unix_ms;
    return true;
}

void limit_exchange::on_answer(const std::string& server,
                               const limit_statement& statement, instant now) {
    const auto* named = std::get_if<limit_named>(&statement);
    if (std::holds_alternative<limit_unknown>(statement) ||
        (named == nullptr && !known_.contains(server)))
        return;
    issuer_.on_statement(server, statement, now);
    const limit_report report{server, named != nullptr,
                              named == nullptr ? 0 : named->per_second};
    const bool is_change =
        named != nullptr && learn(server, named->per_second, "answer");
    auto receivers = is_change ? duties_.all() : issuers(server);
    std::erase_if(receivers, [this](const site_entry* entry) {
        return entry->name == options_.self;
    });
    if (!receivers.empty())
        send_({std::move(receivers), report});
}

void limit_exchange::on_report(const limit_report& report, instant now) {
    if (!is_valid_limit(report.per_second) ||
        servers_.find(report.server) == nullptr)
        return;
    if (!report.is_named) {
        issuer_.on_statement(report.server, no_limit_named{}, now);
        return;
    }
    issuer_.on_statement(report.server, limit_named{report.per_second}, now);
    learn(report.server, report.per_second, "entry");
}

std::optional<permit_reply>
limit_exchange::on_request(const permit_request& asked, instant now) {
    if (!is_valid_limit(asked.per_second) ||
        servers_.find(asked.server) == nullptr)
        return std::nullopt;
    const permit_issuer::decision decision =
        issue(asked.server, asked.per_second, now);
    return permit_reply{asked.server, asked.sequence, decision.verdict,
                        static_cast<std::uint32_t>(decision.wait.count())};
}

void limit_exchange::on_servers_changed() {
    absl::flat_hash_set<std::string> unchanged;
    for (const backend_server* server : servers_.all()) {
        const auto found = known_.find(server->id);
        if (found == known_.end() ||
            found->second.started_unix_ms == server->started_unix_ms)
            unchanged.insert(server->id);
    }
    absl::erase_if(known_, [&](const auto& item) {
        return !unchanged.contains(item.first);
    });
    issuer_.retain(unchanged);
}

void limit_exchange::on_entries_changed() {
    absl::flat_hash_set<std::string> names;
    std::vector<const site_entry*> added;
    for (const site_entry* entry : duties_.all()) {
        names.insert(entry->name);
        if (entry->name != options_.self && !entries_.contains(entry->name))
            added.push_back(entry);
    }
    entries_ = std::move(names);
    if (added.empty())
        return;
    for (const auto& [server, record] : known_) {
        const auto order = issuers(server);
        if (!order.empty() && order[0]->name == options_.self)
            send_({added, limit_report{server, true, record.per_second}});
    }
}

} // namespace ospreystage
