#include <ospreystage/weights/published_versions.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

constexpr milliseconds limit{8000};
const instant start{};

} // namespace

TEST_CASE("published versions - older versions end before the limit") {
    published_versions versions(limit);
    REQUIRE(versions.on_published("m", 2, true, start));
    CHECK(versions.min_version("m", start + seconds(1)) == 0);
    CHECK(versions.min_version("m", start + limit) == 2);
}

TEST_CASE(
    "published versions - a newer version does not extend the older limit") {
    published_versions versions(limit);
    REQUIRE(versions.on_published("m", 2, true, start));
    REQUIRE(versions.on_published("m", 3, true, start + seconds(3)));
    CHECK(versions.find("m")->version == 3);
    CHECK(versions.min_version("m", start + limit) == 2);
    CHECK(versions.min_version("m", start + seconds(3) + limit) == 3);
}

TEST_CASE(
    "published versions - a new limit holds for versions that are known") {
    published_versions versions(limit);
    REQUIRE(versions.on_published("m", 2, true, start));
    CHECK(versions.min_version("m", start + seconds(1)) == 0);
    versions.set_limit(seconds(2));
    CHECK(versions.min_version("m", start + seconds(1)) == 2);
}

TEST_CASE(
    "published versions - a publication before the start applies at once") {
    published_versions versions(limit);
    REQUIRE(versions.on_published("m", 2, false, start));
    CHECK(versions.min_version("m", start) == 2);
}

TEST_CASE("published versions - an older version is not accepted") {
    published_versions versions(limit);
    REQUIRE(versions.on_published("m", 3, true, start));
    CHECK_FALSE(versions.on_published("m", 2, true, start));
    CHECK(versions.find("m")->version == 3);
}

TEST_CASE(
    "published versions - a request that was sent in time may begin after "
    "the last one is sent and before the limit") {
    published_versions versions(limit);
    REQUIRE(versions.on_published("m", 2, true, start));
    const instant last_begin = start + limit - seconds(1);
    CHECK(versions.min_version("m", last_begin) == 2);
    CHECK(versions.min_begin_version("m", last_begin) == 0);
    CHECK(versions.min_begin_version("m", last_begin + milliseconds(1)) == 2);
}

TEST_CASE("published versions - a newer version that ends sending does not "
          "extend the older one's time to begin") {
    published_versions versions(limit);
    REQUIRE(versions.on_published("m", 2, true, start));
    REQUIRE(versions.on_published("m", 3, true, start + milliseconds(1500)));
    const instant now = start + limit;
    REQUIRE(versions.on_published("m", 4, true, now));
    CHECK(versions.min_version("m", now) == 3);
    CHECK(versions.min_begin_version("m", now) == 2);
}
