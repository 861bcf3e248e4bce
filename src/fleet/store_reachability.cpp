#include <ospreystage/fleet/store_reachability.hpp>

namespace ospreystage {

void store_reachability::on_failure(instant began) {
    const bool is_outdated = answered_at_ && began < *answered_at_;
    if (!is_outdated && !lost_since_)
        lost_since_ = began;
}

bool store_reachability::on_answer(instant now) {
    const bool ends_loss = lost_since_ && now - *lost_since_ >= min_loss;
    lost_since_.reset();
    answered_at_ = now;
    return ends_loss;
}

} // namespace ospreystage
