#include <ospreystage/core/log.hpp>

#include <log4cplus/consoleappender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <array>
#include <memory>
#include <utility>

namespace ospreystage {

namespace {

/// Writes each event as one JSON object; the message holds its fields.
class json_layout : public log4cplus::Layout {
  public:
    explicit json_layout(std::string process) : process_(std::move(process)) {}

    void formatAndAppend( // NOLINT(readability-identifier-naming)
        log4cplus::tostream& out,
        const log4cplus::spi::InternalLoggingEvent& event) override {
        nlohmann::json line =
            nlohmann::json::parse(event.getMessage(), nullptr, false);
        if (!line.is_object())
            line = {{"event", event.getMessage()}};
        line["time"] = log4cplus::helpers::getFormattedTime(
            "%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true);
        line["level"] =
            log4cplus::getLogLevelManager().toString(event.getLogLevel());
        line["process"] = process_;
        out << line.dump(-1, ' ', false,
                         nlohmann::json::error_handler_t::replace)
            << '\n';
    }

  private:
    std::string process_;
};

log4cplus::LogLevel to_library_level(log_level level) {
    constexpr std::array<log4cplus::LogLevel, 5> levels{
        log4cplus::TRACE_LOG_LEVEL, log4cplus::DEBUG_LOG_LEVEL,
        log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
        log4cplus::ERROR_LOG_LEVEL};
    return levels[static_cast<std::size_t>(level)];
}

log4cplus::Logger root() {
    return log4cplus::Logger::getRoot();
}

} // namespace

log_level parse_log_level(const std::string& name) noexcept {
    if (name == "trace")
        return log_level::trace;
    if (name == "debug")
        return log_level::debug;
    if (name == "warn")
        return log_level::warn;
    if (name == "error")
        return log_level::error;
    return log_level::info;
}

void start_logging(const process_id& self, log_level least) {
    static const log4cplus::Initializer library;
    const log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<json_layout>(to_string(self)));
    root().removeAllAppenders();
    root().addAppender(appender);
    root().setLogLevel(to_library_level(least));
}

void log_event(log_level level, const std::string& event,
               const nlohmann::json& fields) {
    const log4cplus::LogLevel library_level = to_library_level(level);
    if (!root().isEnabledFor(library_level) || root().getAllAppenders().empty())
        return;
    nlohmann::json line = fields;
    line["event"] = event;
    root().forcedLog(
        library_level,
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

} // namespace ospreystage
