#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <tests/support/caller.hpp>
#include <tests/support/free_ports.hpp>
#include <tests/support/http_json.hpp>
#include <tests/support/operations.hpp>
#include <tests/support/revision_monitor.hpp>
#include <tests/support/text_file.hpp>

#include <algorithm>
#include <thread>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

constexpr milliseconds poll_interval{30};
constexpr seconds in_force_target{4}; ///< For an edit on every process.
constexpr seconds leaving_target{3};  ///< Until a leaving VM gets no requests.
constexpr seconds settle_limit{10};
constexpr seconds child_limit{10};
constexpr int leaving_calls = 40;
constexpr std::size_t calls_in_progress = 6; ///< While a VM leaves.

const operator_settings unrestricted_operator{
    "operator-1", "operator-token-1", {"*"}};
const operator_settings second_unrestricted_operator{
    "operator-2", "operator-token-2", {"*"}};
const operator_settings restricted_operator{
    "operator-3", "operator-token-3", {"branch-1"}};

fleet_options small_options() {
    fleet_options options;
    options.plain_agents = 2;
    options.agents = 0;
    options.operators = {unrestricted_operator, second_unrestricted_operator,
                         restricted_operator};
    return options;
}

/// Returns the document of the fleet, without services that have no VMs.
rollout_document rollout_of(const fleet& system,
                            const std::vector<digest>& versions = {}) {
    rollout_document out = basic_rollout(system, versions);
    std::erase_if(out.services,
                  [](const service& item) { return item.vms.empty(); });
    return out;
}

organisation& organisation_of(rollout_document& document,
                              const std::string& name) {
    return *std::find_if(
        document.organisations.begin(), document.organisations.end(),
        [&](const organisation& item) { return item.name == name; });
}

std::vector<std::string> all_names(const fleet& system) {
    std::vector<std::string> names;
    for (const fleet_member& member : system.members())
        names.push_back(member.name);
    return names;
}

http_headers token_of(const operator_settings& by) {
    return {{"Authorization", "Bearer " + by.token}};
}

nlohmann::json submission(const rollout_document& document,
                          const std::string& operation_id) {
    return {{"operation_id", operation_id},
            {"document", nlohmann::json::parse(to_json_text(document))}};
}

http_answer submit(const fleet& system, const std::string& entry,
                   const rollout_document& document,
                   const std::string& operation_id,
                   const operator_settings& by = unrestricted_operator) {
    return post_json(system.url(entry), "/admin/v1/rollout",
                     submission(document, operation_id), token_of(by),
                     seconds(15));
}

http_answer admin_get(const fleet& system, const std::string& entry,
                      const std::string& path) {
    return get_json(system.url(entry), path, token_of(unrestricted_operator));
}

/// A fleet with revision 1 in force on every process, and a revision monitor.
struct running_fleet {
    explicit running_fleet(const fleet_options& options) : system(options) {
        INFO(system.problem());
        REQUIRE(system.start());
        monitor = std::make_unique<revision_monitor>(system, poll_interval);
        document = rollout_of(system);
        const instant begun = steady::now();
        REQUIRE(submit(system, "entry-1", document, "first").status == 200);
        REQUIRE(monitor->await(all_names(system), 1, begun, settle_limit));
        document.based_on = 1;
    }

    fleet system;
    std::unique_ptr<revision_monitor> monitor;
    rollout_document document; ///< Draft based on revision 1.
};

child_process start(const std::vector<std::string>& arguments) {
    error failure;
    auto started = value_or_error(
        [&] {
            return child_process::start(arguments,
                                        make_run_folder() + "/child.log");
        },
        failure);
    INFO(to_string(failure));
    REQUIRE(started.has_value());
    return std::move(*started);
}

/// Exit status and output of the product's executable.
struct run_result {
    int status = -1;
    std::string output;
};

run_result run_product(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), product_binary());
    child_process child = start(arguments);
    const auto status = child.wait(child_limit);
    return {status.value_or(-1), child.log_text()};
}

run_result run_ctl(const fleet& system, std::vector<std::string> arguments) {
    std::vector<std::string> command_line = {"ctl",
                                             "--entry",
                                             system.url("entry-2"),
                                             "--token",
                                             unrestricted_operator.token,
                                             "rollout"};
    command_line.insert(command_line.end(), arguments.begin(), arguments.end());
    return run_product(std::move(command_line));
}

std::string write_document(const fleet& system, const std::string& name,
                           const rollout_document& document) {
    std::string file = system.options().run_folder + "/" + name;
    REQUIRE(write_text_file(file, to_json_text(document)));
    return file;
}

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

/// Returns the number of requests that a plain service has started so far.
std::size_t runs_on(const fleet& system, const std::string& vm) {
    const auto runs =
        get_json(system.url("backend-" + vm), "/control/runs").body;
    std::size_t total = 0;
    for (const auto& item : runs.flatten()) {
        if (item.is_number())
            total += item.get<std::size_t>();
    }
    return total;
}

plain_call records_call() {
    plain_call call;
    call.service = plain_service_name;
    call.path = "records";
    call.body = "{}";
    call.organisation = "branch-1";
    call.request_class = "desk";
    return call;
}

/// Makes `count` calls and returns how many were served.
int serve_calls(fleet& system, int count) {
    caller client(system.entry_urls(), {});
    int served = 0;
    for (int index = 0; index < count; ++index) {
        if (client.plain(records_call()).result == call_result::served)
            ++served;
    }
    return served;
}

nlohmann::json held_by(const fleet& system, const std::string& vm) {
    return get_json(system.url("backend-" + vm), "/state")
        .body.value("held", nlohmann::json());
}

bool await_held(const fleet& system, const std::string& vm,
                const nlohmann::json& held, milliseconds timeout) {
    const instant limit = steady::now() + timeout;
    while (held_by(system, vm) != held) {
        if (steady::now() >= limit)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace

// ---- Accepted edits ---------------------------------------------------------

TEST_CASE("system - an edit spreads when the platform fails right after it") {
    running_fleet running(small_options());
    fleet& system = running.system;
    ++organisation_of(running.document, "branch-1").weight;
    const instant begun = steady::now();
    REQUIRE(submit(system, "entry-2", running.document, "second").status ==
            200);
    REQUIRE(system.set_faults("kv", {{"down", true}}));
    CHECK(running.monitor->await(all_names(system), 2, begun, in_force_target));

    SECTION("and restarted nodes without state catch up without the platform") {
        for (const std::string name : {"vm-1", "entry-1"}) {
            REQUIRE(system.replace(name));
            const instant ready = steady::now();
            INFO(name);
            CHECK(running.monitor->await({name}, 2, ready, in_force_target));
        }
    }
    CHECK(running.monitor->reverted() == 0);
}

TEST_CASE("system - an edit whose platform answers are lost is accepted once") {
    running_fleet running(small_options());
    fleet& system = running.system;
    const int lost = GENERATE(1, 2);
    REQUIRE(system.set_faults("kv", {{"lose_answers", lost}}));
    ++organisation_of(running.document, "branch-1").weight;
    const http_answer answer =
        submit(system, "entry-1", running.document, "second");
    CHECK(answer.status == 200);
    CHECK(answer.body["revision"] == 2);
    CHECK(submit(system, "entry-2", running.document, "second")
              .body["revision"] == 2);
    const auto history =
        admin_get(system, "entry-1", "/admin/v1/rollout/history").body;
    CHECK(history["revisions"].size() == 2);
    const auto found = admin_get(
        system, "entry-3", "/admin/v1/rollout/operations/second?based_on=1");
    CHECK(found.body["result"] == "accepted");
}

TEST_CASE(
    "system - a rejected concurrent edit names the fields and the operator") {
    running_fleet running(small_options());
    fleet& system = running.system;
    rollout_document drafts[] = {running.document, running.document};
    organisation_of(drafts[0], "branch-1").weight = 7;
    organisation_of(drafts[1], "branch-1").weight = 9;
    http_answer answers[2];
    std::thread other([&] {
        answers[1] = submit(system, "entry-2", drafts[1], "by-colleague",
                            second_unrestricted_operator);
    });
    answers[0] =
        submit(system, "entry-1", drafts[0], "by-first", unrestricted_operator);
    other.join();
    const bool first_won = answers[0].status == 200;
    const http_answer& won = answers[first_won ? 0 : 1];
    const http_answer& lost = answers[first_won ? 1 : 0];
    INFO(lost.text);
    CHECK(won.status == 200);
    CHECK(lost.status == 409);
    REQUIRE(lost.body["clashes"].size() == 1);
    const auto& clash = lost.body["clashes"][0];
    CHECK(clash["field"] == "/organisations/branch-1/weight");
    CHECK(clash["changed_by"] ==
          (first_won ? unrestricted_operator : second_unrestricted_operator)
              .name);
    CHECK(clash["changed_in"] == 2);
    CHECK(clash["theirs"] == (first_won ? "7" : "9"));
}

TEST_CASE("system - a paused entry catches up and spreads no older revision") {
    running_fleet running(small_options());
    fleet& system = running.system;
    system.freeze("entry-1");
    ++organisation_of(running.document, "branch-1").weight;
    const instant begun = steady::now();
    REQUIRE(submit(system, "entry-2", running.document, "second").status ==
            200);
    CHECK(running.monitor->await({"entry-2", "entry-3", "vm-1", "vm-2"}, 2,
                                 begun, in_force_target));
    std::this_thread::sleep_until(begun + seconds(5));
    system.thaw("entry-1");
    const instant thawed = steady::now();
    CHECK(running.monitor->await({"entry-1"}, 2, thawed, in_force_target));
    CHECK(
        running.monitor->await(all_names(system), 2, thawed, in_force_target));
    CHECK(running.monitor->reverted() == 0);
}

TEST_CASE("system - a silent platform does not stop an edit from spreading") {
    running_fleet running(small_options());
    fleet& system = running.system;
    rollout_document& draft = running.document;
    ++organisation_of(draft, "branch-1").weight;
    const instant begun = steady::now();
    REQUIRE(submit(system, "entry-1", draft, "second").status == 200);
    REQUIRE(system.set_faults("kv", {{"swallow", true}}));
    CHECK(running.monitor->await(all_names(system), 2, begun, in_force_target));
    std::this_thread::sleep_until(begun + seconds(6));
    REQUIRE(system.set_faults("kv", {{"swallow", false}}));
    draft.based_on = 2;
    ++organisation_of(draft, "branch-1").weight;
    const instant again = steady::now();
    REQUIRE(submit(system, "entry-2", draft, "third").status == 200);
    CHECK(running.monitor->await(all_names(system), 3, again, in_force_target));
    CHECK(running.monitor->reverted() == 0);
}

// ---- Leaving VMs ------------------------------------------------------------

TEST_CASE("system - a VM that leaves gets no new requests after 3 s") {
    fleet_options options = small_options();
    const std::string mark = GENERATE("list", "signal", "both");
    INFO(mark);
    if (mark == "both")
        options.vm_list_lag = milliseconds(2000);
    running_fleet running(options);
    fleet& system = running.system;
    CHECK(serve_calls(system, leaving_calls) == leaving_calls);
    CHECK(runs_on(system, "vm-2") > 0);

    // Requests in progress keep the process from ending immediately.
    REQUIRE(system.set_faults("backend-vm-2", {{"stall", true}}));
    std::vector<std::thread> open;
    open.reserve(calls_in_progress);
    for (std::size_t index = 0; index < calls_in_progress; ++index)
        open.emplace_back([&] { std::ignore = serve_calls(system, 1); });
    std::this_thread::sleep_for(milliseconds(300));
    if (mark != "signal")
        CHECK(system.set_vm("vm-2", "leaving"));
    if (mark != "list")
        system.terminate("vm-2");
    std::this_thread::sleep_for(leaving_target);
    const std::size_t before = runs_on(system, "vm-2");
    CHECK(system.process("vm-2").running());
    CHECK(serve_calls(system, leaving_calls) == leaving_calls);
    CHECK(runs_on(system, "vm-2") == before);
    CHECK(system.set_faults("backend-vm-2", {{"stall", false}}));
    for (std::thread& each : open)
        each.join();
}

// ---- Orders to engines ------------------------------------------------------

TEST_CASE("system - an engine with fencing refuses an outdated order") {
    fleet_options options = small_options();
    options.agents = 1;
    options.plain_agents = 0;
    options.fencing = true;
    fleet system(options);
    INFO(system.problem());
    REQUIRE(system.start());
    const auto model = system.publish({"model", 100'000, 20'000, 1});
    REQUIRE(submit(system, "entry-1", rollout_of(system, {model.version}), "1")
                .status == 200);
    REQUIRE(await_live(system, model.version, 1, settle_limit));
    const auto before = get_json(system.url("backend-vm-1"), "/state").body;
    const std::uint64_t fence = before["fence"];
    REQUIRE(fence > 1);
    const http_answer refused = post_json(system.url("backend-vm-1"), "/orders",
                                          {{"fence", fence - 1},
                                           {"op", "drop"},
                                           {"version", model.version},
                                           {"source", ""}});
    CHECK(refused.status == 409);
    const auto after = get_json(system.url("backend-vm-1"), "/state").body;
    CHECK(after["held"] == before["held"]);
    CHECK(after["fence"] == before["fence"]);
}

TEST_CASE("system - a resumed outdated agent makes no lasting change") {
    fleet_options options = small_options();
    options.agents = 1;
    options.plain_agents = 0;
    options.fencing = GENERATE(false, true);
    CAPTURE(options.fencing);
    fleet system(options);
    INFO(system.problem());
    REQUIRE(system.start());
    const auto first = system.publish({"model", 100'000, 20'000, 1});
    const auto second = system.publish({"model", 100'000, 20'000, 2});
    REQUIRE(submit(system, "entry-1", rollout_of(system, {first.version}), "1")
                .status == 200);
    REQUIRE(await_live(system, first.version, 1, settle_limit));

    system.freeze("vm-1");
    fleet_member replacement = system.members().back();
    const auto ports = free_ports(2);
    replacement.http.port = ports.at(0);
    replacement.peer.port = ports.at(1);
    std::string settings = system.settings_of(replacement);
    const std::string folder = "/chunks-vm-1";
    settings.replace(settings.find(folder), folder.size(), "/chunks-new");
    const std::string file = system.options().run_folder + "/new.toml";
    REQUIRE(write_text_file(file, settings));
    child_process newer =
        start({product_binary(), "agent", "--settings", file});
    REQUIRE(newer.await_line("ready", child_limit));
    rollout_document draft = rollout_of(system, {second.version});
    draft.based_on = 1;
    REQUIRE(submit(system, "entry-1", draft, "2").status == 200);
    const nlohmann::json requested = {second.version};
    INFO(newer.log_text());
    CHECK(await_held(system, "vm-1", requested, settle_limit));

    system.thaw("vm-1");
    const auto status = system.process("vm-1").wait(child_limit);
    CHECK(status.has_value());
    CHECK(await_held(system, "vm-1", requested, settle_limit));
    std::this_thread::sleep_for(seconds(1));
    CHECK(held_by(system, "vm-1") == requested);
    CHECK(newer.running());
}

// ---- Operators' interfaces --------------------------------------------------

TEST_CASE("system - ctl drives an edit from end to end") {
    running_fleet running(small_options());
    fleet& system = running.system;
    organisation_of(running.document, "branch-1").weight = 5;
    const std::string good =
        write_document(system, "good.json", running.document);
    rollout_document broken = running.document;
    broken.services.front().vms = {""};
    broken.classes.push_back(broken.classes.front());
    const std::string bad = write_document(system, "bad.json", broken);

    const run_result valid = run_ctl(system, {"validate", good});
    CHECK(valid.status == 0);
    CHECK(contains(valid.output, "\"valid\": true"));
    const run_result invalid = run_ctl(system, {"validate", bad});
    CHECK(invalid.status == 1);
    CHECK(contains(invalid.output, "\"valid\": false"));
    const run_result difference = run_ctl(system, {"diff", good});
    CHECK(difference.status == 0);
    CHECK(contains(difference.output, "/organisations/branch-1/weight"));

    const instant begun = steady::now();
    const run_result applied =
        run_ctl(system, {"apply", good, "--operation", "by-ctl"});
    CHECK(applied.status == 0);
    CHECK(contains(applied.output, "\"accepted\""));
    CHECK(running.monitor->await(all_names(system), 2, begun, in_force_target));
    CHECK(run_ctl(system, {"apply", good, "--operation", "late"}).status == 1);
    CHECK(run_ctl(system, {"apply", bad}).status == 1);
    const run_result status = run_ctl(system, {"status"});
    CHECK(status.status == 0);
    CHECK(contains(status.output, "\"in_force\": 2"));
    const run_result history = run_ctl(system, {"history"});
    CHECK(history.status == 0);
    CHECK(contains(history.output, "by-ctl"));
    const run_result operation =
        run_ctl(system, {"operation", "by-ctl", "--based-on", "1"});
    CHECK(operation.status == 0);
    CHECK(run_ctl(system, {"rollback", "--to", "1"}).status == 0);
    CHECK(running.monitor->await(all_names(system), 3, begun, settle_limit));
    const run_result shown = run_ctl(system, {"show"});
    CHECK(contains(shown.output, "\"revision\": 3"));
    CHECK(run_ctl(system, {"apply", good + ".missing"}).status == 2);
    CHECK(run_ctl(system, {"apply"}).status == 2);
    CHECK(run_product({"ctl", "--entry", system.url("entry-1"), "--token",
                       "wrong", "rollout", "show"})
              .status == 2);
    system.kill("entry-2");
    CHECK(run_ctl(system, {"status"}).status == 4);
}

TEST_CASE("system - what the console page submits is accepted") {
    running_fleet running(small_options());
    fleet& system = running.system;
    const http_answer page = get_json(system.url("entry-1"), "/console");
    CHECK(page.status == 200);
    CHECK(contains(page.headers.at("Content-Type"), "text/html"));
    CHECK(contains(page.text, "operation_id: operation"));
    const auto current = admin_get(system, "entry-1", "/admin/v1/rollout").body;
    nlohmann::json draft = {{"schema", "ospreystage/rollout/v1"},
                            {"based_on", current["revision"]}};
    for (const char* section :
         {"services", "deployments", "organisations", "classes"})
        draft[section] = current[section];
    draft["organisations"][0]["weight"] = 8;
    const std::string path = "/admin/v1/rollout";
    const http_headers token = token_of(unrestricted_operator);
    CHECK(post_json(system.url("entry-1"), path + "/validate", draft, token)
              .body["valid"] == true);
    const auto changes =
        post_json(system.url("entry-1"), path + "/diff", draft, token).body;
    CHECK(changes["changes"].size() == 1);
    const http_answer accepted =
        post_json(system.url("entry-1"), path,
                  {{"operation_id", "console-1"}, {"document", draft}}, token);
    INFO(accepted.text);
    CHECK(accepted.status == 200);
}

TEST_CASE("system - changes that a token does not permit are rejected") {
    running_fleet running(small_options());
    fleet& system = running.system;
    const operator_settings nobody{"nobody", "wrong", {"*"}};
    rollout_document draft = running.document;
    organisation_of(draft, "branch-2").weight = 6;
    CHECK(submit(system, "entry-1", draft, "a", nobody).status == 401);
    CHECK(get_json(system.url("entry-1"), "/admin/v1/rollout").status == 401);
    CHECK(get_json(system.url("vm-1"), "/admin/v1/dump").status == 401);
    const http_answer refused =
        submit(system, "entry-1", draft, "b", restricted_operator);
    CHECK(refused.status == 403);
    CHECK_FALSE(refused.body.value("error", "").empty());
    draft = running.document;
    organisation_of(draft, "branch-1").weight = 6;
    CHECK(submit(system, "entry-1", draft, "c", restricted_operator).status ==
          200);
}

TEST_CASE(
    "system - a lagging entry rejects a draft that reverts a newer edit") {
    running_fleet running(small_options());
    fleet& system = running.system;
    rollout_document draft = running.document;
    organisation_of(draft, "branch-2").weight = 6;
    system.freeze("entry-1");
    REQUIRE(submit(system, "entry-2", draft, "second").status == 200);
    // The draft names the new revision as its base but has the content of the
    // old one, which would revert the other operator's edit.
    rollout_document undoing = running.document;
    undoing.based_on = 2;
    organisation_of(undoing, "branch-1").weight = 6;
    http_answer answer;
    std::thread client([&] {
        answer =
            submit(system, "entry-1", undoing, "third", restricted_operator);
    });
    std::this_thread::sleep_for(milliseconds(300));
    system.thaw("entry-1");
    client.join();
    INFO(answer.text);
    CHECK(answer.status == 403);
    const auto current = admin_get(system, "entry-2", "/admin/v1/rollout").body;
    CHECK(current["revision"] == 2);
}

TEST_CASE("system - malformed and oversized bodies get a clear error") {
    running_fleet running(small_options());
    fleet& system = running.system;
    const http_headers token = token_of(unrestricted_operator);
    const auto post = [&](const nlohmann::json& body) {
        return post_json(system.url("entry-1"), "/admin/v1/rollout", body,
                         token);
    };
    CHECK(post("text").status == 400);
    CHECK_FALSE(post("text").body.value("error", "").empty());
    const http_answer untyped =
        post({{"operation_id", "x"}, {"document", {{"services", 3}}}});
    CHECK(untyped.status == 422);
    CHECK_FALSE(untyped.body.value("detail", "").empty());
    rollout_document large = running.document;
    large.organisations.front().name = std::string(max_document_bytes, 'n');
    const http_answer long_document = submit(system, "entry-1", large, "large");
    CHECK(long_document.status == 422);
    CHECK_FALSE(long_document.body.value("detail", "").empty());
    const http_answer oversized = post(std::string(5 * 1024 * 1024, 'x'));
    CHECK(oversized.status == 413);
    CHECK(oversized.body.is_object());
    CHECK(contains(oversized.text, "larger than allowed"));
    const http_answer call =
        post_json(system.url("entry-1"), "/v1/chat/completions",
                  std::string(5 * 1024 * 1024, 'x'));
    CHECK(call.status == 413);
    CHECK(call.headers.at("X-Outcome") == "not-run");
    REQUIRE(call.body.is_object());
    CHECK(call.body["error"]["outcome"] == "not-run");
    CHECK(system.process("entry-1").running());
    CHECK(admin_get(system, "entry-1", "/admin/v1/rollout").status == 200);
}

TEST_CASE("system - settings errors name the file, line and key") {
    fleet_options options = small_options();
    fleet system(options);
    const fleet_member member = system.members().front();
    const std::string file = system.options().run_folder + "/bad.toml";
    std::string text = system.settings_of(member);
    const std::string line = "gossip_interval = \"500ms\"";
    text.replace(text.find(line), line.size(), "gossip_interval = \"soon\"");
    const auto number =
        1 + std::count(text.begin(),
                       text.begin() + static_cast<std::ptrdiff_t>(
                                          text.find("gossip_interval")),
                       '\n');
    REQUIRE(write_text_file(file, text));
    const run_result wrong = run_product({"entry", "--settings", file});
    INFO(wrong.output);
    CHECK(wrong.status == 2);
    CHECK(contains(wrong.output, fmt::format("{}:{}", file, number)));
    CHECK(contains(wrong.output, "gossip_interval"));
    const run_result missing =
        run_product({"entry", "--settings", file + ".missing"});
    CHECK(missing.status == 2);
    CHECK(contains(missing.output, file + ".missing"));
}

TEST_CASE("system - the error for an address in use contains the address") {
    fleet_options options = small_options();
    options.plain_agents = 0;
    fleet system(options);
    INFO(system.problem());
    REQUIRE(system.start());
    const fleet_member& member = system.members().front();
    const std::string file =
        system.options().run_folder + "/" + member.name + ".toml";
    const run_result second = run_product({"entry", "--settings", file});
    INFO(second.output);
    CHECK(second.status == 2);
    CHECK(contains(second.output, to_string(member.peer)));
    fleet_member other = member;
    other.peer.port = free_ports(1).at(0);
    REQUIRE(write_text_file(file + ".2", system.settings_of(other)));
    const run_result http = run_product({"entry", "--settings", file + ".2"});
    INFO(http.output);
    CHECK(http.status == 2);
    CHECK(contains(http.output, to_string(member.http)));
}
