#include <ospreystage/weights/swarm.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Stall timeout in multiples of the time that one chunk takes on the link.
constexpr std::uint64_t stall_timeout_chunks = 16;
constexpr milliseconds max_stall_timeout{30'000};
/// Failures of the origin are reported by `on_fetched`; this timeout covers
/// lost reports.
constexpr milliseconds origin_timeout{60'000};
/// Failed reads of the origin after which one has the full time to connect, in
/// case the way to the origin takes longer than a probe may.
constexpr std::uint32_t patient_read_interval = 64;
constexpr milliseconds max_wake_interval{50};

} // namespace

instant swarm::next_wake(instant now) const {
    instant wake = now + max_wake_interval;
    const auto consider = [&](instant due) {
        if (due > now)
            wake = std::min(wake, due);
    };
    consider(upload_bucket_.ready_at());
    consider(download_bucket_.ready_at());
    consider(origin_backoff_until_);
    for (const request_record& request : requests_)
        consider(request.deadline);
    for (const version_record& version : versions_)
        consider(version.last_announcement + announce_interval(version));
    return wake;
}

std::vector<swarm_action> swarm::tick(instant now) {
    upload_bucket_.advance(now);
    download_bucket_.advance(now);
    expire_requests(now);
    for (version_record& version : versions_) {
        plan_manifest(version, now);
        update_silent_readers(version, now);
        update_blocked_chunks(version, now);
    }
    plan_downloads(now);
    for (version_record& version : versions_)
        plan_announcements(version, now);
    return std::exchange(actions_, {});
}

milliseconds swarm::stall_timeout(std::uint32_t bytes) const {
    if (budget_.bytes_per_second == 0)
        return options_.min_stall_timeout;
    const std::uint64_t crossings = budget_.shared_directions ? 2 : 1;
    const std::uint64_t limit_ms = stall_timeout_chunks * crossings * bytes *
                                   std::uint64_t{milliseconds::period::den} /
                                   budget_.bytes_per_second;
    return std::clamp(milliseconds(limit_ms), options_.min_stall_timeout,
                      max_stall_timeout);
}

std::optional<swarm::request_record>
swarm::remove_request(const chunk_source& source, const digest& version,
                      std::uint32_t index) {
    const auto found = std::find_if(
        requests_.begin(), requests_.end(), [&](const request_record& entry) {
            return entry.index == index && entry.source == source &&
                   entry.version == version;
        });
    if (found == requests_.end())
        return std::nullopt;
    request_record request = std::move(*found);
    requests_.erase(found);
    return request;
}

void swarm::release(const request_record& request, bool refund) {
    if (const auto* peer = std::get_if<peer_source>(&request.source)) {
        --peer_requests_;
        peer_request_bytes_ -= request.bytes;
        --at(find_or_add_peer(peer->name)).outstanding;
    } else {
        --origin_requests_;
    }
    if (refund) {
        download_bucket().give_back(request.bytes);
        downloaded_bytes_ -= request.bytes;
    }
    version_record* version = find(request.version);
    if (version != nullptr && version->description)
        --version->chunks[request.index].in_flight;
}

void swarm::expire_requests(instant now) {
    std::vector<request_record> timed_out;
    for (const request_record& request : requests_)
        if (request.deadline <= now)
            timed_out.push_back(request);
    for (const request_record& request : timed_out) {
        if (!remove_request(request.source, request.version, request.index))
            continue;
        release(request, true);
        ++counters_.timeouts;
        const auto* source = std::get_if<peer_source>(&request.source);
        if (source == nullptr) {
            origin_backoff_until_ = now + options_.origin_backoff;
            continue;
        }
        const peer_id id = find_or_add_peer(source->name);
        // A peer that has delivered since the request is slow, not stalled.
        if (at(id).last_delivery > request.started) {
            at(id).backoff_until = now + options_.refusal_backoff;
            continue;
        }
        mark_blocked(request);
        if (is_usable(id, now)) {
            record_failure(id, now);
            actions_.emplace_back(reconnect_peer{source->name});
        }
    }
}

void swarm::mark_blocked(const request_record& request) {
    version_record* version = find(request.version);
    if (version == nullptr || !version->description)
        return;
    // The time for which this request waited counts towards the owner's time.
    instant& since = version->chunks[request.index].blocked_since;
    const instant earlier = request.started - stall_timeout(request.bytes) * 2;
    since = since == instant{} ? earlier : std::min(since, earlier);
}

void swarm::start_request(version_record& version, std::uint32_t index,
                          chunk_source source, instant now) {
    const std::uint32_t bytes = version.description->chunk_size(index);
    request_record request{source, version.id, index, bytes, now, now};
    if (const auto* peer = std::get_if<peer_source>(&source)) {
        ++peer_requests_;
        peer_request_bytes_ += bytes;
        ++at(find_or_add_peer(peer->name)).outstanding;
        request.deadline += stall_timeout(bytes);
    } else {
        ++origin_requests_;
        request.deadline += origin_timeout;
    }
    const bool is_probe = origin_failures_ % patient_read_interval > 0 &&
                          std::holds_alternative<origin_source>(source);
    ++version.chunks[index].in_flight;
    download_bucket().take(bytes);
    downloaded_bytes_ += bytes;
    requests_.push_back(std::move(request));
    actions_.emplace_back(
        fetch_chunk{std::move(source), version.id, index, bytes, is_probe});
}

token_bucket& swarm::download_bucket() {
    return budget_.shared_directions ? upload_bucket_ : download_bucket_;
}

bool swarm::may_fetch_from_peers(const version_record& v) const {
    if (peer_requests_ >= options_.max_requests)
        return false;
    const std::uint64_t next = peer_request_bytes_ + v.description->chunk_bytes;
    return peer_requests_ < 2 || next <= options_.max_request_bytes;
}

} // namespace ospreystage
