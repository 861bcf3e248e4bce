#include <ospreystage/fleet/backend_registry.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

TEST_CASE("backend registry - the list by which servers are held names its "
          "era, revision, read and source") {
    const instant start{};
    backend_registry registry;
    registry.on_list({}, start + milliseconds(40),
                     state_origin{{3, 1045}, start, "edge-2"});
    CHECK(registry.origin().position == store_position(3, 1045));
    CHECK(registry.origin().read_at == start);
    CHECK(registry.origin().source == "edge-2");
    CHECK(registry.age(start + seconds(1)) == seconds(1));
}
