#pragma once

#include <string_view>

namespace ospreystage {

/// Returns the operators' console: one HTML page of forms.
///
/// The page reads the document in force from `/admin/v1/rollout`, builds the
/// draft from its forms, and shows the draft, its difference to the document
/// in force and what blocks its acceptance. What it submits is the draft.
[[nodiscard]] std::string_view console_page() noexcept;

} // namespace ospreystage
