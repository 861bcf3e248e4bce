#pragma once

#include <cstdint>

namespace ospreystage {

/// Id of a part of prompts that requests may share; a hash of the caller's.
using prompt_part = std::uint64_t;

} // namespace ospreystage
