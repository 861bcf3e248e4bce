#include <ospreystage/core/line_ring.hpp>
#include <ospreystage/core/log.hpp>

#include <absl/synchronization/mutex.h>
#include <log4cplus/appender.h>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <map>
#include <memory>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

namespace ospreystage {

namespace {

/// Capacity for lines that wait for standard output: some 4,000 lines of 240
/// bytes, the mean length in the logs of the incident scenarios.
constexpr std::size_t ring_capacity_bytes = 1024 * 1024;
/// Limit per event and second for lines below `warn`. An entry wrote at most 68
/// in the incident scenarios and in scale-2, at both sites.
constexpr std::uint32_t lines_per_second = 1000;
/// Minimum interval between two reports of dropped lines.
constexpr seconds drop_report_interval{1};

/// Formats each event as one JSON object a line; the log4cplus message is the
/// JSON object of the event's fields.
class json_layout : public log4cplus::Layout {
  public:
    explicit json_layout(std::string process) : process_(std::move(process)) {}

    void formatAndAppend( // NOLINT(readability-identifier-naming)
        log4cplus::tostream& out,
        const log4cplus::spi::InternalLoggingEvent& event) override {
        out << R"({"time":")"
            << log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ",
                                                    event.getTimestamp(), true)
            << R"(","level":")"
            << log4cplus::getLogLevelManager().toString(event.getLogLevel())
            << R"(","process":)" << nlohmann::json(process_).dump() << ','
            << std::string_view(event.getMessage()).substr(1) << '\n';
    }

  private:
    std::string process_;
};

/// State of the log. Never destroyed, because the writer thread may still be
/// blocked on standard output when the process exits.
struct log_state {
    line_ring ring{ring_capacity_bytes};
    absl::Mutex mutex;
    line_quota quota ABSL_GUARDED_BY(mutex){lines_per_second};
    std::map<std::string, std::uint64_t> dropped ABSL_GUARDED_BY(mutex);
    instant drops_reported_at ABSL_GUARDED_BY(mutex){};
    std::atomic<std::uint64_t> dropped_total{0};
};

log_state& state() {
    static log_state& instance = *std::make_unique<log_state>().release();
    return instance;
}

/// Writes queued lines to standard output until the process exits.
void write_lines() {
    for (;;) {
        const std::string text = state().ring.take();
        std::string_view remaining = text;
        while (!remaining.empty()) {
            const ssize_t count =
                ::write(STDOUT_FILENO, remaining.data(), remaining.size());
            if (count < 0 && errno == EINTR)
                continue;
            if (count < 0)
                break; // Standard output is closed or failing.
            remaining.remove_prefix(static_cast<std::size_t>(count));
        }
        state().ring.on_written();
    }
}

/// Starts the writer thread with all signals blocked, so that other threads
/// handle them.
bool start_writer() {
    sigset_t all_signals;
    sigset_t previous_mask;
    sigfillset(&all_signals);
    pthread_sigmask(SIG_SETMASK, &all_signals, &previous_mask);
    std::thread(write_lines).detach();
    pthread_sigmask(SIG_SETMASK, &previous_mask, nullptr);
    return true;
}

void count_overflow() {
    ++state().dropped_total;
    const absl::MutexLock lock(&state().mutex);
    ++state().dropped["no_room"];
}

/// Appends formatted lines to the ring.
class ring_appender : public log4cplus::Appender {
  public:
    ~ring_appender() override { destructorImpl(); }
    ring_appender() = default;
    ring_appender(const ring_appender&) = delete;
    ring_appender& operator=(const ring_appender&) = delete;
    void close() override {}

  protected:
    void append(const log4cplus::spi::InternalLoggingEvent& event) override {
        std::ostringstream line;
        layout->formatAndAppend(line, event);
        const bool is_failure =
            event.getLogLevel() >= log4cplus::WARN_LOG_LEVEL;
        if (!state().ring.push(line.str(), is_failure))
            count_overflow();
    }
};

log4cplus::LogLevel to_log4cplus_level(log_level level) {
    constexpr std::array<log4cplus::LogLevel, 5> levels{
        log4cplus::TRACE_LOG_LEVEL, log4cplus::DEBUG_LOG_LEVEL,
        log4cplus::INFO_LOG_LEVEL, log4cplus::WARN_LOG_LEVEL,
        log4cplus::ERROR_LOG_LEVEL};
    return levels[static_cast<std::size_t>(level)];
}

log4cplus::Logger root() {
    return log4cplus::Logger::getRoot();
}

void write_event(log_level level, const std::string& event,
                 const nlohmann::json& fields) {
    nlohmann::json line = fields;
    line["event"] = event;
    root().forcedLog(
        to_log4cplus_level(level),
        line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

using dropped_counts = std::map<std::string, std::uint64_t>;

/// Applies the quota to a line; returns false if the line must be dropped.
///
/// Moves the counts of dropped lines to `newly_dropped` if a report of them is
/// due.
bool admit(log_level level, const std::string& event,
           dropped_counts& newly_dropped) {
    const instant now = steady::now();
    const absl::MutexLock lock(&state().mutex);
    if (!state().dropped.empty() &&
        now - state().drops_reported_at >= drop_report_interval) {
        state().drops_reported_at = now;
        newly_dropped = std::exchange(state().dropped, {});
    }
    if (level >= log_level::warn || state().quota.take(event, now))
        return true;
    ++state().dropped_total;
    ++state().dropped[event];
    return false;
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

void start_logging(const process_id& self, log_level min_level) {
    static const log4cplus::Initializer initializer;
    const log4cplus::SharedAppenderPtr appender(new ring_appender());
    appender->setLayout(std::make_unique<json_layout>(to_string(self)));
    root().removeAllAppenders();
    root().addAppender(appender);
    root().setLogLevel(to_log4cplus_level(min_level));
    static const bool is_started = start_writer();
    static_cast<void>(is_started);
}

void log_event(log_level level, const std::string& event,
               const nlohmann::json& fields) {
    if (!root().isEnabledFor(to_log4cplus_level(level)) ||
        root().getAllAppenders().empty())
        return;
    dropped_counts newly_dropped;
    const bool is_admitted = admit(level, event, newly_dropped);
    if (!newly_dropped.empty())
        write_event(log_level::warn, "log_lines_dropped",
                    {{"lines", newly_dropped}});
    if (is_admitted)
        write_event(level, event, fields);
}

void print_line(const std::string& text) {
    if (!state().ring.push(text + "\n", true))
        count_overflow();
}

std::uint64_t dropped_log_lines() noexcept {
    return state().dropped_total;
}

void finish_logging(milliseconds limit) {
    state().ring.wait_until_written(limit);
}

} // namespace ospreystage
