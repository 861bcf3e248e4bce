#pragma once

#include <ospreystage/core/exit_code.hpp>

#include <istream>
#include <string>
#include <vector>

namespace ospreystage {

/// Collects the log lines of one request over the logs of several processes.
class request_timeline {
  public:
    explicit request_timeline(std::string id) : id_(std::move(id)) {}

    /// Takes the lines of one log; what stands before a line's JSON and lines
    /// that are no JSON are skipped.
    void read(std::istream& log);

    /// Returns what happened, in the order of the lines' times, one text a
    /// line: time, process, event and the fields that decided.
    [[nodiscard]] std::vector<std::string> describe() const;

  private:
    struct log_record {
        std::string time;
        std::string text;
    };

    std::string id_;
    std::vector<log_record> records_;
};

/// Prints the life of a request from log files.
[[nodiscard]] exit_code explain(const std::string& id,
                                const std::vector<std::string>& files);

} // namespace ospreystage
