#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds `limits`: compares ways in which entries keep to a server's limit.
void add_limits(CLI::App& app, int& status);

} // namespace ospreystage::bench
