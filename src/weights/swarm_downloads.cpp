#include <ospreystage/weights/swarm.hpp>

#include <algorithm>
#include <limits>
#include <tuple>

namespace ospreystage {

namespace {

/// Time for which a new reader waits for its neighbours' announcements.
constexpr milliseconds join_grace{300};
/// Interval between checks for chunks without a usable source.
constexpr milliseconds check_interval{100};
/// Keepalive intervals without a message after which a reader counts as silent.
constexpr int max_missed_keepalives = 3;
/// Fallback time in multiples of the stall timeout.
constexpr int fallback_stall_timeouts = 2;
/// Stall timeouts after which other agents of the data centre fetch a chunk in
/// place of its owner.
constexpr int owner_stall_timeouts = 2;
/// Agents that start to do so, one after the other, within one stall timeout.
constexpr int owners_per_stall_timeout = 4;
/// Fallback times before a backup reader (one of a higher rank), or an agent
/// that is not a reader, reads from the origin in place of the first reader.
constexpr int backup_reader_fallbacks = 1;
constexpr int non_reader_fallbacks = 4;
constexpr int stagnation_fallbacks = 4;

bool is_set(instant moment) noexcept {
    return moment != instant{};
}

} // namespace

// ---- Planning --------------------------------------------------------------

void swarm::plan_downloads(instant now) {
    bool is_busy = true;
    while (is_busy) {
        is_busy = false;
        const bool upload_first =
            !budget_.shared_directions || uploaded_bytes_ <= downloaded_bytes_;
        if (upload_first && upload_bucket_.is_ready() && plan_upload())
            is_busy = true;
        if (download_bucket().is_ready() && plan_download(now))
            is_busy = true;
        if (!upload_first && upload_bucket_.is_ready() && plan_upload())
            is_busy = true;
    }
}

bool swarm::plan_download(instant now) {
    for (version_record& version : versions_) {
        if (!version.description || version.held.is_full())
            continue;
        if (plan_origin(version, now) || plan_peer(version, now) ||
            plan_duplicate(version, now))
            return true;
    }
    return false;
}

bool swarm::plan_origin(version_record& version, instant now) {
    const std::uint32_t max_requests =
        origin_failures_ > 0 ? 1 : options_.max_origin_requests;
    if (version.is_gone_from_origin || origin_requests_ >= max_requests ||
        origin_backoff_until_ > now)
        return false;
    struct choice {
        std::uint32_t rank = 0;
        std::uint32_t holders = 0;
        std::uint32_t index = 0;
        [[nodiscard]] auto key() const { return std::tie(rank, holders); }
    };
    std::optional<choice> best;
    for (const std::uint32_t index : version.order) {
        if (version.held.test(index) || version.chunks[index].in_flight > 0)
            continue;
        const choice next{version.assignment->role(index).origin_rank,
                          version.chunks[index].holders, index};
        if (best && next.key() >= best->key())
            continue;
        if (may_read_origin(version, index, now))
            best = next;
    }
    if (!best)
        return false;
    start_request(version, best->index, origin_source{}, now);
    return true;
}

bool swarm::plan_peer(version_record& version, instant now) {
    if (!may_fetch_from_peers(version))
        return false;
    std::optional<peer_id> source;
    std::uint32_t chosen = 0;
    std::uint32_t min_holders = std::numeric_limits<std::uint32_t>::max();
    for (const std::uint32_t index : version.order) {
        const chunk_record& chunk = version.chunks[index];
        if (chunk.holders == 0 || chunk.holders >= min_holders ||
            chunk.in_flight > 0 || version.held.test(index))
            continue;
        const auto found = best_source(version, index, now);
        if (!found)
            continue;
        source = found;
        chosen = index;
        min_holders = chunk.holders;
    }
    if (!source)
        return false;
    start_request(version, chosen, peer_source{at(*source).name}, now);
    return true;
}

bool swarm::plan_duplicate(version_record& version, instant now) {
    if (!may_fetch_from_peers(version))
        return false;
    const std::uint32_t missing = version.held.size() - version.held.count();
    if (missing > options_.max_requests)
        return false;
    for (const request_record& request : requests_) {
        if (request.version != version.id ||
            version.chunks[request.index].in_flight > 1 ||
            now - request.started < stall_timeout(request.bytes) / 2)
            continue;
        const std::uint32_t index = request.index;
        const auto source = best_source(version, index, now);
        if (!source ||
            request.source == chunk_source(peer_source{at(*source).name}))
            continue;
        start_request(version, index, peer_source{at(*source).name}, now);
        return true;
    }
    return false;
}

// ---- Rules -----------------------------------------------------------------

bool swarm::may_read_origin(const version_record& version, std::uint32_t index,
                            instant now) const {
    const chunk_role& role = version.assignment->role(index);
    const chunk_record& chunk = version.chunks[index];
    if (role.origin_rank < version.assignment->origin_copies()) {
        const auto announced = version.active.size();
        const auto expected = version.assignment->neighbours().size();
        if (!version.is_new && announced * 2 < expected &&
            now - version.requested_since < join_grace)
            return false;
        const bool is_first = role.origin_rank == 0;
        return !has_trusted_holder(version, index, !is_first, now);
    }
    if (!version.assignment->has_backup_readers())
        return false;
    const auto fallback = stall_timeout(version.description->chunk_bytes) *
                          fallback_stall_timeouts;
    const bool is_reader = role.origin_rank != chunk_role::none;
    const int fallback_count = is_reader
                                   ? backup_reader_fallbacks + role.origin_rank
                                   : non_reader_fallbacks + role.owner_rank;
    const bool is_blocked_long =
        is_set(chunk.blocked_since) &&
        now - chunk.blocked_since > fallback * fallback_count;
    // While the origin serves other readers, the number of such chunks falls.
    const bool is_unread =
        is_reader && chunk.holders == 0 && is_set(version.unheld_since) &&
        now - version.unheld_since > fallback * role.origin_rank;
    const bool is_stagnant = now - version.last_progress >
                             fallback * (fallback_count + stagnation_fallbacks);
    return (is_blocked_long || is_unread || is_stagnant) &&
           !has_trusted_holder(version, index, false, now);
}

bool swarm::may_fetch_remote(const version_record& version, std::uint32_t index,
                             instant now) const {
    const chunk_role& role = version.assignment->role(index);
    if (role.owner_rank == 0)
        return true;
    const instant since = version.chunks[index].blocked_since;
    if (!is_set(since))
        return false;
    const auto stall = stall_timeout(version.description->chunk_bytes);
    const auto delay = stall / owners_per_stall_timeout * (role.owner_rank - 1);
    return now - since > stall * owner_stall_timeouts + delay;
}

std::optional<swarm::peer_id> swarm::best_source(const version_record& version,
                                                 std::uint32_t index,
                                                 instant now) const {
    const bool allow_remote = may_fetch_remote(version, index, now);
    std::optional<peer_id> best;
    const auto key_of = [this](peer_id id) {
        const peer_record& peer = at(id);
        return std::tuple(!peer.is_local, peer.outstanding, peer.latency);
    };
    for (const peer_id id : version.active) {
        const peer_view& view = version.views[static_cast<std::size_t>(id)];
        const peer_record& peer = at(id);
        const std::uint32_t limit =
            peer.has_delivered ? options_.max_requests_per_peer : 1;
        if (!view.held.test(index) || !is_usable(id, now) ||
            peer.outstanding >= limit || (!peer.is_local && !allow_remote) ||
            !version.assignment->may_fetch_from(peer.name))
            continue;
        if (!best || key_of(id) < key_of(*best))
            best = id;
    }
    return best;
}

bool swarm::has_trusted_holder(const version_record& version,
                               std::uint32_t index, bool local_only,
                               instant now) const {
    if (version.chunks[index].holders == 0)
        return false;
    return std::any_of(
        version.active.begin(), version.active.end(), [&](peer_id id) {
            const peer_view& view = version.views[static_cast<std::size_t>(id)];
            return view.held.test(index) && is_usable(id, now) &&
                   at(id).failure_count == 0 &&
                   (!local_only || at(id).is_local);
        });
}

// ---- Missing sources -------------------------------------------------------

void swarm::update_blocked_chunks(version_record& version, instant now) {
    if (!version.description ||
        now - version.last_blocked_check < check_interval)
        return;
    version.last_blocked_check = now;
    std::uint32_t unheld_chunks = 0;
    for (std::uint32_t index = 0; index < version.chunks.size(); ++index) {
        chunk_record& chunk = version.chunks[index];
        if (!version.held.test(index) && chunk.holders == 0)
            ++unheld_chunks;
        if (version.held.test(index) || chunk.in_flight > 0)
            continue;
        const bool is_owner = version.assignment->role(index).owner_rank == 0;
        const bool is_blocked =
            chunk.holders > 0 &&
            !has_trusted_holder(version, index, !is_owner, now);
        if (!is_blocked)
            chunk.blocked_since = instant{};
        else if (!is_set(chunk.blocked_since))
            chunk.blocked_since = now;
    }
    if (unheld_chunks != version.unheld_chunks || !is_set(version.unheld_since))
        version.unheld_since = now;
    version.unheld_chunks = unheld_chunks;
}

void swarm::update_silent_readers(version_record& version, instant now) {
    if (!version.description || !version.assignment->is_reader() ||
        version.held.is_full())
        return;
    const auto limit = options_.keepalive_interval * max_missed_keepalives;
    std::vector<std::string> silent;
    for (const std::string& reader : version.assignment->readers()) {
        if (reader == self_)
            continue;
        const peer_id id = find_or_add_peer(reader);
        const peer_view& view = view_of(version, id);
        const instant last_received =
            std::max(at(id).last_received, version.requested_since);
        if (!view.is_complete() && now - last_received > limit)
            silent.push_back(reader);
    }
    if (silent == version.silent_readers)
        return;
    version.silent_readers = std::move(silent);
    update_assignment(version);
}

} // namespace ospreystage
