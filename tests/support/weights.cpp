#include <openssl/evp.h>
#include <tests/support/weights.hpp>

#include <algorithm>
#include <array>
#include <cstring>

namespace ospreystage::support {

namespace {

constexpr std::size_t sha256_bytes = 32;
constexpr std::size_t token_characters = 8;
constexpr std::size_t word_bytes = sizeof(std::uint64_t);

/// Finaliser of the splitmix64 generator.
std::uint64_t mix(std::uint64_t value) noexcept {
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::uint64_t stream_start(const weights_spec& spec) {
    std::uint64_t state = mix(spec.seed + 1);
    for (const char character : spec.name)
        state = mix(state ^ static_cast<unsigned char>(character));
    return state;
}

std::uint64_t word_at(std::uint64_t start, std::uint64_t index) noexcept {
    return mix(start + index * 0x9e3779b97f4a7c15ULL);
}

std::uint64_t chunk_count(const weights_spec& spec) noexcept {
    return (spec.bytes + spec.chunk_bytes - 1) / spec.chunk_bytes;
}

} // namespace

struct sha256_stream::context {
    EVP_MD_CTX* handle = EVP_MD_CTX_new();
};

sha256_stream::sha256_stream() : context_(std::make_unique<context>()) {
    EVP_DigestInit_ex(context_->handle, EVP_sha256(), nullptr);
}

sha256_stream::~sha256_stream() {
    EVP_MD_CTX_free(context_->handle);
}

void sha256_stream::update(const void* bytes, std::size_t size) {
    EVP_DigestUpdate(context_->handle, bytes, size);
}

digest sha256_stream::finish() {
    constexpr const char* digits = "0123456789abcdef";
    std::array<unsigned char, sha256_bytes> raw{};
    EVP_DigestFinal_ex(context_->handle, raw.data(), nullptr);
    digest text;
    for (const unsigned char byte : raw) {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

std::string weights_chunk(const weights_spec& spec, std::uint32_t index) {
    const std::uint64_t first = std::uint64_t{index} * spec.chunk_bytes;
    if (first >= spec.bytes)
        return {};
    const std::uint64_t last =
        std::min<std::uint64_t>(first + spec.chunk_bytes, spec.bytes);
    const std::uint64_t start = stream_start(spec);
    const std::uint64_t first_word = first / word_bytes;
    const std::uint64_t end_word = (last + word_bytes - 1) / word_bytes;
    std::string words((end_word - first_word) * word_bytes, '\0');
    for (std::uint64_t next = first_word; next < end_word; ++next) {
        const std::uint64_t word = word_at(start, next);
        std::memcpy(words.data() + (next - first_word) * word_bytes, &word,
                    word_bytes);
    }
    return words.substr(first - first_word * word_bytes, last - first);
}

weights_version describe(const weights_spec& spec) {
    weights_version result;
    result.description.total_bytes = spec.bytes;
    result.description.chunk_bytes = spec.chunk_bytes;
    sha256_stream all_bytes;
    for (std::uint32_t index = 0; index < chunk_count(spec); ++index) {
        const std::string chunk = weights_chunk(spec, index);
        all_bytes.update(chunk.data(), chunk.size());
        result.description.chunks.push_back(sha256(chunk));
    }
    result.weights_digest = all_bytes.finish();
    result.version = version_of(result.description);
    return result;
}

std::string expected_token(const digest& weights_digest,
                           const std::string& prompt, std::uint64_t index) {
    return sha256(weights_digest + "\n" + prompt + "\n" + std::to_string(index))
        .substr(0, token_characters);
}

} // namespace ospreystage::support
