#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds `distribution`: time and origin bytes until N replicas are live.
void add_distribution(CLI::App& app, int& status);

} // namespace ospreystage::bench
