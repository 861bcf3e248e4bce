#include <ospreystage/core/ids.hpp>

#include <fmt/format.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace ospreystage {

namespace {

constexpr std::size_t digest_characters = 64;

bool is_lower_hex(char character) noexcept {
    return (character >= '0' && character <= '9') ||
           (character >= 'a' && character <= 'f');
}

} // namespace

digest sha256(const void* bytes, std::size_t size) {
    static constexpr char digits[] = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> raw{};
    SHA256(static_cast<const unsigned char*>(bytes), size, raw.data());
    digest text;
    text.reserve(digest_characters);
    for (const unsigned char byte : raw) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

digest sha256(const std::string& text) {
    return sha256(text.data(), text.size());
}

bool is_digest(const std::string& text) noexcept {
    return text.size() == digest_characters &&
           std::all_of(text.begin(), text.end(), is_lower_hex);
}

std::uint64_t new_incarnation() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::string to_string(const process_id& id) {
    return fmt::format("{}#{}", id.name, id.incarnation);
}

std::string to_string(const attempt_id& id) {
    return fmt::format("{}/{}", to_string(id.entry), id.sequence);
}

std::vector<std::string> rendezvous_order(const std::string& key,
                                          std::vector<std::string> candidates) {
    std::vector<std::pair<digest, std::string>> weighted;
    weighted.reserve(candidates.size());
    for (std::string& candidate : candidates) {
        digest weight = sha256(fmt::format("{}\n{}", key, candidate));
        weighted.emplace_back(std::move(weight), std::move(candidate));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>());
    std::vector<std::string> ordered;
    ordered.reserve(weighted.size());
    for (auto& [weight, candidate] : weighted)
        ordered.push_back(std::move(candidate));
    return ordered;
}

} // namespace ospreystage
