#pragma once

#include <ospreystage/core/exit_code.hpp>

#include <istream>
#include <string>
#include <vector>

namespace ospreystage {

/// Collects the log lines of one request from the logs of several processes.
class request_timeline {
  public:
    explicit request_timeline(std::string id) : id_(std::move(id)) {}

    /// Reads one log. Ignores any text that precedes the JSON object on a line
    /// and skips lines without a JSON object.
    void read(std::istream& log);

    /// Returns one text per log line, sorted by time: time, process, event and
    /// the event's other fields.
    [[nodiscard]] std::vector<std::string> describe() const;

  private:
    struct log_record {
        std::string time;
        std::string text;
    };

    std::string id_;
    std::vector<log_record> records_;
};

/// Prints the events of a request from log files, sorted by time. Returns
/// `usage` if a file cannot be read and `refused` if no line was found.
[[nodiscard]] exit_code explain(const std::string& id,
                                const std::vector<std::string>& files);

} // namespace ospreystage
