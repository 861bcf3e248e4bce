#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds `requests`: load and faults against separate processes, one line of
/// JSON per case.
void add_requests(CLI::App& app, int& status);

} // namespace ospreystage::bench
