#pragma once

#include <string_view>

namespace ospreystage {

/// Returns the operators' console, a single HTML page.
///
/// The page loads the document in force from `/admin/v1/rollout`, builds a
/// draft from its forms, shows the draft with its validation problems and its
/// differences from the document in force, and submits the draft.
[[nodiscard]] std::string_view console_page() noexcept;

} // namespace ospreystage
