#pragma once

#include <ospreystage/core/exit_code.hpp>
#include <ospreystage/core/settings.hpp>

#include <string>
#include <vector>

namespace ospreystage {

/// Runs an entry until SIGTERM or SIGINT, then drains it before returning.
[[nodiscard]] exit_code run_entry(const settings& configuration);

/// Runs an agent until SIGTERM or SIGINT, then drains it before returning.
[[nodiscard]] exit_code run_agent(const settings& configuration);

/// Validates settings files; prints the first error of each.
[[nodiscard]] exit_code check_settings(const std::vector<std::string>& files);

/// Validates rollout documents; prints every problem of each.
[[nodiscard]] exit_code check_rollouts(const std::vector<std::string>& files);

/// Arguments shared by the `ctl` subcommands.
struct ctl_options {
    std::string entry = "http://127.0.0.1:8080"; ///< URL of any entry.
    std::string token;                           ///< Operator's token.
    std::string file;         ///< Path of a rollout document.
    std::string operation_id; ///< Empty: generated.
    /// Revision to show, to roll back to, or on which an operation was based.
    revision number = 0;
};

/// Validates a document at the entry and prints its problems.
[[nodiscard]] exit_code ctl_validate(const ctl_options& options);

/// Prints the changes between the document in force and a file.
[[nodiscard]] exit_code ctl_diff(const ctl_options& options);

/// Submits a document and prints whether it was accepted, rejected, or its
/// outcome is not yet known.
[[nodiscard]] exit_code ctl_apply(const ctl_options& options);

/// Prints the outcome of an operation.
[[nodiscard]] exit_code ctl_operation(const ctl_options& options);

/// Prints the revision in force on each VM, since when, and which members are
/// missing.
[[nodiscard]] exit_code ctl_status(const ctl_options& options);

/// Prints the document in force, or revision `number` from the history.
[[nodiscard]] exit_code ctl_show(const ctl_options& options);

/// Prints the accepted revisions with their operator, time and base revision.
[[nodiscard]] exit_code ctl_history(const ctl_options& options);

/// Accepts the content of an earlier revision as a new revision.
[[nodiscard]] exit_code ctl_rollback(const ctl_options& options);

/// Prints the state dump of the process at the URL `entry`.
[[nodiscard]] exit_code ctl_dump(const ctl_options& options);

} // namespace ospreystage
