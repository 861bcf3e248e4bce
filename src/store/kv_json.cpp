#include <ospreystage/impl/kv_json.hpp>

#include <absl/strings/escaping.h>

#include <stdexcept>

namespace ospreystage::impl {

std::string to_base64(const std::string& bytes) {
    return absl::Base64Escape({bytes.data(), bytes.size()});
}

std::string from_base64(const std::string& text) {
    std::string bytes;
    if (!absl::Base64Unescape({text.data(), text.size()}, &bytes))
        throw std::runtime_error("value is not valid base64");
    return bytes;
}

std::int64_t read_int64(const nlohmann::json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_string())
        return std::stoll(found->get<std::string>());
    return found->get<std::int64_t>();
}

kv_entry parse_kv_entry(const nlohmann::json& kv) {
    return {from_base64(kv.value("value", "")), read_int64(kv, "mod_revision")};
}

} // namespace ospreystage::impl
