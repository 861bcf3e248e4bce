#pragma once

#include <CLI/CLI.hpp>

namespace ospreystage::bench {

/// Adds `capacity`: what a request and a token cost an entry and an agent.
void add_capacity(CLI::App& app, int& status);

} // namespace ospreystage::bench
