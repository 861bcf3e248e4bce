#include <ospreystage/weights/named_versions.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

constexpr milliseconds limit{8000};
const instant start{};

} // namespace

TEST_CASE("named versions - older versions end before the limit") {
    named_versions versions(limit);
    REQUIRE(versions.on_named("m", 2, true, start));
    CHECK(versions.least("m", start + seconds(1)) == 0);
    CHECK(versions.least("m", start + limit) == 2);
}

TEST_CASE("named versions - a newer version does not extend the older limit") {
    named_versions versions(limit);
    REQUIRE(versions.on_named("m", 2, true, start));
    REQUIRE(versions.on_named("m", 3, true, start + seconds(3)));
    CHECK(versions.find("m")->version == 3);
    CHECK(versions.least("m", start + limit) == 2);
    CHECK(versions.least("m", start + seconds(3) + limit) == 3);
}

TEST_CASE("named versions - a new limit holds for versions that are known") {
    named_versions versions(limit);
    REQUIRE(versions.on_named("m", 2, true, start));
    CHECK(versions.least("m", start + seconds(1)) == 0);
    versions.set_limit(seconds(2));
    CHECK(versions.least("m", start + seconds(1)) == 2);
}

TEST_CASE("named versions - one that was named before the start is due") {
    named_versions versions(limit);
    REQUIRE(versions.on_named("m", 2, false, start));
    CHECK(versions.least("m", start) == 2);
}

TEST_CASE("named versions - an older version is not taken back") {
    named_versions versions(limit);
    REQUIRE(versions.on_named("m", 3, true, start));
    CHECK_FALSE(versions.on_named("m", 2, true, start));
    CHECK(versions.find("m")->version == 3);
}
