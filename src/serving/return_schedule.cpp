#include <ospreystage/serving/return_schedule.hpp>

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace ospreystage {

namespace {

std::chrono::duration<double> in_seconds(instant::duration time) {
    return time;
}

} // namespace

return_schedule::return_schedule(const options& limits, std::uint64_t seed)
    : limits_(limits), random_(seed) {}

milliseconds return_schedule::book(const return_request& request, instant now) {
    const auto part = milliseconds(static_cast<std::int64_t>(
        static_cast<double>(request.time_left.count()) * limits_.time_part));
    const milliseconds latest =
        std::clamp(part, milliseconds(0), limits_.max_delay);
    const milliseconds earliest = std::min(limits_.min_delay, latest);

    bookings& booked = bookings_[{request.service, request.organisation}];
    advance(booked, now);
    const auto slot_of = [&](milliseconds delay) {
        return static_cast<std::size_t>((now + delay - booked.begin) /
                                        limits_.slot);
    };
    const std::size_t last = slot_of(latest);
    if (booked.slots.size() <= last)
        booked.slots.resize(last + 1);

    // What is booked is served before this request, unless it has waited
    // longer: the less time is left of the limit, the further ahead it goes.
    const double ahead =
        std::accumulate(booked.slots.begin(), booked.slots.end(), 0.0);
    const double left_part =
        request.time_limit > milliseconds(0)
            ? std::clamp(static_cast<double>(request.time_left.count()) /
                             static_cast<double>(request.time_limit.count()),
                         0.0, 1.0)
            : 1.0;
    const double wait_s = request.rate > 0
                              ? ahead / request.rate * left_part
                              : in_seconds(limits_.max_delay).count();
    const milliseconds expected =
        earliest +
        milliseconds(static_cast<std::int64_t>(
            std::min(wait_s, in_seconds(limits_.max_delay).count()) * 1000));

    const auto at = [&](milliseconds delay) {
        return booked.slots.begin() +
               static_cast<std::ptrdiff_t>(slot_of(delay));
    };
    const auto end = at(latest) + 1;
    auto chosen = end;
    if (expected <= latest)
        chosen = std::find_if(at(expected), end, [&](double units) {
            return units < request.rate * in_seconds(limits_.slot).count();
        });
    // More is booked than the caller's time allows for: the later half of that
    // time is filled evenly.
    if (chosen == end)
        chosen = std::min_element(at(earliest + (latest - earliest) / 2), end);
    *chosen += static_cast<double>(request.units);

    // Entries book on their own: within a slot the time is random.
    const instant slot_begin =
        booked.begin + limits_.slot * (chosen - booked.slots.begin());
    std::uniform_int_distribution<std::int64_t> offset(0, limits_.slot.count() -
                                                              1);
    const auto delay = std::chrono::ceil<milliseconds>(slot_begin - now) +
                       milliseconds(offset(random_));
    return std::clamp(delay, earliest, latest);
}

/// Drops the slots that have passed.
void return_schedule::advance(bookings& booked, instant now) const {
    if (booked.slots.empty())
        booked.begin = now;
    while (!booked.slots.empty() && booked.begin + limits_.slot <= now) {
        booked.slots.pop_front();
        booked.begin += limits_.slot;
    }
    if (booked.slots.empty())
        booked.begin = now;
}

} // namespace ospreystage
