#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>

#include <string>
#include <vector>

namespace ospreystage {

/// State of a VM in the platform's list, which may be out of date.
struct listed_vm {
    std::string vm;
    bool leaving = false;

    friend bool operator==(const listed_vm&, const listed_vm&) = default;
};

/// Parses `[{"vm":"vm-1","state":"live"|"leaving"},…]`.
[[nodiscard]] leaf::result<std::vector<listed_vm>>
parse_vm_list(const std::string& json, const std::string& url);

/// Reads the list at `url` + `/vms`. `timeout` limits each step (connecting,
/// sending, receiving); fails with `unavailable` or `malformed`.
[[nodiscard]] leaf::result<std::vector<listed_vm>>
read_vm_list(const std::string& url, milliseconds timeout);

} // namespace ospreystage
