#include <ospreystage/core/ids.hpp>
#include <ospreystage/fleet/feed_selection.hpp>

#include <algorithm>
#include <utility>

namespace ospreystage {

namespace {

/// Key of the rendezvous order; all entries of a region rank alike by it.
constexpr const char* ranking_key = "site feed";

} // namespace

feed_selection::feed_selection(std::string self, const options& limits,
                               instant started)
    : self_(std::move(self)), limits_(limits), started_(started) {}

bool feed_selection::reads_store(instant now) const {
    if (is_reader_)
        return true;
    if (requested_at_ && now - *requested_at_ <= limits_.requester_timeout)
        return true;
    const bool has_fresh_state =
        state_read_at_ && now - *state_read_at_ <= limits_.max_age;
    return !has_fresh_state && now - started_ >= limits_.startup_grace;
}

void feed_selection::set_entries(std::vector<std::string> names) {
    // An entry that is not registered yet, or not any more, counts itself as
    // the last one.
    const bool is_registered =
        std::find(names.begin(), names.end(), self_) != names.end();
    std::vector<std::string> order =
        rendezvous_order(ranking_key, std::move(names));
    if (!is_registered)
        order.push_back(self_);
    order.resize(std::min(order.size(), limits_.readers));
    is_reader_ = std::erase(order, self_) > 0;
    sources_ = std::move(order);
}

void feed_selection::on_state(instant read_at) {
    if (!state_read_at_ || *state_read_at_ < read_at)
        state_read_at_ = read_at;
}

void feed_selection::on_request(instant now) {
    requested_at_ = now;
}

} // namespace ospreystage
