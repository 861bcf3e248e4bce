#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>

#include <string>
#include <vector>

namespace ospreystage {

/// State of a VM in the platform's list, which lags.
struct listed_vm {
    std::string vm;
    bool leaving = false;

    friend bool operator==(const listed_vm&, const listed_vm&) = default;
};

/// Decodes `[{"vm":"vm-1","state":"live"|"leaving"},…]`.
[[nodiscard]] leaf::result<std::vector<listed_vm>>
parse_vm_list(const std::string& json, const std::string& url);

/// Reads the list at `url` + `/vms`. Blocks for `timeout` at most a step
/// (connecting, sending, waiting); fails with `unavailable` or `malformed`.
[[nodiscard]] leaf::result<std::vector<listed_vm>>
read_vm_list(const std::string& url, milliseconds timeout);

} // namespace ospreystage
