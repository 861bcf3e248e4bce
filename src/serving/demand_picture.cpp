#include <ospreystage/core/stable_hash.hpp>
#include <ospreystage/serving/demand_picture.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

namespace ospreystage {

namespace {

/// Parts into which the window is divided. Requests leave it part by part.
constexpr int buckets_per_window = 10;
constexpr std::uint64_t rank_mask = demand_ranks - 1;
constexpr std::uint64_t units_per_answer_token = 10;
constexpr std::size_t max_name_length = 256;
/// Longest interval that a digest may state.
constexpr std::uint32_t max_interval_ms = 10'000;
constexpr double ms_per_s = 1000;
/// Part of a request's time that is left when it has moved to rank 0. Later, a
/// long request could no longer be completed.
constexpr double rank_0_left = 1.0 / 3;

static_assert((demand_ranks & rank_mask) == 0, "ranks fill whole bits");

std::uint64_t without_rank(std::uint64_t organisation) {
    return organisation & ~rank_mask;
}

std::uint32_t saturated(std::uint64_t units) {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(
        units, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

std::uint64_t organisation_key(std::string_view name) noexcept {
    return without_rank(stable_hash(name));
}

std::uint64_t work_units(std::uint32_t prompt_tokens,
                         std::uint32_t answer_tokens) noexcept {
    return std::max<std::uint64_t>(1, prompt_tokens + units_per_answer_token *
                                                          answer_tokens);
}

std::uint32_t urgency_rank(std::uint32_t priority, milliseconds time_left,
                           milliseconds time_limit) noexcept {
    const std::uint32_t rank = std::min(priority, demand_ranks - 1);
    if (time_limit <= milliseconds(0))
        return rank;
    const double left = static_cast<double>(time_left.count()) /
                        static_cast<double>(time_limit.count());
    const double part =
        std::clamp((left - rank_0_left) / (1 - rank_0_left), 0.0, 1.0);
    return static_cast<std::uint32_t>(std::lround(rank * part));
}

double organisation_demand::total() const noexcept {
    return std::accumulate(received.begin(), received.end(), 0.0);
}

demand_picture::demand_picture(const options& limits, std::string self,
                               std::uint64_t first_sequence)
    : limits_(limits), self_(std::move(self)), sequence_(first_sequence) {}

void demand_picture::set_organisations(
    absl::flat_hash_set<std::uint64_t> known) {
    known_ = std::move(known);
}

// ---- Events ----------------------------------------------------------------

void demand_picture::on_request(const demand_request& request, bool is_served,
                                instant now) {
    if (first_request_ == instant{})
        first_request_ = now;
    while (!buckets_.empty() && has_left(buckets_.front(), now))
        buckets_.pop_front();
    const instant::duration width = limits_.window / buckets_per_window;
    const instant began = now - now.time_since_epoch() % width;
    if (buckets_.empty() || buckets_.back().began < began)
        buckets_.push_back({began, {}});
    units& item = buckets_.back().items[{
        request.service, without_rank(request.organisation) |
                             std::min(request.rank, demand_ranks - 1)}];
    item.received += request.units;
    if (is_served)
        item.served += request.units;
}

demand_digest demand_picture::take_digest(instant now) {
    absl::erase_if(peers_, [&](const auto& item) {
        return now - item.second.heard_at > limits_.max_age;
    });
    demand_digest digest{self_,
                         ++sequence_,
                         static_cast<std::uint32_t>(covered(now).count()),
                         {}};
    std::vector<demand_item>& items = digest.items;
    for (const auto& [key, counted] : own(now))
        items.push_back({key.first, key.second, saturated(counted.received),
                         saturated(counted.served)});
    if (items.size() <= limits_.max_items)
        return digest;
    std::sort(items.begin(), items.end(),
              [](const demand_item& left, const demand_item& right) {
                  return left.received > right.received;
              });
    const auto kept =
        items.begin() + static_cast<std::ptrdiff_t>(limits_.max_items);
    // The demand of an organisation stays complete where it can: its smaller
    // ranks are added to one that is kept.
    for (auto left = kept; left != items.end(); ++left) {
        const auto same =
            std::find_if(items.begin(), kept, [&](const demand_item& item) {
                return item.service == left->service &&
                       without_rank(item.organisation) ==
                           without_rank(left->organisation);
            });
        if (same == kept) {
            ++truncated_items_;
            continue;
        }
        same->received =
            saturated(std::uint64_t{same->received} + left->received);
        same->served = saturated(std::uint64_t{same->served} + left->served);
    }
    items.erase(kept, items.end());
    return digest;
}

void demand_picture::on_digest(const demand_digest& digest, instant now) {
    if (digest.entry == self_)
        return;
    if (!is_valid(digest)) {
        ++invalid_digests_;
        return;
    }
    const auto found = peers_.find(digest.entry);
    if (found == peers_.end() && peers_.size() >= limits_.max_entries) {
        ++invalid_digests_;
        return;
    }
    // Of a digest that is too old, the sequence is too: its process may have
    // started again after its clock was set back.
    if (found != peers_.end() && found->second.sequence >= digest.sequence &&
        now - found->second.heard_at <= limits_.max_age)
        return;
    peers_[digest.entry] = {digest.sequence, now, digest};
    for (const demand_item& item : digest.items)
        if (!is_known(item.organisation))
            ++unknown_items_;
}

// ---- Observers -------------------------------------------------------------

service_demand demand_picture::of(std::uint64_t service, instant now) const {
    service_demand result;
    for (const auto& [key, counted] : own(now))
        if (key.first == service)
            add(result,
                {key.first, key.second, saturated(counted.received),
                 saturated(counted.served)},
                covered(now), true);
    for (const auto& [name, from] : peers_) {
        const auto age =
            std::chrono::duration_cast<milliseconds>(now - from.heard_at);
        if (age > limits_.max_age)
            continue;
        ++result.entries;
        result.oldest_age = std::max(result.oldest_age, age);
        for (const demand_item& item : from.digest.items)
            if (item.service == service && is_known(item.organisation))
                add(result, item, milliseconds(from.digest.interval_ms), false);
    }
    return result;
}

// ---- Details ---------------------------------------------------------------

bool demand_picture::is_valid(const demand_digest& digest) const {
    if (digest.entry.empty() || digest.entry.size() > max_name_length ||
        digest.interval_ms == 0 || digest.interval_ms > max_interval_ms ||
        digest.items.size() > limits_.max_items)
        return false;
    const double most = limits_.max_units_per_s * digest.interval_ms / ms_per_s;
    return std::all_of(
        digest.items.begin(), digest.items.end(), [&](const demand_item& item) {
            return item.received <= most && item.served <= item.received;
        });
}

bool demand_picture::is_known(std::uint64_t organisation) const {
    return known_.contains(without_rank(organisation));
}

/// Returns true if half of the requests of `part` are older than the window.
bool demand_picture::has_left(const bucket& part, instant now) const {
    return now - part.began >=
           limits_.window + limits_.window / buckets_per_window / 2;
}

std::map<demand_picture::item_key, demand_picture::units>
demand_picture::own(instant now) const {
    std::map<item_key, units> result;
    for (const bucket& part : buckets_) {
        if (has_left(part, now))
            continue;
        for (const auto& [key, counted] : part.items) {
            units& sum = result[key];
            sum.received += counted.received;
            sum.served += counted.served;
        }
    }
    return result;
}

/// Returns the time over which own demand is counted; it is shorter than the
/// window after the start.
milliseconds demand_picture::covered(instant now) const {
    if (first_request_ == instant{})
        return limits_.window;
    return std::clamp(
        std::chrono::duration_cast<milliseconds>(now - first_request_),
        limits_.window / buckets_per_window, limits_.window);
}

void demand_picture::add(service_demand& result, const demand_item& item,
                         milliseconds interval, bool is_own) {
    const double per_s = ms_per_s / static_cast<double>(interval.count());
    organisation_demand& sum =
        result.organisations[without_rank(item.organisation)];
    const double received = item.received * per_s;
    sum.received.at(item.organisation & rank_mask) += received;
    sum.served += item.served * per_s;
    if (is_own)
        sum.own_received += received;
}

} // namespace ospreystage
