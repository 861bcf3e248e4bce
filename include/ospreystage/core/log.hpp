#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace ospreystage {

/// Severity of a log line.
enum class log_level { trace, debug, info, warn, error };

/// Parses a level name from the settings; returns `info` for unknown names.
[[nodiscard]] log_level parse_log_level(const std::string& name) noexcept;

/// Starts logging to standard output: one JSON object a line, with the identity
/// of the process.
///
/// Call it once, before other threads start. Lines look like
/// `{"time":"…","level":"INFO","process":"entry-1#17…","event":"…",…}`.
/// A dedicated thread writes them from a buffer of fixed size, so that a slow
/// or closed reader of standard output delays no caller. Lines that do not fit
/// into the buffer are dropped and counted, and so are lines below `warn` that
/// exceed the limit per event and second.
void start_logging(const process_id& self, log_level min_level);

/// Logs an event with its fields as one line. Safe from any thread.
void log_event(log_level level, const std::string& event,
               const nlohmann::json& fields = nlohmann::json::object());

/// Writes `text` and a line end, unformatted, through the same buffer.
void print_line(const std::string& text);

/// Returns the number of lines dropped since the start of the process.
[[nodiscard]] std::uint64_t dropped_log_lines() noexcept;

/// Waits until all lines have been written, but no longer than `limit`.
void finish_logging(milliseconds limit = milliseconds(500));

} // namespace ospreystage
