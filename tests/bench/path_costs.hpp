#pragma once

#include <tests/bench/request_cases.hpp>

namespace ospreystage::bench {

/// Measures what the path costs, and prints lines of JSON: latency against a
/// direct call of the engine, requests a second through one entry, and memory
/// and CPU time of each process at rest.
void measure_path(const case_options& options);

} // namespace ospreystage::bench
