#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds the subcommand `decisions`: cost of the distribution's decisions.
void add_decisions(CLI::App& app, int& status);

} // namespace ospreystage::bench
