#include <ospreystage/core/stable_hash.hpp>
#include <ospreystage/weights/swarm.hpp>

#include <algorithm>
#include <bit>
#include <numeric>
#include <utility>

namespace ospreystage {

namespace {

constexpr milliseconds burst_time{20}; ///< Unused budget that may accumulate.
constexpr std::uint32_t max_backoff_shift = 8;
/// Age of a publication up to which the version counts as new. Agents learn of
/// a publication within this time, so nobody can hold much of it earlier.
constexpr milliseconds max_new_age{1500};

} // namespace

swarm::swarm(const swarm_options& options, std::string self)
    : options_(options), self_(std::move(self)),
      random_(mix_hash(options_.seed, stable_hash(self_))) {}

// ---- Observers -------------------------------------------------------------

bool swarm::complete(const digest& version) const {
    const version_record* record = find(version);
    return record != nullptr && record->description && record->held.is_full();
}

chunk_bitmap swarm::held(const digest& version) const {
    const version_record* record = find(version);
    return record == nullptr ? chunk_bitmap() : record->held;
}

const swarm_counters& swarm::counters() const noexcept {
    return counters_;
}

nlohmann::json swarm::dump() const {
    nlohmann::json state;
    for (const version_record& version : versions_)
        state["versions"].push_back(
            {{"version", version.id},
             {"priority", version.priority},
             {"chunks", version.held.size()},
             {"held", version.held.count()},
             {"sources", version.active.size()},
             {"silent_readers", version.silent_readers}});
    state["members"] = members_.size();
    state["requests_to_peers"] = peer_requests_;
    state["requests_to_origin"] = origin_requests_;
    state["uploads_queued"] = uploads_.size();
    state["from_peers"] = counters_.from_peers;
    state["from_remote"] = counters_.from_remote;
    state["from_origin"] = counters_.from_origin;
    state["served"] = counters_.served;
    state["corrupt"] = counters_.corrupt;
    state["refused"] = counters_.refused;
    state["timeouts"] = counters_.timeouts;
    state["duplicates"] = counters_.duplicates;
    state["stood_in"] = counters_.backup_reads;
    return state;
}

// ---- Configuration ---------------------------------------------------------

void swarm::set_members(std::vector<swarm_member> members, instant now) {
    std::sort(members.begin(), members.end(),
              [](const swarm_member& left, const swarm_member& right) {
                  return left.name < right.name;
              });
    // Two starts of a server on one VM list its agent twice for a while.
    const auto is_same = [](const swarm_member& left,
                            const swarm_member& right) {
        return left.name == right.name;
    };
    members.erase(std::unique(members.begin(), members.end(), is_same),
                  members.end());
    if (members == members_)
        return;
    members_ = std::move(members);
    std::string own_data_centre;
    for (const swarm_member& entry : members_)
        if (entry.name == self_)
            own_data_centre = entry.data_centre;
    std::vector<bool> was_member;
    was_member.reserve(peers_.size());
    for (peer_record& peer : peers_)
        was_member.push_back(std::exchange(peer.is_member, false));
    for (const swarm_member& entry : members_) {
        if (entry.name == self_)
            continue;
        peer_record& peer = at(find_or_add_peer(entry.name));
        peer.is_member = true;
        peer.is_local = entry.data_centre == own_data_centre;
    }
    for (std::uint32_t id = 0; id < was_member.size(); ++id)
        if (was_member[id] && !peers_[id].is_member)
            on_peer_down(peers_[id].name, now);
    for (version_record& version : versions_) {
        update_assignment(version);
        version.announce_now = true;
    }
}

void swarm::set_requested(const std::vector<requested_version>& requested,
                          instant now) {
    const auto is_requested = [&](const digest& version) {
        return std::any_of(requested.begin(), requested.end(),
                           [&](const requested_version& entry) {
                               return entry.version == version;
                           });
    };
    std::vector<request_record> dropped;
    for (const request_record& request : requests_)
        if (!is_requested(request.version))
            dropped.push_back(request);
    for (const request_record& request : dropped)
        if (remove_request(request.source, request.version, request.index))
            release(request, false);
    std::erase_if(versions_, [&](const version_record& version) {
        if (is_requested(version.id))
            return false;
        uploads_.drop_version(version.id);
        return true;
    });
    for (const requested_version& entry : requested) {
        if (find(entry.version) == nullptr) {
            version_record& added = versions_.emplace_back();
            added.id = entry.version;
            added.requested_since = now;
            added.is_new =
                entry.published_at && now - *entry.published_at <= max_new_age;
            added.last_progress = now;
            added.announce_now = true;
            update_assignment(added);
        }
        find(entry.version)->priority = entry.priority;
    }
    std::stable_sort(
        versions_.begin(), versions_.end(),
        [](const version_record& left, const version_record& right) {
            return left.priority > right.priority;
        });
}

void swarm::set_budget(const link_budget& budget, instant now) {
    budget_ = budget;
    const auto burst = budget.bytes_per_second *
                       static_cast<std::uint64_t>(burst_time.count()) /
                       static_cast<std::uint64_t>(milliseconds::period::den);
    upload_bucket_.advance(now);
    download_bucket_.advance(now);
    upload_bucket_.set_rate(budget.bytes_per_second, burst);
    download_bucket_.set_rate(budget.bytes_per_second, burst);
}

// ---- Events ----------------------------------------------------------------

void swarm::on_manifest(const digest& version, const manifest& description,
                        const chunk_bitmap& held, instant now) {
    version_record* record = find(version);
    if (record == nullptr || record->description)
        return;
    const auto chunks = static_cast<std::uint32_t>(description.chunks.size());
    record->description = description;
    record->held = held.size() == chunks ? held : chunk_bitmap(chunks);
    record->chunks.resize(chunks);
    record->order.resize(chunks);
    std::iota(record->order.begin(), record->order.end(), 0U);
    std::shuffle(record->order.begin(), record->order.end(), random_);
    record->manifest_source.reset();
    record->announce_now = true;
    record->last_progress = now;
    for (const peer_id id : record->active) {
        peer_view& view = view_of(*record, id);
        view.held = chunk_bitmap(chunks, view.held.bytes());
        count_holders(*record, view.held, 1);
    }
    update_assignment(*record);
}

void swarm::on_have(const std::string& peer, const digest& version,
                    const chunk_bitmap& held, instant now) {
    version_record* record = find(version);
    if (record == nullptr || peer == self_)
        return;
    const peer_id id = find_or_add_peer(peer);
    at(id).last_received = now;
    peer_view& view = view_of(*record, id);
    if (!view.active)
        record->active.push_back(id);
    // A peer that has lost chunks has restarted: announce to it again.
    if (!view.active || held.count() < view.held.count())
        view.announced_state = 0;
    view.active = true;
    if (record->description) {
        count_holders(*record, view.held, -1);
        view.held = chunk_bitmap(record->held.size(), held.bytes());
        count_holders(*record, view.held, 1);
    } else {
        view.held = held;
    }
}

void swarm::on_fetched(const chunk_source& source, const digest& version,
                       std::uint32_t index, fetch_outcome outcome,
                       instant now) {
    const auto request = remove_request(source, version, index);
    if (request)
        release(*request, outcome != fetch_outcome::stored &&
                              outcome != fetch_outcome::corrupt);
    version_record* record = find(version);
    if (outcome == fetch_outcome::stored) {
        if (record != nullptr)
            store(*record, index, source, now);
    } else if (outcome == fetch_outcome::corrupt) {
        ++counters_.corrupt;
    } else if (outcome == fetch_outcome::refused) {
        ++counters_.refused;
    }
    if (std::holds_alternative<origin_source>(source)) {
        if (outcome == fetch_outcome::gone) {
            if (record != nullptr)
                record->is_gone_from_origin = true;
            return;
        }
        if (outcome == fetch_outcome::stored) {
            origin_failures_ = 0;
            return;
        }
        const bool is_unanswered = outcome == fetch_outcome::failed;
        origin_failures_ = is_unanswered ? origin_failures_ + 1 : 0;
        origin_backoff_until_ =
            now + (is_unanswered ? options_.origin_probe_interval
                                 : options_.origin_backoff);
        if (record != nullptr)
            record->unheld_since = now;
        return;
    }
    const peer_id id = find_or_add_peer(std::get<peer_source>(source).name);
    peer_record& peer = at(id);
    switch (outcome) {
    case fetch_outcome::stored:
        peer.has_delivered = true;
        peer.failure_count = 0;
        peer.last_delivery = now;
        if (request)
            peer.latency =
                (peer.latency * 3 + std::chrono::duration_cast<microseconds>(
                                        now - request->started)) /
                4;
        break;
    case fetch_outcome::refused:
        peer.backoff_until =
            std::max(peer.backoff_until, now + options_.refusal_backoff);
        break;
    case fetch_outcome::corrupt:
    case fetch_outcome::failed:
    case fetch_outcome::gone:
        record_failure(id, now);
        break;
    }
}

void swarm::on_peer_down(const std::string& peer, instant now) {
    const peer_id id = find_or_add_peer(peer);
    std::vector<request_record> lost;
    for (const request_record& request : requests_)
        if (request.source == chunk_source(peer_source{peer}))
            lost.push_back(request);
    for (const request_record& request : lost)
        if (remove_request(request.source, request.version, request.index))
            release(request, true);
    uploads_.drop_peer(peer);
    if (!lost.empty() && is_usable(id, now))
        record_failure(id, now);
    at(id).unreachable_until = now + options_.reconnect_backoff;
    for (version_record& version : versions_)
        drop_view(version, id);
}

// ---- Records ---------------------------------------------------------------

swarm::version_record* swarm::find(const digest& version) {
    for (version_record& record : versions_)
        if (record.id == version)
            return &record;
    return nullptr;
}

const swarm::version_record* swarm::find(const digest& version) const {
    for (const version_record& record : versions_)
        if (record.id == version)
            return &record;
    return nullptr;
}

swarm::peer_id swarm::find_or_add_peer(const std::string& name) {
    const auto next = static_cast<peer_id>(peers_.size());
    const auto [found, added] = peer_ids_.emplace(name, next);
    if (added)
        peers_.emplace_back().name = name;
    return found->second;
}

swarm::peer_record& swarm::at(peer_id id) {
    return peers_[static_cast<std::size_t>(id)];
}

const swarm::peer_record& swarm::at(peer_id id) const {
    return peers_[static_cast<std::size_t>(id)];
}

swarm::peer_view& swarm::view_of(version_record& version, peer_id id) {
    if (version.views.size() < peers_.size())
        version.views.resize(peers_.size());
    return version.views[static_cast<std::size_t>(id)];
}

void swarm::update_assignment(version_record& version) {
    const auto chunks = static_cast<std::uint32_t>(version.chunks.size());
    version.assignment.emplace(options_.strategy, members_, self_, version.id,
                               chunks, version.silent_readers);
}

void swarm::drop_view(version_record& version, peer_id id) {
    peer_view& view = view_of(version, id);
    if (view.active)
        count_holders(version, view.held, -1);
    std::erase(version.active, id);
    view = peer_view{};
}

void swarm::count_holders(version_record& version, const chunk_bitmap& held,
                          int change) {
    if (!version.description)
        return;
    for (std::size_t group = 0; group < held.bytes().size(); ++group) {
        unsigned bits = held.bytes()[group];
        for (; bits != 0; bits &= bits - 1) {
            const auto bit = static_cast<std::size_t>(std::countr_zero(bits));
            std::uint16_t& holders = version.chunks[group * 8 + bit].holders;
            holders = static_cast<std::uint16_t>(holders + change);
        }
    }
}

void swarm::store(version_record& version, std::uint32_t index,
                  const chunk_source& source, instant now) {
    if (!version.description || !version.held.set(index)) {
        ++counters_.duplicates;
        return;
    }
    version.last_progress = now;
    // Only chunks that others obtain show that the origin serves them.
    if (version.chunks[index].holders == 0 && version.unheld_chunks > 0)
        --version.unheld_chunks;
    if (const auto* peer = std::get_if<peer_source>(&source)) {
        ++counters_.from_peers;
        if (!at(find_or_add_peer(peer->name)).is_local)
            ++counters_.from_remote;
        return;
    }
    ++counters_.from_origin;
    if (version.assignment->role(index).origin_rank >=
        version.assignment->origin_copies())
        ++counters_.backup_reads;
    // Notify the owners in other data centres, which wait for a chunk that is
    // new to the fleet.
    for (std::string& owner : version.assignment->remote_owners(index))
        version.owners_to_notify.push_back(std::move(owner));
}

void swarm::record_failure(peer_id id, instant now) {
    peer_record& peer = at(id);
    const auto shift = std::min(peer.failure_count, max_backoff_shift);
    ++peer.failure_count;
    peer.has_delivered = false;
    peer.backoff_until =
        now + std::min(options_.max_failure_backoff,
                       options_.failure_backoff * (1 << shift));
}

bool swarm::is_usable(peer_id id, instant now) const {
    const peer_record& peer = at(id);
    return peer.is_member && peer.backoff_until <= now &&
           peer.unreachable_until <= now;
}

} // namespace ospreystage
