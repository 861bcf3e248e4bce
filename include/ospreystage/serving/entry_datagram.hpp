#pragma once

#include <ospreystage/fleet/site_copy.hpp>
#include <ospreystage/network/messages.hpp>

#include <vector>

namespace ospreystage {

/// A datagram and the entries that it goes to.
struct entry_datagram {
    std::vector<const site_entry*> receivers;
    message value;
};

} // namespace ospreystage
