#pragma once

#include <ospreystage/fleet/entry_list.hpp>
#include <ospreystage/routing/routing_configuration.hpp>

#include <string>
#include <vector>

namespace ospreystage {

/// Returns the entries to name to a caller of `host`.
///
/// Without routes that have allowed regions, all entries. Otherwise those in
/// the caller's region or in a region that every restricted route allows, so
/// that no request on them arrives elsewhere; if there are none, those in a
/// region of any such route, and if there are none either, all.
[[nodiscard]] std::vector<listed_entry>
select_entries(const std::vector<listed_entry>& entries,
               const std::vector<route>& routes, const std::string& host,
               const std::string& caller_region);

} // namespace ospreystage
