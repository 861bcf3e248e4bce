#pragma once

namespace ospreystage {

/// Exit codes of the binary, the same for every subcommand.
enum class exit_code : int {
    success = 0,
    refused = 1,     ///< The document or edit was refused, or is invalid.
    usage = 2,       ///< Wrong arguments or settings; nothing was started.
    not_known = 3,   ///< The outcome is not yet known; ask again by id.
    unreachable = 4, ///< The entry did not answer.
};

} // namespace ospreystage
