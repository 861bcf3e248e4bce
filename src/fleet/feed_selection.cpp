#include <ospreystage/core/ids.hpp>
#include <ospreystage/fleet/feed_selection.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>

namespace ospreystage {

namespace {

/// Key of the rendezvous order; all entries of a region rank alike by it.
constexpr const char* ranking_key = "site feed";
/// Factor from the entries up to a tier to those up to the next one.
constexpr std::size_t tier_growth = 4;

/// Returns the first reader of some regions, at most `count`, none of which is
/// empty. Entries ask different regions, by the order of `self`.
std::vector<std::string> first_readers(
    const std::map<std::string, std::vector<std::string>>& names_by_region,
    const std::string& self, std::size_t count) {
    std::vector<std::string> regions;
    regions.reserve(names_by_region.size());
    for (const auto& [region, names] : names_by_region)
        regions.push_back(region);
    regions = rendezvous_order(self, std::move(regions));
    regions.resize(std::min(count, regions.size()));
    std::vector<std::string> readers;
    readers.reserve(regions.size());
    for (const std::string& region : regions)
        readers.push_back(
            rendezvous_order(ranking_key, names_by_region.at(region)).front());
    return readers;
}

} // namespace

feed_selection::feed_selection(std::string self, const options& limits,
                               instant started)
    : self_(std::move(self)), limits_(limits), started_(started) {}

std::size_t feed_selection::tier_of(std::size_t rank) const noexcept {
    std::size_t tier = 0;
    for (std::size_t end = limits_.readers; rank >= end; end *= tier_growth)
        ++tier;
    return tier;
}

instant feed_selection::grace_end() const {
    return entries_known_at_.value_or(started_) + limits_.startup_grace;
}

bool feed_selection::waits_for_readers() const noexcept {
    return !state_read_at_ && !is_reader_ && !order_.empty();
}

instant feed_selection::startup_due() const {
    return waits_for_readers() ? grace_end() + limits_.tier_interval
                               : grace_end();
}

milliseconds feed_selection::overdue(instant now) const {
    instant due =
        state_read_at_ ? *state_read_at_ + limits_.max_age : startup_due();
    if (reader_receiving_at_)
        due = std::max(
            due, std::min(due + limits_.max_receiving_time,
                          *reader_receiving_at_ + limits_.receiving_timeout));
    return std::chrono::floor<milliseconds>(now - due);
}

/// Returns true if another entry may still pass on what it has in force, which
/// the store may lack after it has returned from an older copy.
bool feed_selection::may_answer_first(instant now) const {
    return !state_read_at_ && (order_.size() > 1 || !remote_readers_.empty()) &&
           now < grace_end();
}

bool feed_selection::reads_store(instant now) const {
    if (is_reader_)
        return !may_answer_first(now);
    // After a start, others ask by lists that are not complete yet. What this
    // entry gets from the readers is passed on to them soon enough.
    if (!waits_for_readers() && requested_at_ &&
        now - *requested_at_ <= limits_.requester_timeout)
        return true;
    const auto turn =
        limits_.tier_interval * static_cast<std::int64_t>(tier_ - 1);
    // A state of exactly the allowed age still counts.
    return state_read_at_ ? overdue(now) > turn : overdue(now) >= turn;
}

std::vector<std::string> feed_selection::others_of(std::size_t tier) const {
    std::vector<std::string> others;
    for (std::size_t rank = 0; rank < order_.size(); ++rank)
        if (tier_of(rank) == tier && order_[rank] != self_)
            others.push_back(order_[rank]);
    return others;
}

std::vector<std::string> feed_selection::readers() const {
    return others_of(0);
}

std::vector<std::string> feed_selection::sources(instant now) const {
    std::vector<std::string> first_tier;
    if (overdue(now) > milliseconds(0))
        first_tier = others_of(1);
    return first_tier.empty() ? readers() : first_tier;
}

std::vector<std::string> feed_selection::startup_sources(instant now) const {
    return is_reader_ && may_answer_first(now) ? remote_readers_
                                               : std::vector<std::string>();
}

milliseconds feed_selection::retry_pause() const noexcept {
    if (is_reader_)
        return milliseconds(0);
    milliseconds pause = limits_.tier_retry_pause;
    for (std::size_t tier = 1; tier < tier_; ++tier)
        pause *= static_cast<std::int64_t>(tier_growth);
    return pause;
}

void feed_selection::set_entries(
    std::vector<std::string> names,
    const std::map<std::string, std::vector<std::string>>& remote_names) {
    remote_readers_ =
        first_readers(remote_names, self_, limits_.startup_sources);
    // An entry that is not registered yet, or not any more, counts itself as
    // the last one.
    const bool is_registered =
        std::find(names.begin(), names.end(), self_) != names.end();
    std::vector<std::string> order =
        rendezvous_order(ranking_key, std::move(names));
    if (!is_registered)
        order.push_back(self_);
    const auto self = std::find(order.begin(), order.end(), self_);
    tier_ = tier_of(static_cast<std::size_t>(self - order.begin()));
    is_reader_ = tier_ == 0;
    order_ = std::move(order);
}

bool feed_selection::on_entries_known(instant now) {
    if (entries_known_at_)
        return false;
    entries_known_at_ = now;
    return true;
}

void feed_selection::on_state(instant read_at) {
    if (!state_read_at_ || *state_read_at_ < read_at)
        state_read_at_ = read_at;
}

void feed_selection::on_store_read(bool has_failed, instant read_at) {
    is_store_failing_ = has_failed;
    // Other entries go on by the state that they are given: their own reads
    // would end their turn.
    if (is_reader_ && !has_failed)
        on_state(read_at);
}

void feed_selection::on_request(instant now) {
    requested_at_ = now;
}

} // namespace ospreystage
