#include <ospreystage/impl/kv_json.hpp>

#include <absl/strings/escaping.h>
#include <absl/strings/numbers.h>

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
    std::int64_t value = 0;
    const bool is_valid =
        found->is_string()
            ? absl::SimpleAtoi(found->get_ref<const std::string&>(), &value)
            : found->is_number_integer() &&
                  absl::SimpleAtoi(found->dump(), &value);
    if (!is_valid)
        throw std::runtime_error(std::string(name) +
                                 " is not an integer of 64 bits");
    return value;
}

kv_entry parse_kv_entry(const nlohmann::json& kv) {
    return {from_base64(kv.value("value", "")), read_int64(kv, "mod_revision")};
}

} // namespace ospreystage::impl
