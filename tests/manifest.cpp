#include <ospreystage/weights/manifest.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

TEST_CASE("manifest - its digest identifies the version") {
    const manifest value = make_manifest(std::string(2500, 'w'), 1000);
    CHECK(value.chunks.size() == 3);
    CHECK(value.chunk_size(0) == 1000);
    CHECK(value.chunk_size(2) == 500);
    error failure;
    const auto parsed = value_or_error(
        [&] { return parse_manifest(to_json_text(value), version_of(value)); },
        failure);
    REQUIRE(parsed.has_value());
    CHECK(*parsed == value);
}

TEST_CASE("manifest - a changed byte is rejected") {
    const manifest value = make_manifest(std::string(2500, 'w'), 1000);
    std::string text = to_json_text(value);
    text[text.size() / 2] ^= 1;
    error failure;
    const auto parsed = value_or_error(
        [&] { return parse_manifest(text, version_of(value)); }, failure);
    CHECK_FALSE(parsed.has_value());
    CHECK(failure.code == error_code::malformed);
}
