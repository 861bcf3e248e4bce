#pragma once

#include <tests/bench/request_cases.hpp>

namespace ospreystage::bench {

/// Compares the routing strategies at 60, 90 and 120 percent of the engines'
/// capacity; prints one line of JSON per run.
///
/// Returns true if the first token of `two_choice` comes as early as that of
/// `round_robin` at 90 percent, for answers of equal and of varied lengths
/// (95th percentiles).
[[nodiscard]] bool compare_routing(const case_options& options);

} // namespace ospreystage::bench
