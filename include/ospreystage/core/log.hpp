#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace ospreystage {

/// Severity of a log line.
enum class log_level { trace, debug, info, warn, error };

/// Parses a level name of the settings; unknown names give `info`.
[[nodiscard]] log_level parse_log_level(const std::string& name) noexcept;

/// Sends JSON lines to standard output, each with the process's identity.
///
/// Call it once, before threads start. Lines look like
/// `{"time":"…","level":"INFO","process":"entry-1#17…","event":"…",…}`. They
/// go through a buffer of fixed size that a thread of its own empties, so that
/// a reader that is slow, or gone, delays nothing; what has no room is counted
/// and left out. So are lines below `warn` beyond a number a second and event.
void start_logging(const process_id& self, log_level min_level);

/// Writes one line: an event name and its fields. Safe from any thread.
void log_event(log_level level, const std::string& event,
               const nlohmann::json& fields = nlohmann::json::object());

/// Writes a line as it is, through the same buffer.
void print_line(const std::string& text);

/// Lines that were left out since the start.
[[nodiscard]] std::uint64_t dropped_log_lines() noexcept;

/// Waits until all lines were written, for no longer than `limit`.
void finish_logging(milliseconds limit = milliseconds(500));

} // namespace ospreystage
