#pragma once

#include <ospreystage/core/ids.hpp>

#include <nlohmann/json.hpp>

#include <string>

namespace ospreystage {

/// Severity of a log line.
enum class log_level { trace, debug, info, warn, error };

/// Parses a level name of the settings; unknown names give `info`.
[[nodiscard]] log_level parse_log_level(const std::string& name) noexcept;

/// Sends JSON lines to standard error, each with the process's identity.
///
/// Call it once, before threads start. Lines look like
/// `{"time":"…","level":"info","process":"entry-1#17…","event":"…",…}`.
void start_logging(const process_id& self, log_level least);

/// Writes one line: an event name and its fields. Safe from any thread.
void log_event(log_level level, const std::string& event,
               const nlohmann::json& fields = nlohmann::json::object());

} // namespace ospreystage
