#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds `claims`: three ways to run a key at most once, compared by messages
/// and refusals under the same restarts, in one process and simulated time.
void add_claims(CLI::App& app, int& status);

} // namespace ospreystage::bench
