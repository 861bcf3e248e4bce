#include "tests/support/entry_group.hpp"
#include "tests/support/eventually.hpp"
#include "tests/support/platform_store.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <cstddef>
#include <string>

using namespace ospreystage;
using support::eventually;
using testing::entry_group;
using testing::platform_store;

namespace {

constexpr seconds start_time{10};
/// `bounds.contact_ms` of the entries.
constexpr milliseconds contact_time{3000};
constexpr int entry_count = 3;

void put_configuration(platform_store& store, int version) {
    store.put(
        "op/config",
        fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
}

bool await_era(entry_group& entries, double era) {
    return eventually(start_time, [&] {
        for (std::size_t index = 0; index < entries.size(); ++index)
            if (entries.metric(index, "ospreystage_store_era") != era)
                return false;
        return true;
    });
}

} // namespace

TEST_CASE("store drills - entries that start after one and two drills obey the "
          "configuration that was accepted before") {
    // The copy holds version 2, which still has what version 3 revokes.
    platform_store store;
    put_configuration(store, 2);
    store.keep_copy();
    for (int count = 0; count < 40; ++count)
        store.put("op/other", std::to_string(count));
    put_configuration(store, 3);
    entry_group entries(store.endpoint(), entry_count);
    REQUIRE(entries.await_ready(start_time));
    REQUIRE(entries.await_version(3, start_time));
    for (int drill = 1; drill <= 2; ++drill) {
        store.return_to_copy();
        REQUIRE(await_era(entries, 1 + drill));
        // The readers are among them, so that others take over.
        for (std::size_t index = 0; index < entries.size(); ++index) {
            entries.process(index).kill();
            entries.restart(index);
            REQUIRE(entries.await_ready(start_time));
            CAPTURE(drill, index);
            CHECK(entries.await_version(3, contact_time));
        }
    }
    put_configuration(store, 3);
    put_configuration(store, 4);
    CHECK(entries.await_version(4, contact_time));
}
