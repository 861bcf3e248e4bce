#pragma once

#include <ospreystage/core/address.hpp>

#include <string>

namespace ospreystage {

/// Returns the address of `http://host[:port][/path]`; the port is 80 if it is
/// missing. A host name is looked up, which blocks. Returns port 0 and logs
/// `host_not_resolved` if there is no address.
[[nodiscard]] address resolve_url(const std::string& url);

} // namespace ospreystage
