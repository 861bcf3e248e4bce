#include "limit_window.hpp"

#include <algorithm>

namespace ospreystage::testing {

namespace {

constexpr double allowed_factor = 1.5;
constexpr double allowed_in_addition = 5;

} // namespace

limit_window::limit_window(const std::vector<instant>& arrivals, instant from) {
    auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
    arrivals_ = static_cast<std::size_t>(arrivals.end() - first);
    auto end = first;
    for (; first != arrivals.end(); ++first) {
        while (end != arrivals.end() && *end < *first + length)
            ++end;
        max_arrivals_ =
            std::max(max_arrivals_, static_cast<std::size_t>(end - first));
    }
}

std::size_t limit_window::allowed(double per_second) {
    const std::chrono::duration<double> span = length;
    return static_cast<std::size_t>(allowed_factor * per_second * span.count() +
                                    allowed_in_addition);
}

} // namespace ospreystage::testing
