#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds `control`: how fast and how surely accepted edits come into force in
/// separate processes, under faults of the platform and of the processes.
void add_control(CLI::App& app, int& status);

} // namespace ospreystage::bench
