#pragma once

#include <ospreystage/core/clock.hpp>

#include <thread>

namespace ospreystage::support {

/// Waits until `condition` holds; returns false if it does not within `limit`.
template <typename Condition>
bool eventually(milliseconds limit, Condition condition,
                milliseconds pause = milliseconds(5)) {
    const instant end = steady::now() + limit;
    while (!condition()) {
        if (steady::now() >= end)
            return false;
        std::this_thread::sleep_for(pause);
    }
    return true;
}

} // namespace ospreystage::support
