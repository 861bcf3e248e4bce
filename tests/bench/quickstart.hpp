#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds `quickstart`: the whole path in separate processes, and a summary.
void add_quickstart(CLI::App& app, int& status);

} // namespace ospreystage::bench
