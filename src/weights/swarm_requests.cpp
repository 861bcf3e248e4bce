#include <ospreystage/weights/swarm.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Times the time of one chunk on the link that an answer may take.
constexpr std::uint64_t stall_chunks = 16;
constexpr milliseconds max_stall_timeout{30'000};
/// The shell reports failures of the origin; this bounds lost reports.
constexpr milliseconds origin_timeout{60'000};
constexpr milliseconds idle_wake{50};

} // namespace

instant swarm::next_wake(instant now) const {
    instant wake = now + idle_wake;
    const auto consider = [&](instant due) {
        if (due > now)
            wake = std::min(wake, due);
    };
    consider(upload_.ready_at());
    consider(download_.ready_at());
    for (const request_record& request : requests_)
        consider(request.deadline);
    for (const version_record& version : versions_)
        consider(version.announced + announce_interval(version));
    return wake;
}

std::vector<swarm_action> swarm::tick(instant now) {
    upload_.advance(now);
    download_.advance(now);
    expire(now);
    for (version_record& version : versions_) {
        plan_manifest(version, now);
        check_silence(version, now);
        check_blocked(version, now);
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
    const std::uint64_t limit_ms = stall_chunks * crossings * bytes *
                                   std::uint64_t{milliseconds::period::den} /
                                   budget_.bytes_per_second;
    return std::clamp(milliseconds(limit_ms), options_.min_stall_timeout,
                      max_stall_timeout);
}

std::optional<swarm::request_record>
swarm::take_request(const chunk_source& source, const digest& version,
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
        --at(peer_of(peer->name)).outstanding;
    } else {
        --origin_requests_;
    }
    if (refund) {
        download_bucket().give_back(request.bytes);
        taken_down_ -= request.bytes;
    }
    version_record* version = find(request.version);
    if (version != nullptr && version->description)
        --version->chunks[request.index].in_flight;
}

void swarm::expire(instant now) {
    std::vector<request_record> late;
    for (const request_record& request : requests_)
        if (request.deadline <= now)
            late.push_back(request);
    for (const request_record& request : late) {
        if (!take_request(request.source, request.version, request.index))
            continue;
        release(request, true);
        ++counters_.timeouts;
        const auto* source = std::get_if<peer_source>(&request.source);
        if (source == nullptr) {
            origin_avoided_until_ = now + options_.origin_pause;
            continue;
        }
        const peer_id id = peer_of(source->name);
        // A peer that has delivered meanwhile is slow, not stalled.
        if (at(id).delivered > request.started) {
            at(id).avoided_until = now + options_.refusal_pause;
            continue;
        }
        mark_blocked(request);
        if (is_usable(id, now)) {
            strike(id, now);
            actions_.emplace_back(reconnect_peer{source->name});
        }
    }
}

void swarm::mark_blocked(const request_record& request) {
    version_record* version = find(request.version);
    if (version == nullptr || !version->description)
        return;
    // The owner had its time while this request waited in vain.
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
        ++at(peer_of(peer->name)).outstanding;
        request.deadline += stall_timeout(bytes);
    } else {
        ++origin_requests_;
        request.deadline += origin_timeout;
    }
    ++version.chunks[index].in_flight;
    download_bucket().take(bytes);
    taken_down_ += bytes;
    requests_.push_back(std::move(request));
    actions_.emplace_back(
        fetch_chunk{std::move(source), version.id, index, bytes});
}

token_bucket& swarm::download_bucket() {
    return budget_.shared_directions ? upload_ : download_;
}

bool swarm::may_fetch_from_peers(const version_record& v) const {
    if (peer_requests_ >= options_.max_requests)
        return false;
    const std::uint64_t next = peer_request_bytes_ + v.description->chunk_bytes;
    return peer_requests_ < 2 || next <= options_.max_request_bytes;
}

} // namespace ospreystage
