#pragma once

#include <ospreystage/core/exit_code.hpp>
#include <ospreystage/core/settings.hpp>

#include <string>
#include <vector>

namespace ospreystage {

/// Runs an entry until SIGTERM or SIGINT, then drains it.
[[nodiscard]] exit_code run_entry(const settings& configuration);

/// Runs an agent until SIGTERM or SIGINT, then drains it.
[[nodiscard]] exit_code run_agent(const settings& configuration);

/// Checks settings files; prints the first fault of each.
[[nodiscard]] exit_code check_settings(const std::vector<std::string>& files);

/// Checks rollout documents; prints every problem of each.
[[nodiscard]] exit_code check_rollouts(const std::vector<std::string>& files);

/// Arguments of `ctl` that every subcommand shares.
struct ctl_options {
    std::string entry = "http://127.0.0.1:8080"; ///< URL of any entry.
    std::string token;                           ///< Operator's token.
    std::string file;                            ///< Rollout document.
    std::string operation_id;                    ///< Empty: a new one is made.
    /// Revision to show, to roll back to, or that an operation was based on.
    revision number = 0;
};

/// Prints what blocks a document, as the entry sees it.
[[nodiscard]] exit_code ctl_validate(const ctl_options& options);

/// Prints the difference between the document in force and a file.
[[nodiscard]] exit_code ctl_diff(const ctl_options& options);

/// Submits a document and prints accepted, rejected or not yet known.
[[nodiscard]] exit_code ctl_apply(const ctl_options& options);

/// Prints what became of an operation.
[[nodiscard]] exit_code ctl_operation(const ctl_options& options);

/// Prints per VM what is in force, since when, and who is missing.
[[nodiscard]] exit_code ctl_status(const ctl_options& options);

/// Prints the document in force, or the history's `number`.
[[nodiscard]] exit_code ctl_show(const ctl_options& options);

/// Prints the accepted revisions with who, when and from which.
[[nodiscard]] exit_code ctl_history(const ctl_options& options);

/// Accepts the content of an earlier revision as a new revision.
[[nodiscard]] exit_code ctl_rollback(const ctl_options& options);

/// Prints the state of the process that `entry` names.
[[nodiscard]] exit_code ctl_dump(const ctl_options& options);

} // namespace ospreystage
