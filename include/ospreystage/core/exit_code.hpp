#pragma once

namespace ospreystage {

/// Exit codes of the binary; every subcommand uses the same ones.
enum class exit_code : int {
    success = 0,
    refused = 1,     ///< The document or edit was refused or is invalid.
    usage = 2,       ///< Invalid arguments or settings; nothing was started.
    not_known = 3,   ///< The outcome is not yet known; query it by its id.
    unreachable = 4, ///< The entry did not answer.
};

} // namespace ospreystage
