#include <ospreystage/weights/swarm.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Divisor for the share of the link that announcements may use.
constexpr std::uint64_t announce_divisor = 50;
/// Size of an announcement without its bitmap.
constexpr std::uint64_t announce_overhead_bytes = 130;
constexpr milliseconds max_announce_interval{1000};
constexpr milliseconds manifest_timeout{1000};
constexpr milliseconds manifest_backoff{100};
/// Time after which an agent that found no peer with the manifest requests it
/// from the origin.
constexpr milliseconds manifest_fallback{10'000};

} // namespace

// ---- Uploads ---------------------------------------------------------------

void swarm::on_request(const std::string& peer, std::uint64_t connection,
                       const digest& version, std::uint32_t index) {
    const version_record* record = find(version);
    if (record == nullptr || !record->held.test(index) ||
        uploads_.size() >= options_.max_uploads_queued) {
        actions_.emplace_back(refuse_chunk{peer, connection, version, index});
        return;
    }
    uploads_.push({peer, connection, version, index,
                   record->description->chunk_size(index), record->priority});
}

bool swarm::plan_upload() {
    auto next = uploads_.pop();
    if (!next)
        return false;
    upload_bucket_.take(next->bytes);
    uploaded_bytes_ += next->bytes;
    ++counters_.served;
    actions_.emplace_back(std::move(*next));
    return true;
}

// ---- Manifests -------------------------------------------------------------

void swarm::on_manifest_failed(const digest& version,
                               const chunk_source& source, instant now) {
    version_record* record = find(version);
    if (record == nullptr || record->manifest_source != source)
        return;
    record->manifest_source.reset();
    record->manifest_retry_at = now + manifest_backoff;
}

void swarm::plan_manifest(version_record& version, instant now) {
    if (version.description)
        return;
    if (version.manifest_source && now >= version.manifest_deadline)
        on_manifest_failed(version.id, *version.manifest_source, now);
    if (version.manifest_source || now < version.manifest_retry_at)
        return;
    std::vector<peer_id> holders;
    for (const peer_id id : version.active)
        if (view_of(version, id).held.size() > 0 && is_usable(id, now))
            holders.push_back(id);
    if (!holders.empty()) {
        const peer_id chosen = holders[random_() % holders.size()];
        version.manifest_source = peer_source{at(chosen).name};
    } else if (version.assignment->is_reader() ||
               now - version.requested_since > manifest_fallback) {
        version.manifest_source = origin_source{};
    } else {
        return;
    }
    version.manifest_deadline = now + manifest_timeout;
    actions_.emplace_back(fetch_manifest{*version.manifest_source, version.id});
}

// ---- Announcements ---------------------------------------------------------

milliseconds swarm::announce_interval(const version_record& version) const {
    if (budget_.bytes_per_second == 0)
        return options_.announce_interval;
    const std::uint64_t bytes =
        (announce_overhead_bytes + version.held.bytes().size()) *
        version.assignment->neighbours().size();
    const std::uint64_t interval_ms = bytes * announce_divisor *
                                      std::uint64_t{milliseconds::period::den} /
                                      budget_.bytes_per_second;
    return std::clamp(milliseconds(interval_ms), options_.announce_interval,
                      max_announce_interval);
}

void swarm::plan_announcements(version_record& version, instant now) {
    const bool is_due =
        now - version.last_announcement >= announce_interval(version);
    std::vector<std::string> targets;
    const std::uint32_t state =
        version.description ? version.held.count() + 2 : 1;
    const auto add_target = [&](peer_id id) {
        peer_view& view = view_of(version, id);
        view.announced_state = state;
        view.last_announced = now;
        targets.push_back(at(id).name);
    };
    const auto needs_announcement = [&](peer_id id) {
        const peer_view& view = view_of(version, id);
        return !view.is_complete() && view.announced_state != state &&
               at(id).is_member;
    };
    if (is_due || version.announce_now) {
        version.last_announcement = now;
        version.announce_now = false;
        for (const std::string& name : version.assignment->neighbours())
            if (const peer_id id = find_or_add_peer(name);
                needs_announcement(id))
                add_target(id);
        const std::vector<peer_id> active_peers = version.active;
        for (const peer_id id : active_peers)
            if (needs_announcement(id))
                add_target(id);
        if (version.assignment->is_reader()) {
            for (const std::string& name : version.assignment->readers()) {
                if (name == self_)
                    continue;
                const peer_id id = find_or_add_peer(name);
                const peer_view& view = view_of(version, id);
                const bool is_stale =
                    now - view.last_announced >= options_.keepalive_interval;
                if (needs_announcement(id) || (is_stale && !view.is_complete()))
                    add_target(id);
            }
        }
    }
    for (const std::string& owner : std::exchange(version.owners_to_notify, {}))
        if (const peer_id id = find_or_add_peer(owner); needs_announcement(id))
            add_target(id);
    if (!targets.empty())
        actions_.emplace_back(announce_chunks{std::move(targets), version.id});
}

} // namespace ospreystage
