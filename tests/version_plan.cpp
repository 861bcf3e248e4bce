#include <ospreystage/weights/version_plan.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

const instant start = instant{} + seconds(100);

manifest make_description(char fill) {
    return make_manifest(std::string(100, fill), 50);
}

version_plan with_two_versions() {
    version_plan plan;
    plan.on_in_use(1);
    REQUIRE(plan.on_published(2, start, true));
    REQUIRE(plan.on_published(3, start + seconds(3), true));
    plan.on_manifest(2, make_description('2'));
    plan.on_manifest(3, make_description('3'));
    return plan;
}

} // namespace

TEST_CASE("version plan - the older version is fetched first") {
    const version_plan plan = with_two_versions();
    const auto requested = plan.requested();
    REQUIRE(requested.size() == 2);
    CHECK(requested[0].version == version_of(make_description('2')));
    CHECK(requested[0].priority > requested[1].priority);
}

TEST_CASE("version plan - the target is the newest version that is held") {
    version_plan plan = with_two_versions();
    CHECK(plan.target()->number == 3);
    REQUIRE(plan.on_held(version_of(make_description('2'))));
    CHECK(plan.target()->number == 2);
    REQUIRE(plan.on_held(version_of(make_description('3'))));
    CHECK(plan.target()->number == 3);
    CHECK(plan.find(2) == nullptr);
    CHECK(plan.is_complete());
}

TEST_CASE("version plan - a skipped version keeps its publication time") {
    version_plan plan = with_two_versions();
    REQUIRE(plan.on_held(version_of(make_description('3'))));
    CHECK(plan.oldest_publication() == start);
    plan.on_in_use(3);
    CHECK_FALSE(plan.oldest_publication());
}

TEST_CASE("version plan - an observed publication replaces an estimate") {
    version_plan plan;
    plan.on_in_use(1);
    REQUIRE(plan.on_published(2, start - seconds(8), false));
    CHECK_FALSE(plan.on_published(2, start, true));
    CHECK(plan.oldest_publication() == start);
    CHECK_FALSE(plan.on_published(2, start - seconds(8), false));
    CHECK(plan.oldest_publication() == start);
}

TEST_CASE("version plan - a restarted engine needs all versions again") {
    version_plan plan;
    plan.on_in_use(2);
    REQUIRE(plan.on_published(2, start, true));
    CHECK_FALSE(plan.oldest_publication());
    plan.on_in_use(0);
    CHECK_FALSE(plan.on_published(2, start, true));
    CHECK(plan.oldest_publication() == start);
}

TEST_CASE("version plan - an entry that learns late does not move the "
          "publication that another one has observed") {
    version_plan plan;
    plan.on_in_use(1);
    REQUIRE(plan.on_published(2, start, true));
    CHECK_FALSE(plan.on_published(2, start + milliseconds(3500), true));
    CHECK(plan.oldest_publication() == start);
}

TEST_CASE("version plan - a version whose manifest is gone is not awaited") {
    version_plan plan;
    plan.on_in_use(1);
    REQUIRE(plan.on_published(2, start, true));
    REQUIRE(plan.on_published(3, start + seconds(3), true));
    plan.on_manifest(3, make_description('3'));
    plan.on_manifest_gone(2);
    CHECK(plan.find(2) == nullptr);
    REQUIRE(plan.on_held(version_of(make_description('3'))));
    CHECK(plan.is_complete());
}
