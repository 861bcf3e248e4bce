#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds `control-items`: cost and number of the messages on the engines' load
/// at several sizes of the fleet, without a network.
void add_control_items(CLI::App& app, int& status);

} // namespace ospreystage::bench
