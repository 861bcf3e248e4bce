#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/error.hpp>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace ospreystage::support {

/// A process started by the harness; it ends with this object.
class child_process {
  public:
    // ---- Construction ------------------------------------------------------

    /// Starts `arguments[0]` with its output written to `log_file`.
    [[nodiscard]] static leaf::result<child_process>
    start(const std::vector<std::string>& arguments,
          const std::string& log_file);

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;

    /// Kills exactly this process and reaps it.
    ~child_process();

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] pid_t pid() const noexcept { return pid_; }
    [[nodiscard]] const std::string& log_file() const noexcept {
        return log_file_;
    }

    /// Returns the output so far.
    [[nodiscard]] std::string log_text() const;

    /// Returns true until the process has ended.
    [[nodiscard]] bool running();

    /// Waits until the output has a line equal to `line`.
    ///
    /// Returns false if the process ends or `timeout` passes first.
    [[nodiscard]] bool await_line(const std::string& line,
                                  milliseconds timeout);

    /// Waits for the end; returns the exit status (128 + signal if it was
    /// killed), or nothing if `timeout` passes first.
    [[nodiscard]] std::optional<int> wait(milliseconds timeout);

    // ---- Signals -----------------------------------------------------------

    void terminate(); ///< Asks for a graceful stop.
    void hang_up();   ///< Tells that settings have changed.
    void kill();      ///< Ends the process and reaps it.
    void freeze();    ///< Stops the process until `thaw`.
    void thaw();

  private:
    child_process(pid_t pid, std::string log_file);
    void send(int signal) const;
    void reap(int options);

    pid_t pid_ = 0;
    std::string log_file_;
    std::optional<int> status_;
};

} // namespace ospreystage::support
