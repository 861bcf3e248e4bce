#include <ospreystage/fleet/vm_list.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

std::optional<std::vector<listed_vm>> parse(const std::string& json,
                                            error& failure) {
    return value_or_error([&] { return parse_vm_list(json, "list"); }, failure);
}

} // namespace

TEST_CASE("vm_list - live and leaving VMs are distinguished") {
    error failure;
    const auto list = parse(R"([{"vm":"vm-1","state":"live"},
                                {"vm":"vm-2","state":"leaving"}])",
                            failure);
    REQUIRE(list.has_value());
    CHECK(*list == std::vector<listed_vm>{{"vm-1", false}, {"vm-2", true}});
}

TEST_CASE("vm_list - a damaged list is refused with its source") {
    for (const char* json :
         {"", "[{}]", R"([{"vm":1,"state":"live"}])", R"({"error":"down"})"}) {
        error failure;
        CAPTURE(json);
        CHECK_FALSE(parse(json, failure).has_value());
        CHECK(failure.code == error_code::malformed);
        CHECK(failure.peer == "list");
    }
}

TEST_CASE("vm_list - an unreachable list is reported as unavailable") {
    error failure;
    const auto list = value_or_error(
        [] { return read_vm_list("http://127.0.0.1:1", milliseconds(200)); },
        failure);
    CHECK_FALSE(list.has_value());
    CHECK(failure.code == error_code::unavailable);
}
