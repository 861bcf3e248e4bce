#pragma once

#include "child_process.hpp"

#include <ospreystage/core/address.hpp>

#include <string>

namespace ospreystage::testing {

/// Starts `ospreystage platform entry` with a settings file of the platform's
/// format; its output goes to `output`.
[[nodiscard]] leaf::result<support::child_process>
start_platform_entry(const std::string& settings_file,
                     const std::string& output);

/// Starts `ospreystage platform ROLE`, as above.
[[nodiscard]] leaf::result<support::child_process>
start_platform_process(const std::string& role,
                       const std::string& settings_file,
                       const std::string& output);

/// Returns the whole response, with its head, to GET `target` on a connection
/// of its own; empty if the server does not answer.
[[nodiscard]] std::string get_raw(const address& server,
                                  const std::string& target);

} // namespace ospreystage::testing
