#include <ospreystage/rollout/rollout.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ospreystage;

namespace {

rollout_document sample() {
    rollout_document document;
    document.number = 4;
    document.based_on = 3;
    document.operation_id = "op-4";
    document.services = {
        {"desk", service_kind::engine, {"vm-1", "vm-2"}, {"confirm"}},
        {"ledger", service_kind::plain, {"vm-3"}, {}}};
    document.organisations = {{"board", 2, 10, 5}};
    document.classes = {{"counter", milliseconds(300), milliseconds(2000), 1}};
    document.deployments = {{"desk-v1",
                             "desk",
                             "",
                             digest(64, 'a'),
                             1,
                             {"vm-1", "vm-2"},
                             {{"*", 100}, {"board", 60}}},
                            {"desk-adapter",
                             "desk",
                             "desk-v1",
                             digest(64, 'b'),
                             2,
                             {"vm-1"},
                             {{"board", 40}}}};
    return document;
}

std::string parse_error_detail(const std::string& json) {
    error failure;
    const auto document =
        value_or_error([&] { return parse_rollout(json); }, failure);
    REQUIRE_FALSE(document.has_value());
    CHECK(failure.step == "rollout.parse");
    return failure.detail;
}

std::vector<std::string> problem_fields(const rollout_document& document) {
    std::vector<std::string> fields;
    for (const rollout_problem& problem : validate(document))
        fields.push_back(problem.field);
    return fields;
}

std::vector<std::string> changed_fields(const rollout_document& before,
                                        const rollout_document& after) {
    std::vector<std::string> fields;
    for (const rollout_change& change : diff(before, after))
        fields.push_back(change.field);
    return fields;
}

using names = std::vector<std::string>;

} // namespace

TEST_CASE("rollout - encoding and decoding preserve a document") {
    const rollout_document document = sample();
    error failure;
    const auto copy = value_or_error(
        [&] { return parse_rollout(to_json_text(document)); }, failure);
    REQUIRE(copy.has_value());
    CHECK(*copy == document);
    CHECK(to_json_text(*copy) == to_json_text(document));
}

TEST_CASE("rollout - an unknown field is named by its pointer") {
    auto json = nlohmann::json::parse(to_json_text(sample()));
    json["deployments"][1]["colour"] = "red";
    CHECK(parse_error_detail(json.dump()) ==
          "/deployments/1/colour: unknown field");
}

TEST_CASE("rollout - a wrong type is named by its pointer") {
    auto json = nlohmann::json::parse(to_json_text(sample()));
    json["classes"][0]["deadline_ms"] = "2s";
    CHECK(parse_error_detail(json.dump())
              .starts_with("/classes/0/deadline_ms: "));
    json = nlohmann::json::parse(to_json_text(sample()));
    json["deployments"][0]["traffic"][0]["percent"] = -1;
    CHECK(parse_error_detail(json.dump())
              .starts_with("/deployments/0/traffic/0/percent: "));
    CHECK(parse_error_detail("[]") == ": is not an object");
    CHECK(parse_error_detail("{}").starts_with("/schema: "));
}

TEST_CASE("rollout - a document above the size limit is refused before "
          "parsing") {
    error failure;
    const auto document = value_or_error(
        [&] { return parse_rollout(std::string(max_document_bytes + 1, ' ')); },
        failure);
    CHECK_FALSE(document.has_value());
    CHECK(failure.code == error_code::too_large);
}

TEST_CASE("rollout - a consistent document has no problems") {
    CHECK(validate(sample()).empty());
    CHECK(validate(rollout_document{}).empty());
}

TEST_CASE("rollout - names must be unique and not empty") {
    rollout_document document = sample();
    document.services.push_back(document.services[1]);
    document.classes[0].name = "";
    CHECK(problem_fields(document) ==
          names{"/services/2/name", "/classes/0/name"});
}

TEST_CASE("rollout - references must exist") {
    rollout_document document = sample();
    document.deployments[0].service = "desks";
    document.deployments[1].base = "desk-v0";
    document.deployments[1].traffic[0].organisation = "credit";
    CHECK(problem_fields(document) ==
          names{"/deployments/0/service", "/deployments/1/base",
                "/deployments/1/traffic/0/organisation"});
}

TEST_CASE("rollout - percentages of an organisation sum to at most 100") {
    rollout_document document = sample();
    document.deployments[1].traffic[0].percent = 41;
    CHECK(problem_fields(document) ==
          names{"/deployments/1/traffic/0/percent"});
    document.deployments[1].traffic[0].percent = 101;
    CHECK(problem_fields(document) ==
          names{"/deployments/1/traffic/0/percent"});
}

TEST_CASE("rollout - a digest must be well formed") {
    rollout_document document = sample();
    document.deployments[0].version = std::string(64, 'A');
    CHECK(problem_fields(document) == names{"/deployments/0/version"});
}

TEST_CASE("rollout - VMs of a deployment are VMs of its service") {
    rollout_document document = sample();
    document.deployments[0].vms.emplace_back("vm-9");
    CHECK(problem_fields(document) == names{"/deployments/0/vms/2"});
}

TEST_CASE("rollout - an adapter's base is on the same VMs") {
    rollout_document document = sample();
    document.deployments[0].vms = {"vm-2"};
    CHECK(problem_fields(document) == names{"/deployments/1/vms/0"});
}

TEST_CASE("rollout - bases do not form a chain or a cycle") {
    rollout_document document = sample();
    document.deployments[0].base = "desk-adapter";
    const auto fields = problem_fields(document);
    CHECK(std::count(fields.begin(), fields.end(), "/deployments/0/base") == 1);
    CHECK(std::count(fields.begin(), fields.end(), "/deployments/1/base") == 1);
}

TEST_CASE("rollout - a plain service has no deployments") {
    rollout_document document = sample();
    document.deployments = {
        {"books", "ledger", "", digest(64, 'a'), 0, {"vm-3"}, {}}};
    CHECK(problem_fields(document) == names{"/deployments/0/service"});
}

TEST_CASE("rollout - a diff names fields and skips acceptance fields") {
    const rollout_document before = sample();
    rollout_document after = before;
    after.number = 5;
    after.operation_id = "op-5";
    after.accepted_by = "night shift";
    CHECK(diff(before, after).empty());
    after.deployments[0].traffic[1].percent = 50;
    after.classes[0].priority = 7;
    CHECK(diff(before, after) ==
          std::vector<rollout_change>{
              {"/classes/counter/priority", "1", "7"},
              {"/deployments/desk-v1/traffic/board/percent", "60", "50"}});
}

TEST_CASE("rollout - a diff addresses items by name, not by index") {
    const rollout_document before = sample();
    rollout_document after = before;
    after.services.insert(after.services.begin(),
                          {"portal/x", service_kind::plain, {}, {}});
    after.deployments.erase(after.deployments.begin());
    CHECK(changed_fields(before, after) ==
          names{"/deployments/desk-v1", "/services/portal~1x"});
}
