#include <ospreystage/weights/engine_state.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

TEST_CASE("engine orders - a complete requested version is loaded") {
    engine_state state;
    engine_target target{{"v1"}, {"v1"}, {}};
    CHECK(reconcile(state, target) ==
          std::vector<engine_order>{load_version{"v1"}});
}

TEST_CASE("engine orders - an incomplete version is not loaded") {
    engine_target target{{"v1"}, {}, {}};
    CHECK(reconcile({}, target).empty());
}

TEST_CASE("engine orders - a load in progress is not ordered again") {
    engine_state state;
    state.loading = {"v1"};
    CHECK(reconcile(state, {{"v1"}, {"v1"}, {}}).empty());
}

TEST_CASE("engine orders - an engine that lost its versions loads them again") {
    const engine_target target{{"v1", "v2"}, {"v1", "v2"}, {}};
    CHECK(reconcile({}, target).size() == 2);
}

TEST_CASE("engine orders - the old version stays until the new one is held") {
    engine_state state;
    state.held = {"v1"};
    const engine_target target{{"v2"}, {"v2"}, {}};
    CHECK(reconcile(state, target) ==
          std::vector<engine_order>{load_version{"v2"}});
    state.held = {"v1", "v2"};
    CHECK(reconcile(state, target) ==
          std::vector<engine_order>{drop_version{"v1"}});
}

TEST_CASE("engine orders - a version in use is not dropped") {
    engine_state state;
    state.held = {"v1", "v2"};
    CHECK(reconcile(state, {{"v2"}, {"v2"}, {"v1"}}).empty());
}
