#include <ospreystage/fleet/entry_duties.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>

using namespace ospreystage;

namespace {

std::map<std::string, site_entry> make_entries(int per_region) {
    std::map<std::string, site_entry> entries;
    for (const char* region : {"north", "south"})
        for (int number = 0; number < per_region; ++number) {
            const std::string name = fmt::format("{}-{}", region, number);
            entries[name] = {name, {name, 8000}, region};
        }
    return entries;
}

std::set<std::string> names_of(const entry_duties& duties,
                               const std::string& region,
                               const std::string& host) {
    std::set<std::string> names;
    for (const site_entry* entry : duties.responsible(region, host))
        names.insert(entry->name);
    return names;
}

} // namespace

TEST_CASE("entry duties - a few entries of the region deal with a VM") {
    entry_duties duties;
    duties.set_entries(make_entries(12));
    std::map<std::string, int> vms_by_entry;
    constexpr int vms = 120;
    for (int vm = 0; vm < vms; ++vm) {
        const auto chosen =
            duties.responsible("north", fmt::format("10.0.0.{}", vm));
        REQUIRE(chosen.size() == entry_duties::entries_per_vm);
        for (const site_entry* entry : chosen) {
            CHECK(entry->region == "north");
            ++vms_by_entry[entry->name];
        }
    }
    CHECK(vms_by_entry.size() > entry_duties::entries_per_vm);
    CHECK(vms_by_entry.size() <= entry_duties::relays_per_region);
}

TEST_CASE("entry duties - all entries of a small region share its VMs evenly") {
    constexpr int entries = entry_duties::relays_per_region;
    entry_duties duties;
    duties.set_entries(make_entries(entries));
    std::map<std::string, int> vms_by_entry;
    constexpr int vms = 120;
    for (int vm = 0; vm < vms; ++vm)
        for (const site_entry* entry :
             duties.responsible("north", fmt::format("10.0.0.{}", vm)))
            ++vms_by_entry[entry->name];
    CHECK(vms_by_entry.size() == entries);
    for (const auto& [name, count] : vms_by_entry)
        CHECK(count < 2 * vms * 3 / entries);
}

TEST_CASE("entry duties - the entries that deal with VMs stay few in a large "
          "region") {
    entry_duties duties;
    duties.set_entries(make_entries(100));
    std::set<std::string> relays;
    for (int vm = 0; vm < 200; ++vm)
        for (const std::string& name :
             names_of(duties, "north", fmt::format("10.0.0.{}", vm)))
            relays.insert(name);
    CHECK(relays.size() <= entry_duties::relays_per_region);
}

TEST_CASE("entry duties - a changed address of an entry takes effect") {
    auto entries = make_entries(3);
    entry_duties duties;
    duties.set_entries(entries);
    static_cast<void>(duties.responsible("north", "10.0.0.1"));
    entries.at("north-1").callers.host = "10.9.9.9";
    duties.set_entries(entries);
    const auto chosen = duties.responsible("north", "10.0.0.1");
    CHECK(std::any_of(chosen.begin(), chosen.end(), [](const auto* entry) {
        return entry->callers.host == "10.9.9.9";
    }));
}

TEST_CASE("entry duties - an entry that leaves changes only its own duties") {
    auto entries = make_entries(12);
    entry_duties before;
    before.set_entries(entries);
    entries.erase("north-3");
    entry_duties after;
    after.set_entries(entries);
    for (int vm = 0; vm < 50; ++vm) {
        const std::string host = fmt::format("10.0.0.{}", vm);
        auto expected = names_of(before, "north", host);
        const bool had_duty = expected.erase("north-3") > 0;
        const auto found = names_of(after, "north", host);
        CHECK(found.size() == entry_duties::entries_per_vm);
        for (const std::string& name : expected)
            CHECK(found.contains(name));
        if (!had_duty)
            CHECK(found == expected);
    }
}

TEST_CASE("entry duties - a region without entries has none") {
    entry_duties duties;
    CHECK(duties.responsible("north", "10.0.0.1").empty());
    duties.set_entries(make_entries(2));
    CHECK(duties.responsible("west", "10.0.0.1").empty());
    CHECK(duties.responsible("south", "10.0.0.1").size() == 2);
    CHECK(duties.entries_of("south").size() == 2);
    CHECK(duties.regions().size() == 2);
}

TEST_CASE(
    "entry duties - a VM of a region with one entry gets assignments from "
    "several") {
    auto entries = make_entries(4);
    entries["west-0"] = {"west-0", {"west-0", 8000}, "west"};
    entry_duties duties;
    duties.set_entries(entries);
    const auto chosen = duties.assigners("west", "10.0.0.1");
    REQUIRE(chosen.size() == entry_duties::entries_per_vm);
    CHECK(chosen.front()->name == "west-0");
    CHECK(chosen[1]->region != "west");
    CHECK(duties.assigners("empty", "10.0.0.1").size() ==
          entry_duties::entries_per_vm);
    for (const site_entry* entry : duties.assigners("north", "10.0.0.1"))
        CHECK(entry->region == "north");
}
