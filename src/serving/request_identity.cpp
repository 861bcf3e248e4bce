#include <ospreystage/core/whole_request.hpp>
#include <ospreystage/serving/request_identity.hpp>

#include <absl/strings/ascii.h>
#include <openssl/evp.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>

namespace ospreystage {

namespace {

constexpr std::size_t id_bytes = sizeof(prompt_part);
constexpr unsigned bits_per_byte = 8;

using byte_array = std::array<unsigned char, id_bytes>;

byte_array to_bytes(std::uint64_t value) {
    byte_array bytes{};
    for (unsigned char& byte : bytes) {
        byte = static_cast<unsigned char>(value & 0xFFU);
        value >>= bits_per_byte;
    }
    return bytes;
}

/// Incremental SHA-256 over fields, each of which follows its length, so that
/// no two lists of fields are hashed alike.
class field_hash {
  public:
    field_hash() : context_(EVP_MD_CTX_new(), &EVP_MD_CTX_free) {
        EVP_DigestInit_ex(context_.get(), EVP_sha256(), nullptr);
    }

    void add(std::string_view field) {
        const byte_array size = to_bytes(field.size());
        EVP_DigestUpdate(context_.get(), size.data(), size.size());
        EVP_DigestUpdate(context_.get(), field.data(), field.size());
    }

    /// Returns the first 64 bits of the hash.
    std::uint64_t finish() {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
        EVP_DigestFinal_ex(context_.get(), digest.data(), nullptr);
        std::uint64_t result = 0;
        for (std::size_t index = 0; index < id_bytes; ++index)
            result = result << bits_per_byte | digest[index];
        return result;
    }

  private:
    std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context_;
};

} // namespace

prompt_part request_identity(const http_request& request,
                             const caller_request& caller,
                             const std::string& organisation) {
    const bool has_organisation = !organisation.empty();
    field_hash hash;
    hash.add(request.method);
    hash.add(absl::AsciiStrToLower(caller.host));
    hash.add(request.target);
    hash.add(has_organisation ? "organisation" : "key");
    hash.add(has_organisation ? organisation : caller.key);
    hash.add(caller.prompt);
    hash.add(body_of(request));
    return make_whole_request(hash.finish());
}

} // namespace ospreystage
