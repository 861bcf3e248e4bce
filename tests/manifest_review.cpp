#include <ospreystage/weights/manifest_review.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ospreystage;

namespace {

constexpr std::uint64_t version = 2;
const instant start = instant{} + seconds(100);

using source = manifest_review::source;

} // namespace

// Guards against a manifest of the origin that counts as right for ever.
TEST_CASE("manifest review - a manifest is doubted whoever it came from") {
    const source from = GENERATE(source::origin, source::peer);
    manifest_review review;
    review.on_accepted(version, from, 5, start);
    CHECK(review.due(7, start + seconds(1)).empty());
    const auto due = review.due(8, start + seconds(1));
    REQUIRE(due.size() == 1);
    CHECK(due.front().version == version);
    CHECK(due.front().reason == "chunks differ");
    CHECK(review.is_doubted(version));
    // Returned once, until it has been read again.
    CHECK(review.due(20, start + seconds(60)).empty());
    review.on_accepted(version, source::origin, 20, start + seconds(60));
    CHECK_FALSE(review.is_doubted(version));
}

TEST_CASE("manifest review - a peer with another manifest is a reason to read "
          "it again") {
    manifest_review review;
    review.on_conflict(version); // Not known yet.
    CHECK(review.due(0, start).empty());
    review.on_accepted(version, source::origin, 0, start);
    review.on_conflict(version);
    CHECK(review.due(0, start).empty());
    const auto due = review.due(0, start + seconds(1));
    REQUIRE(due.size() == 1);
    CHECK(due.front().reason == "peers differ");
    review.on_accepted(version, source::origin, 0, start + seconds(1));
    CHECK(review.due(0, start + seconds(60)).empty());
}

// Guards against agents that load the origin with manifest reads while chunks
// or pushes are corrupted all the time.
TEST_CASE("manifest review - lasting contradictions lead to few reads") {
    manifest_review review;
    review.on_accepted(version, source::origin, 0, start);
    std::uint64_t corrupt = 0;
    int reads = 0;
    milliseconds longest{};
    instant last = start;
    for (milliseconds at{}; at < seconds(60); at += milliseconds(100)) {
        const instant now = start + at;
        ++corrupt;
        review.on_conflict(version);
        if (review.due(corrupt, now).empty())
            continue;
        ++reads;
        longest = std::max(
            longest, std::chrono::duration_cast<milliseconds>(now - last));
        last = now;
        review.on_accepted(version, source::origin, corrupt, now);
    }
    CHECK(reads >= 8);
    CHECK(reads <= 12);
    CHECK(longest <= milliseconds(8100));
}

TEST_CASE("manifest review - a complete version is no longer doubted") {
    manifest_review review;
    review.on_accepted(version, source::peer, 0, start);
    review.on_accepted(version + 1, source::peer, 0, start);
    review.forget_if([](std::uint64_t each) { return each == version; });
    const auto due = review.due(100, start + seconds(60));
    REQUIRE(due.size() == 1);
    CHECK(due.front().version == version + 1);
}
