#include <tests/support/text_file.hpp>

#include <fstream>

namespace ospreystage::support {

bool write_text_file(const std::string& path, const std::string& text) {
    std::ofstream out(path, std::ios::trunc);
    out << text;
    return static_cast<bool>(out.flush());
}

} // namespace ospreystage::support
