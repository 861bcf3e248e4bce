#include "platform/site_watch.hpp"

#include <ospreystage/serving/directory_selection.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace ospreystage;

namespace {

const listed_entry west{{"10.0.0.1", 80}, "west"};
const listed_entry north{{"10.0.0.2", 80}, "north"};
const listed_entry east{{"10.0.0.3", 80}, "east"};
/// Of a release that stated no region.
const listed_entry unknown{{"10.0.0.4", 80}, ""};
const std::vector<listed_entry> all{west, north, east, unknown};

using entries = std::vector<listed_entry>;

/// Returns what is named for a host whose routes have these regions.
entries named(const std::vector<std::vector<std::string>>& regions,
              const std::string& caller_region, const entries& listed = all) {
    std::vector<route> routes;
    for (const auto& names : regions) {
        route& added = routes.emplace_back();
        added.host = "a.example";
        added.regions = names;
    }
    route& other = routes.emplace_back();
    other.host = "b.example";
    other.regions = {"east"};
    return select_entries(listed, routes, "A.example:80", caller_region);
}

} // namespace

TEST_CASE("directory - a host without restricted routes gets every entry") {
    CHECK(named({}, "west") == all);
    CHECK(named({{}, {}}, "west") == all);
}

TEST_CASE("directory - a host with restricted routes gets entries of their "
          "regions and of the caller's region") {
    CHECK(named({{"west"}}, "") == entries{west});
    CHECK(named({{"west"}}, "north") == entries{west, north});
    CHECK(named({{"west"}, {}}, "west") == entries{west});
    // On neither route, a request may arrive at an entry elsewhere.
    CHECK(named({{"west", "north"}, {"north"}}, "south") == entries{north});
    CHECK(named({{"west"}, {"north"}}, "north") == entries{north});
    CHECK(named({{"west"}, {"north"}}, "south") == entries{west, north});
}

TEST_CASE("directory - callers get other entries if there are none where the "
          "routes allow") {
    CHECK(named({{"south"}}, "") == all);
    CHECK(named({{"south"}}, "elsewhere") == all);
    CHECK(named({{"west"}}, "", {unknown}) == entries{unknown});
    CHECK(named({{"west"}}, "west", {}).empty());
}

TEST_CASE("directory - the lease of an entry that has ended lapses within the "
          "time after which it must not be named") {
    platform::node_settings settings;
    settings.max_silence = milliseconds(3000);
    settings.min_store_lease = milliseconds(1000);
    CHECK(platform::lease_time(settings) == milliseconds(4000));
    for (const int lease_ms : {250, 1000, 1500, 2000, 4000})
        for (const int silence_ms : {2500, 3000, 9000}) {
            settings.min_store_lease = milliseconds(lease_ms);
            settings.max_silence = milliseconds(silence_ms);
            CAPTURE(lease_ms, silence_ms);
            // The rest is for other entries to learn of it.
            CHECK(platform::lease_time(settings) + milliseconds(1000) <=
                  settings.max_silence + platform::entry_removal_time);
            CHECK(platform::lease_time(settings) >= settings.min_store_lease);
        }
}

TEST_CASE(
    "directory - an entry that has gone is not named, nor kept for longer "
    "than others need to register again after an outage") {
    const milliseconds reregistration{2200};
    const instant start{};
    entry_list list(reregistration);
    list.on_listed("gone", west.callers, start, west.region);
    list.on_listed("stays", north.callers, start, north.region);
    list.retain({"stays"}, start + seconds(4));
    CHECK(list.all() == entries{north});
    const instant outage_end = start + seconds(10);
    list.on_listed("gone", west.callers, start + seconds(5), west.region);
    list.on_store_recovered(outage_end);
    list.retain({"stays"}, outage_end + milliseconds(100));
    CHECK(list.all().size() == 2);
    list.advance(outage_end + reregistration);
    CHECK(list.all() == entries{north});
}
