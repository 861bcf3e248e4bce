#include <ospreystage/requests/broker.hpp>
#include <ospreystage/requests/claim_tally.hpp>

#include <catch2/catch.hpp>

#include <memory>

using namespace ospreystage;

namespace {

const process_id self{"entry-1", 5};
const process_id agent_a{"vm-a", 11};
const process_id agent_b{"vm-b", 12};
const digest version_a(64, 'a');
const digest version_b(64, 'b');
const instant start{std::chrono::hours{1}};

settings broker_settings() {
    settings value;
    for (const char* name : {"w-1", "w-2", "w-3"})
        value.cluster.witnesses.push_back({name, {}});
    return value;
}

std::shared_ptr<const rollout_document> pool_document() {
    auto document = std::make_shared<rollout_document>();
    service pool;
    pool.name = "pool";
    pool.vms = {"vm-a", "vm-b"};
    service plain;
    plain.name = "records";
    plain.kind = service_kind::plain;
    plain.vms = {"vm-a", "vm-b"};
    plain.non_idempotent_routes = {"/sanction"};
    document->services = {pool, plain};
    deployment live;
    live.name = "live";
    live.service = "pool";
    live.version = version_a;
    live.traffic = {{"*", 100}};
    document->deployments = {live};
    return document;
}

member agent_member(const process_id& id) {
    member value;
    value.id = id;
    value.vm = id.name;
    value.role = process_role::agent;
    return value;
}

load_report report_of(const process_id& agent) {
    load_report report;
    report.agent = agent;
    report.service = "pool";
    report.capacity = 4;
    report.versions = {version_a};
    return report;
}

incoming_request streamed_request() {
    incoming_request value;
    value.organisation = "board";
    value.service = "pool";
    value.method = "POST";
    value.path = "/generate";
    value.body = "prompt";
    value.stream = true;
    return value;
}

incoming_request buffered_request() {
    incoming_request value = streamed_request();
    value.stream = false;
    return value;
}

incoming_request non_idempotent_request() {
    incoming_request value = buffered_request();
    value.service = "records";
    value.path = "/sanction";
    value.idempotency_key = "key-1";
    return value;
}

template <typename Action>
std::vector<Action> all(const broker::actions& actions) {
    std::vector<Action> found;
    for (const auto& action : actions) {
        if (const auto* match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

template <typename Message>
std::vector<Message> sent(const broker::actions& actions) {
    std::vector<Message> found;
    for (const auto& send : all<send_action>(actions)) {
        if (const auto* body = std::get_if<Message>(&send.body))
            found.push_back(*body);
    }
    return found;
}

/// Broker whose agents are listed, connected and have reported their load.
struct fixture {
    broker value;

    explicit fixture(const std::vector<process_id>& agents)
        : value(self, broker_settings(), 1) {
        value.set_document(pool_document(), start);
        std::vector<member> members;
        members.reserve(agents.size());
        for (const process_id& agent : agents)
            members.push_back(agent_member(agent));
        value.set_agents(members);
        for (const process_id& agent : agents)
            link(agent);
    }

    void link(const process_id& agent) {
        static_cast<void>(value.on_link_up(agent, {}, start));
        static_cast<void>(value.on_message(agent, report_of(agent), start));
    }

    run_order begin(const incoming_request& incoming) {
        const auto orders = sent<run_order>(value.begin(1, incoming, start));
        REQUIRE(orders.size() == 1);
        return orders.front();
    }

    /// Replies to every claim request in `actions` with a vote for `held`, by
    /// default for the requesting attempt itself.
    broker::actions vote(const broker::actions& actions,
                         const std::optional<attempt_id>& held = {},
                         const std::string& body = "") {
        broker::actions out;
        for (const auto& send : all<send_action>(actions)) {
            const auto* claim = std::get_if<claim_request>(&send.body);
            if (claim == nullptr)
                continue;
            claim_reply reply;
            reply.held = claim->record;
            reply.asked = claim->record.attempt;
            reply.witness = {send.process, 1};
            if (held)
                reply.held.attempt = *held;
            if (!body.empty())
                reply.held.body = body;
            for (auto& action : value.on_message(reply.witness, reply, start))
                out.push_back(std::move(action));
        }
        return out;
    }
};

refuse_action only_refusal(const broker::actions& actions) {
    const auto refusals = all<refuse_action>(actions);
    REQUIRE(refusals.size() == 1);
    return refusals.front();
}

} // namespace

TEST_CASE("broker - a complete answer reaches its caller") {
    fixture entry({agent_a});
    const run_order order = entry.begin(buffered_request());
    CHECK(order.version == version_a);
    CHECK(order.agent == agent_a);
    const attempt_id id = order.attempt;
    const answer_begin begin{id, 200, "text/plain", version_a};
    CHECK(entry.value.on_message(agent_a, begin, start).empty());
    CHECK(entry.value.on_message(agent_a, answer_part{id, 0, "he"}, start)
              .empty());
    CHECK(entry.value.on_message(agent_a, answer_part{id, 1, "llo"}, start)
              .empty());
    const auto actions =
        entry.value.on_message(agent_a, answer_end{id, 2}, start);
    REQUIRE(actions.size() == 3);
    CHECK(all<answer_begin_action>(actions).front().version == version_a);
    CHECK(all<answer_part_action>(actions).front().data == "hello");
    CHECK(all<answer_end_action>(actions).front().request == 1);
    CHECK(entry.value.idle());
}

TEST_CASE("broker - frames of another incarnation or attempt are dropped") {
    fixture entry({agent_a});
    const attempt_id id = entry.begin(buffered_request()).attempt;
    const process_id older{"vm-a", 10};
    const answer_begin begin{id, 200, "text/plain", version_a};
    CHECK(entry.value.on_message(older, begin, start).empty());
    attempt_id earlier = id;
    earlier.entry.incarnation = 4;
    CHECK(
        entry.value.on_message(agent_a, answer_end{earlier, 0}, start).empty());
    CHECK(entry.value.on_message(agent_a, answer_end{{self, 99}, 0}, start)
              .empty());
    CHECK(entry.value.dump()["dropped_frames_total"] == 3);
    CHECK_FALSE(entry.value.idle());
}

TEST_CASE("broker - a truncated answer is never shown as complete") {
    fixture entry({agent_a});
    const attempt_id id = entry.begin(streamed_request()).attempt;
    const answer_begin begin{id, 200, "text/plain", version_a};
    CHECK(
        all<answer_begin_action>(entry.value.on_message(agent_a, begin, start))
            .size() == 1);
    static_cast<void>(
        entry.value.on_message(agent_a, answer_part{id, 0, "a"}, start));
    const auto actions =
        entry.value.on_message(agent_a, answer_end{id, 2}, start);
    CHECK(all<answer_end_action>(actions).empty());
    CHECK(sent<cancel_order>(actions).size() == 1);
    CHECK(only_refusal(actions).result == outcome::unknown);
}

TEST_CASE("broker - a gap in the parts ends the attempt") {
    fixture entry({agent_a, agent_b});
    const run_order order = entry.begin(streamed_request());
    const attempt_id id = order.attempt;
    const answer_begin begin{id, 200, "text/plain", version_a};
    static_cast<void>(entry.value.on_message(order.agent, begin, start));
    const auto actions =
        entry.value.on_message(order.agent, answer_part{id, 1, "b"}, start);
    CHECK(all<answer_part_action>(actions).empty());
    const auto orders = sent<run_order>(actions);
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().agent != order.agent);
    CHECK(orders.front().attempt != id);
}

TEST_CASE("broker - an answer of another version is not forwarded") {
    fixture entry({agent_a, agent_b});
    const run_order order = entry.begin(streamed_request());
    const answer_begin begin{order.attempt, 200, "text/plain", version_b};
    const auto actions = entry.value.on_message(order.agent, begin, start);
    CHECK(all<answer_begin_action>(actions).empty());
    CHECK(sent<cancel_order>(actions).size() == 1);
    CHECK(sent<run_order>(actions).size() == 1);
}

TEST_CASE("broker - a broken stream continues after the forwarded tokens") {
    fixture entry({agent_a, agent_b});
    const run_order first = entry.begin(streamed_request());
    const answer_begin begin{first.attempt, 200, "text/plain", version_a};
    static_cast<void>(entry.value.on_message(first.agent, begin, start));
    static_cast<void>(entry.value.on_message(
        first.agent, answer_part{first.attempt, 0, "a"}, start));
    const auto orders =
        sent<run_order>(entry.value.on_link_down(first.agent.name, start));
    REQUIRE(orders.size() == 1);
    const run_order& second = orders.front();
    CHECK(second.skip_tokens == 1);
    CHECK(second.version == version_a);
    const answer_begin again{second.attempt, 200, "text/plain", version_a};
    CHECK(entry.value.on_message(second.agent, again, start).empty());
    CHECK(
        entry.value
            .on_message(first.agent, answer_part{first.attempt, 1, "x"}, start)
            .empty());
    const auto part = entry.value.on_message(
        second.agent, answer_part{second.attempt, 0, "b"}, start);
    CHECK(all<answer_part_action>(part).front().data == "b");
    const auto end = entry.value.on_message(
        second.agent, answer_end{second.attempt, 1}, start);
    CHECK(all<answer_end_action>(end).size() == 1);
}

TEST_CASE("broker - a stream whose version is held nowhere else is unknown") {
    fixture entry({agent_a, agent_b});
    const run_order first = entry.begin(streamed_request());
    const process_id other = first.agent == agent_a ? agent_b : agent_a;
    load_report changed = report_of(other);
    changed.versions = {version_b};
    static_cast<void>(entry.value.on_message(other, changed, start));
    const answer_begin begin{first.attempt, 200, "text/plain", version_a};
    static_cast<void>(entry.value.on_message(first.agent, begin, start));
    auto actions = entry.value.on_message(
        first.agent, run_failed{first.attempt, "reset"}, start);
    CHECK(only_refusal(actions).result == outcome::unknown);
}

TEST_CASE("broker - a refused attempt is not run and is retried elsewhere") {
    fixture entry({agent_a, agent_b});
    const run_order first = entry.begin(buffered_request());
    auto actions = entry.value.on_message(
        first.agent, run_refused{first.attempt, refusal::leaving, 0}, start);
    const auto orders = sent<run_order>(actions);
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().agent != first.agent);
    actions = entry.value.on_message(
        orders.front().agent,
        run_refused{orders.front().attempt, refusal::overloaded, 700}, start);
    const refuse_action refusal = only_refusal(actions);
    CHECK(refusal.result == outcome::not_run);
    CHECK(refusal.retry_after == milliseconds{700});
}

TEST_CASE("broker - a request without a back end is refused at once") {
    broker value(self, broker_settings(), 1);
    value.set_document(pool_document(), start);
    const refuse_action refusal =
        only_refusal(value.begin(1, buffered_request(), start));
    CHECK(refusal.result == outcome::not_run);
    CHECK(refusal.retry_after > milliseconds{0});
    CHECK(value.idle());
}

TEST_CASE("broker - no attempt is ordered before the link is up") {
    broker value(self, broker_settings(), 1);
    value.set_document(pool_document(), start);
    value.set_agents({agent_member(agent_a)});
    CHECK(all<connect_action>(value.tick(start)).size() == 1);
    CHECK(sent<run_order>(value.begin(1, buffered_request(), start)).empty());
    CHECK(value.on_link_up(agent_a, {}, start).empty());
    const auto actions = value.on_message(agent_a, report_of(agent_a), start);
    CHECK(sent<run_order>(actions).size() == 1);
}

TEST_CASE("broker - the wait for an agent that never connects is bounded") {
    broker value(self, broker_settings(), 1);
    value.set_document(pool_document(), start);
    value.set_agents({agent_member(agent_a)});
    static_cast<void>(value.begin(1, buffered_request(), start));
    CHECK(all<refuse_action>(value.tick(start + milliseconds{1000})).empty());
    const auto actions = value.tick(start + milliseconds{1500});
    CHECK(only_refusal(actions).result == outcome::not_run);
}

TEST_CASE("broker - a leaving entry refuses requests and completes its own") {
    fixture entry({agent_a});
    const attempt_id id = entry.begin(buffered_request()).attempt;
    entry.value.set_leaving();
    CHECK(
        only_refusal(entry.value.begin(2, buffered_request(), start)).reason ==
        "leaving");
    CHECK_FALSE(entry.value.idle());
    const answer_begin begin{id, 200, "text/plain", version_a};
    static_cast<void>(entry.value.on_message(agent_a, begin, start));
    static_cast<void>(
        entry.value.on_message(agent_a, answer_end{id, 0}, start));
    CHECK(entry.value.idle());
}

TEST_CASE("broker - a deadline during an attempt ends the request at once") {
    fixture entry({agent_a});
    const attempt_id id = entry.begin(buffered_request()).attempt;
    const auto early = entry.value.tick(start + milliseconds{29'850});
    CHECK(sent<seal_order>(early).size() == 1);
    SECTION("sealed in time: not run") {
        const auto actions =
            entry.value.on_message(agent_a, run_refused{id, refusal::sealed, 0},
                                   start + milliseconds{29'900});
        CHECK(only_refusal(actions).result == outcome::not_run);
    }
    SECTION("not sealed: unknown, and the attempt is cancelled") {
        const auto actions = entry.value.tick(start + milliseconds{30'000});
        CHECK(only_refusal(actions).result == outcome::unknown);
        CHECK(sent<cancel_order>(actions).size() == 1);
    }
    CHECK(entry.value.idle());
}

TEST_CASE("broker - the attempt of a disconnected caller is cancelled") {
    fixture entry({agent_a});
    const attempt_id id = entry.begin(buffered_request()).attempt;
    const auto actions = entry.value.cancel(1, start);
    REQUIRE(sent<cancel_order>(actions).size() == 1);
    CHECK(sent<cancel_order>(actions).front().attempt == id);
    CHECK(all<refuse_action>(actions).empty());
    CHECK(entry.value.idle());
}

TEST_CASE(
    "broker - a non-idempotent request runs only after its claim is won") {
    fixture entry({agent_a});
    const auto claims = entry.value.begin(1, non_idempotent_request(), start);
    CHECK(sent<run_order>(claims).empty());
    CHECK(sent<claim_request>(claims).size() == 3);
    const auto orders = sent<run_order>(entry.vote(claims));
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().non_idempotent);
    const auto failed = entry.value.on_message(
        agent_a, run_failed{orders.front().attempt, "reset"}, start);
    CHECK(sent<run_order>(failed).empty());
    CHECK(sent<claim_release>(failed).empty());
    CHECK(only_refusal(failed).result == outcome::unknown);
}

TEST_CASE("broker - a key that another attempt holds is unknown") {
    fixture entry({agent_a});
    const attempt_id other{{"entry-2", 1}, 9};
    const auto claims = entry.value.begin(1, non_idempotent_request(), start);
    const auto actions = entry.vote(claims, other);
    CHECK(sent<run_order>(actions).empty());
    const refuse_action refusal = only_refusal(actions);
    CHECK(refusal.result == outcome::unknown);
    CHECK(refusal.reason == "already_run");
}

TEST_CASE("broker - a key used with another body is refused") {
    fixture entry({agent_a});
    const attempt_id other{{"entry-2", 1}, 9};
    const auto claims = entry.value.begin(1, non_idempotent_request(), start);
    const auto refusal =
        only_refusal(entry.vote(claims, other, digest(64, 'c')));
    CHECK(refusal.result == outcome::not_run);
    CHECK(refusal.reason == "key_reused");
}

TEST_CASE("broker - a claim without votes ends as unknown and is released") {
    fixture entry({agent_a});
    static_cast<void>(entry.value.begin(1, non_idempotent_request(), start));
    const auto again = entry.value.tick(start + milliseconds{300});
    CHECK(sent<claim_request>(again).size() == 3);
    const auto actions = entry.value.tick(start + milliseconds{1000});
    // An earlier request with the same key may have run.
    CHECK(only_refusal(actions).result == outcome::unknown);
    CHECK(sent<claim_release>(actions).size() == 3);
}

TEST_CASE("broker - a keyed request refused before its claim is unknown") {
    fixture entry({agent_a});
    entry.value.set_leaving();
    const auto keyed = entry.value.begin(1, non_idempotent_request(), start);
    CHECK(only_refusal(keyed).result == outcome::unknown);
    incoming_request plain = non_idempotent_request();
    plain.non_idempotent = false;
    plain.idempotency_key.clear();
    const auto unkeyed = entry.value.begin(2, plain, start);
    CHECK(only_refusal(unkeyed).result == outcome::not_run);
}

TEST_CASE("broker - a lost link is resolved by what the agent has started") {
    fixture entry({agent_a});
    const auto claims = entry.value.begin(1, non_idempotent_request(), start);
    const attempt_id id = sent<run_order>(entry.vote(claims)).front().attempt;
    const auto down = entry.value.on_link_down("vm-a", start);
    CHECK(all<connect_action>(down).size() == 1);
    CHECK(all<refuse_action>(down).empty());
    SECTION("not started: a new attempt may run under the same claim") {
        const auto actions = entry.value.on_link_up(agent_a, {}, start);
        const auto orders = sent<run_order>(actions);
        REQUIRE(orders.size() == 1);
        CHECK(orders.front().attempt != id);
    }
    SECTION("started: its answer is resent") {
        CHECK(entry.value.on_link_up(agent_a, {id}, start).empty());
        const answer_begin begin{id, 201, "text/plain", ""};
        static_cast<void>(entry.value.on_message(agent_a, begin, start));
        const auto actions =
            entry.value.on_message(agent_a, answer_end{id, 0}, start);
        CHECK(all<answer_end_action>(actions).size() == 1);
    }
    SECTION("another incarnation: unknown at once") {
        const process_id restarted{"vm-a", 99};
        const auto actions = entry.value.on_link_up(restarted, {}, start);
        CHECK(only_refusal(actions).result == outcome::unknown);
        CHECK(sent<run_order>(actions).empty());
    }
    SECTION("unreachable: unknown within the timeout") {
        static_cast<void>(entry.value.on_link_down("vm-a", start));
        const auto actions = entry.value.tick(start + milliseconds{1500});
        CHECK(only_refusal(actions).result == outcome::unknown);
    }
}
