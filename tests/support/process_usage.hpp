#pragma once

#include <ospreystage/core/clock.hpp>

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace ospreystage::support {

/// Processor time and memory of a process.
struct process_usage {
    milliseconds processor{};         ///< User and system time so far.
    std::uint64_t resident_bytes = 0; ///< Memory that is in use now.
};

/// Reads the usage of a process; nothing if it has ended.
[[nodiscard]] std::optional<process_usage> usage_of(pid_t pid);

/// Returns the largest amount of memory that the process has held so far
/// (`VmHWM`), in bytes; nothing if it has ended.
[[nodiscard]] std::optional<std::uint64_t> peak_resident_bytes(pid_t pid);

/// Returns the number of descriptors that the process has open; 0 if it has
/// ended.
[[nodiscard]] std::size_t open_descriptors(pid_t pid);

} // namespace ospreystage::support
