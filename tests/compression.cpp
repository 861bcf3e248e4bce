#include <ospreystage/core/compression.hpp>

#include <catch2/catch.hpp>

#include <cstddef>
#include <optional>
#include <string>

using namespace ospreystage;

namespace {

/// Returns what `decompress` does, or nothing if it fails as malformed.
std::optional<std::string> decompressed(const std::string& bytes,
                                        std::size_t max_bytes) {
    error failure;
    auto text = value_or_error(
        [&] { return decompress(bytes, max_bytes, "test", "peer"); }, failure);
    if (!text)
        CHECK(failure.code == error_code::malformed);
    return text;
}

} // namespace

TEST_CASE("compression - a text comes back as it was") {
    const std::string text =
        GENERATE(std::string(), std::string("short"), std::string(100'000, 'x'),
                 std::string("\0\xff\n", 3));
    CHECK(decompressed(compress(text), text.size()) == text);
}

TEST_CASE("compression - cut, changed or extended data are refused") {
    const std::string bytes = compress(std::string(1000, 'x') + "end");
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(decompressed(bytes.substr(0, size), 2000));
    CHECK_FALSE(decompressed(bytes + "x", 2000));
    std::string changed = bytes;
    changed.back() ^= 1; // The checksum.
    CHECK_FALSE(decompressed(changed, 2000));
}

// Guards against a small answer that fills the memory of its reader.
TEST_CASE("compression - a text above the bound is refused") {
    const std::string bytes = compress(std::string(8'000'000, 'x'));
    CHECK(bytes.size() < 1'000'000);
    CHECK_FALSE(decompressed(bytes, 1'000'000));
}
