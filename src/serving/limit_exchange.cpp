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

std::optional<double> limit_exchange::cold_limit(const std::string& server,
                                                 instant now) const {
    return options_.cold_limit ? options_.cold_limit(server, now)
                               : std::nullopt;
}

std::optional<permit_terms> limit_exchange::terms(const std::string& server,
                                                  instant now) const {
    const auto found = known_.find(server);
    const std::optional<double> named =
        found == known_.end() ? std::nullopt : found->second.per_second;
    if (const auto cold = cold_limit(server, now))
        return permit_terms{std::min(*cold, named.value_or(*cold)), true};
    return named ? std::optional(permit_terms{*named, false}) : std::nullopt;
}

std::optional<double> limit_exchange::limit(const std::string& server,
                                            instant now) const {
    const auto known = terms(server, now);
    return known ? std::optional(known->per_second) : std::nullopt;
}

bool limit_exchange::has_named_limit(const std::string& server) const {
    const auto found = known_.find(server);
    return found != known_.end() && found->second.per_second;
}

bool limit_exchange::is_closed(const std::string& server, instant now) const {
    const auto found = known_.find(server);
    return found != known_.end() && now < found->second.closed_until &&
           limit(server, now);
}

bool limit_exchange::is_permitted(const std::string& server,
                                  const permit_granted& permit,
                                  instant now) const {
    const bool has_permit = permit.expires_at && now < *permit.expires_at;
    return has_permit || !limit(server, now);
}

std::size_t limit_exchange::limited_servers() const noexcept {
    return static_cast<std::size_t>(
        std::count_if(known_.begin(), known_.end(), [](const auto& item) {
            return item.second.per_second.has_value();
        }));
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
    const auto asked_terms = terms(server, now);
    if (!asked_terms)
        return permit_granted{};
    limit_record& record = known_[server];
    const auto order = issuers(server);
    if (order.empty()) {
        close(record, no_issuer_wait, now);
        return permit_denied{no_issuer_wait};
    }
    const bool has_stand_in = order.size() > 1;
    const bool is_at_stand_in = has_stand_in && now < record.stand_in_until;
    const site_entry* asked = order[is_at_stand_in ? 1 : 0];
    if (asked->name == options_.self)
        return apply(server, issue(server, *asked_terms, now), now, now);
    const std::uint64_t sequence = next_sequence_++;
    pending_[sequence] = {server, now, has_stand_in && !is_at_stand_in};
    if (asked_terms->is_cold)
        send_({{asked},
               cold_permit_request{server, sequence, asked_terms->per_second}});
    else
        send_({{asked},
               permit_request{server, sequence, asked_terms->per_second}});
    return permit_pending{sequence, options_.reply_timeout};
}

permit_issuer::decision limit_exchange::issue(const std::string& server,
                                              const permit_terms& terms,
                                              instant now) {
    return issuer_.decide(server, terms, duty_for(server, now), now);
}

issuer_duty limit_exchange::duty_for(const std::string& server, instant now) {
    const auto order = issuers(server);
    issuer_duty duty;
    if (!order.empty() && order[0]->name == options_.self)
        duty.role = issuer_role::responsible;
    else if (order.size() > 1 && order[1]->name == options_.self)
        duty.role = issuer_role::stand_in;
    duty.held_for = std::chrono::duration_cast<milliseconds>(
        now - update_responsible(server, order, now));
    const auto age = options_.site_age();
    duty.has_recent_view = age && *age <= options_.max_site_age;
    return duty;
}

/// Returns since when the same entry has been responsible for a server. For one
/// that was not listed before, this is as old as the list of entries.
instant
limit_exchange::update_responsible(const std::string& server,
                                   const std::vector<const site_entry*>& order,
                                   instant now) {
    const std::string name = order.empty() ? "" : order[0]->name;
    const auto [found, is_new] = responsible_.try_emplace(
        server, responsible_record{name, entries_changed_at_.value_or(now)});
    if (!is_new && found->second.name != name)
        found->second = {name, now};
    return found->second.since;
}

permit_decision limit_exchange::apply(const std::string& server,
                                      const permit_issuer::decision& decision,
                                      instant asked_at, instant now) {
    const auto found = known_.find(server);
    switch (decision.verdict) {
    case permit_verdict::granted:
        return permit_granted{asked_at + options_.permit_lifetime};
    case permit_verdict::unlimited:
        if (found != known_.end() && found->second.per_second) {
            log_event(log_level::info, "server_limit_changed",
                      {{"server", server},
                       {"per_second", nullptr},
                       {"previous", *found->second.per_second},
                       {"source", "issuer"}});
            found->second.per_second.reset();
        }
        // It may have become cold since the permit was asked for.
        if (!cold_limit(server, now))
            return permit_granted{};
        break;
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
    const instant asked_at = found->second.asked_at;
    pending_.erase(found);
    // This process has stood still since: the permit may be used up elsewhere.
    if (now - asked_at > options_.permit_lifetime)
        return permit_denied{};
    return apply(reply.server, {reply.verdict, milliseconds(reply.wait_ms)},
                 asked_at, now);
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
        per_second +=
            std::max(limit(server->id, now).value_or(0), min_return_rate);
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
    limit_record& record = known_[server];
    if (record.per_second == per_second)
        return false;
    log_event(
        log_level::info, "server_limit_changed",
        {{"server", server},
         {"per_second", per_second},
         {"previous", record.per_second ? nlohmann::json(*record.per_second)
                                        : nlohmann::json()},
         {"source", source}});
    record.per_second = per_second;
    return true;
}

void limit_exchange::on_answer(const std::string& server,
                               const limit_statement& statement, instant now) {
    const auto* named = std::get_if<limit_named>(&statement);
    if (std::holds_alternative<limit_unknown>(statement) ||
        (named == nullptr && !has_named_limit(server)))
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

std::optional<permit_reply> limit_exchange::answer(const std::string& server,
                                                   std::uint64_t sequence,
                                                   const permit_terms& terms,
                                                   instant now) {
    if (!is_valid_limit(terms.per_second) || servers_.find(server) == nullptr)
        return std::nullopt;
    const permit_issuer::decision decision = issue(server, terms, now);
    return permit_reply{server, sequence, decision.verdict,
                        static_cast<std::uint32_t>(decision.wait.count())};
}

std::optional<permit_reply>
limit_exchange::on_request(const permit_request& asked, instant now) {
    return answer(asked.server, asked.sequence, {asked.per_second, false}, now);
}

std::optional<permit_reply>
limit_exchange::on_request(const cold_permit_request& asked, instant now) {
    const double own = cold_limit(asked.server, now).value_or(asked.per_second);
    return answer(asked.server, asked.sequence,
                  {std::min(asked.per_second, own), true}, now);
}

void limit_exchange::on_sent(const std::string& server, instant now) {
    // A warm server takes requests without permits.
    if (const auto per_second = cold_limit(server, now))
        issuer_.on_sent(server, *per_second, now);
}

void limit_exchange::on_servers_changed() {
    absl::flat_hash_set<std::string> unchanged;
    absl::flat_hash_map<std::string, std::int64_t> starts;
    for (const backend_server* server : servers_.all()) {
        starts[server->id] = server->started_unix_ms;
        const auto found = starts_.find(server->id);
        if (found != starts_.end() && found->second == server->started_unix_ms)
            unchanged.insert(server->id);
    }
    starts_ = std::move(starts);
    absl::erase_if(known_, [&](const auto& item) {
        return !unchanged.contains(item.first);
    });
    absl::erase_if(responsible_, [&](const auto& item) {
        return servers_.find(item.first) == nullptr;
    });
    issuer_.retain(unchanged);
}

void limit_exchange::on_entries_changed(instant now) {
    absl::flat_hash_set<std::string> names;
    std::vector<const site_entry*> added;
    for (const site_entry* entry : duties_.all()) {
        names.insert(entry->name);
        if (entry->name != options_.self && !entries_.contains(entry->name))
            added.push_back(entry);
    }
    entries_ = std::move(names);
    entries_changed_at_ = now;
    for (const backend_server* server : servers_.all())
        update_responsible(server->id, issuers(server->id), now);
    if (added.empty())
        return;
    for (const auto& [server, record] : known_) {
        if (!record.per_second)
            continue;
        const auto order = issuers(server);
        if (!order.empty() && order[0]->name == options_.self)
            send_({added, limit_report{server, true, *record.per_second}});
    }
}

} // namespace ospreystage
