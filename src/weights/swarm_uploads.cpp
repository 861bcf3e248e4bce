#include <ospreystage/weights/swarm.hpp>

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Part of the link that announcements may take, as a divisor.
constexpr std::uint64_t announce_divisor = 50;
/// Bytes of an announcement besides its bitmap.
constexpr std::uint64_t announce_overhead_bytes = 130;
constexpr milliseconds max_announce_interval{1000};
constexpr milliseconds manifest_timeout{1000};
constexpr milliseconds manifest_pause{100};
/// An agent that found no peer with the manifest asks the origin.
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
    upload_.take(next->bytes);
    taken_up_ += next->bytes;
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
    record->manifest_retry = now + manifest_pause;
}

void swarm::plan_manifest(version_record& version, instant now) {
    if (version.description)
        return;
    if (version.manifest_source && now >= version.manifest_deadline)
        on_manifest_failed(version.id, *version.manifest_source, now);
    if (version.manifest_source || now < version.manifest_retry)
        return;
    std::vector<peer_id> holders;
    for (const peer_id id : version.active)
        if (view_of(version, id).held.size() > 0 && is_usable(id, now))
            holders.push_back(id);
    if (!holders.empty()) {
        const peer_id chosen = holders[random_() % holders.size()];
        version.manifest_source = peer_source{at(chosen).name};
    } else if (version.roles->is_reader() ||
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
        version.roles->neighbours().size();
    const std::uint64_t interval_ms = bytes * announce_divisor *
                                      std::uint64_t{milliseconds::period::den} /
                                      budget_.bytes_per_second;
    return std::clamp(milliseconds(interval_ms), options_.announce_interval,
                      max_announce_interval);
}

void swarm::plan_announcements(version_record& version, instant now) {
    const bool is_due = now - version.announced >= announce_interval(version);
    std::vector<std::string> targets;
    const std::uint32_t state =
        version.description ? version.held.count() + 2 : 1;
    const auto tell = [&](peer_id id) {
        peer_view& view = view_of(version, id);
        view.announced = state;
        view.told = now;
        targets.push_back(at(id).name);
    };
    const auto needs = [&](peer_id id) {
        const peer_view& view = view_of(version, id);
        return !view.is_complete() && view.announced != state &&
               at(id).is_member;
    };
    if (is_due || version.announce_now) {
        version.announced = now;
        version.announce_now = false;
        for (const std::string& name : version.roles->neighbours())
            if (const peer_id id = peer_of(name); needs(id))
                tell(id);
        const std::vector<peer_id> followers = version.active;
        for (const peer_id id : followers)
            if (needs(id))
                tell(id);
        if (version.roles->is_reader()) {
            for (const std::string& name : version.roles->readers()) {
                if (name == self_)
                    continue;
                const peer_id id = peer_of(name);
                const peer_view& view = view_of(version, id);
                const bool is_stale =
                    now - view.told >= options_.keepalive_interval;
                if (needs(id) || (is_stale && !view.is_complete()))
                    tell(id);
            }
        }
    }
    for (const std::string& owner : std::exchange(version.owners_to_tell, {}))
        if (const peer_id id = peer_of(owner); needs(id))
            tell(id);
    if (!targets.empty())
        actions_.emplace_back(announce_chunks{std::move(targets), version.id});
}

} // namespace ospreystage
