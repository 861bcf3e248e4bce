#include <ospreystage/fleet/entry_registrations.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

constexpr instant start{seconds(1000)};
constexpr instant lapse = start + seconds(4);

/// Entries `a` and `b` have registered, and `b` has left, in era 1.
entry_registrations make_departed(bool is_seen_in_snapshot) {
    entry_registrations registrations;
    registrations.on_read({{"a", 5}, {"b", 6}}, 1, true);
    if (is_seen_in_snapshot)
        registrations.on_read({{"a", 5}}, 1, true);
    else
        registrations.on_read({{"b", 9, true}}, 1, false);
    return registrations;
}

} // namespace

TEST_CASE("entry registrations - a registration that an older copy brings back "
          "is that of an entry which had left") {
    auto registrations = make_departed(GENERATE(true, false));
    CHECK_FALSE(registrations.is_undone_departure("b", 6, start));
    registrations.on_era_changed(lapse);
    CHECK(registrations.is_undone_departure("b", 6, start));
    CHECK_FALSE(registrations.is_undone_departure("a", 5, start));
    // A second drill.
    registrations.on_read({{"a", 5}, {"b", 6}}, 2, true);
    registrations.on_era_changed(lapse);
    CHECK(registrations.is_undone_departure("b", 6, start));
    // It registers again, or its lease in the copy has ended.
    CHECK_FALSE(registrations.is_undone_departure("b", 7, start));
    CHECK_FALSE(registrations.is_undone_departure("b", 6, lapse));
}

TEST_CASE("entry registrations - an entry that an older copy lacks has not "
          "left") {
    entry_registrations registrations;
    registrations.on_read({{"a", 5}, {"b", 6}}, 1, true);
    registrations.on_read({{"a", 5}}, 2, true);
    registrations.on_era_changed(lapse);
    CHECK_FALSE(registrations.is_undone_departure("b", 6, start));
}
