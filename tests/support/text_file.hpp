#pragma once

#include <string>

namespace ospreystage::support {

/// Writes `text` to the file `path`, replacing it; returns false on failure.
bool write_text_file(const std::string& path, const std::string& text);

} // namespace ospreystage::support
