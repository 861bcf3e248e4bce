#include <ospreystage/requests/attempt_scheduler.hpp>

#include <catch2/catch.hpp>

#include <algorithm>

using namespace ospreystage;

namespace {

const process_id agent{"agent-1", 7};
const process_id entry{"entry-1", 3};
const digest version_a(64, 'a');
const digest version_b(64, 'b');
const instant start{std::chrono::hours{1}};

settings scheduler_settings(std::uint32_t capacity, std::uint32_t queue) {
    settings value;
    value.backend_server.capacity = capacity;
    value.backend_server.queue = queue;
    return value;
}

attempt_scheduler make_serving_scheduler(std::uint32_t capacity = 2,
                                         std::uint32_t queue = 2) {
    attempt_scheduler value(agent, scheduler_settings(capacity, queue));
    static_cast<void>(
        value.set_service({"pool", true, {version_a}, true}, start));
    return value;
}

run_order order_of(std::uint64_t sequence) {
    run_order order;
    order.attempt = {entry, sequence};
    order.agent = agent;
    order.service = "pool";
    order.version = version_a;
    order.deadline_ms = 30'000;
    return order;
}

run_order non_idempotent_order(std::uint64_t sequence) {
    run_order order = order_of(sequence);
    order.non_idempotent = true;
    order.idempotency_key = "key";
    return order;
}

template <typename Message>
std::vector<Message> sent(const attempt_scheduler::actions& actions) {
    std::vector<Message> found;
    for (const auto& action : actions) {
        const auto* send = std::get_if<send_to_entry>(&action);
        if (send == nullptr)
            continue;
        if (const auto* body = std::get_if<Message>(&send->body))
            found.push_back(*body);
    }
    return found;
}

template <typename Action>
std::vector<Action> actions_of_type(const attempt_scheduler::actions& actions) {
    std::vector<Action> found;
    for (const auto& action : actions) {
        if (const auto* match = std::get_if<Action>(&action))
            found.push_back(*match);
    }
    return found;
}

refusal refusal_of(const attempt_scheduler::actions& actions) {
    const auto refused = sent<run_refused>(actions);
    REQUIRE(refused.size() == 1);
    CHECK(actions_of_type<start_attempt>(actions).empty());
    return refused.front().reason;
}

} // namespace

TEST_CASE("attempt scheduler - an order for another incarnation is refused") {
    attempt_scheduler value = make_serving_scheduler();
    run_order order = order_of(1);
    order.agent.incarnation = 6;
    CHECK(refusal_of(value.on_run_order(entry, 1, order, start)) ==
          refusal::wrong_incarnation);
}

TEST_CASE(
    "attempt scheduler - only versions that the engine holds are accepted") {
    attempt_scheduler value = make_serving_scheduler();
    run_order order = order_of(1);
    order.version = version_b;
    CHECK(refusal_of(value.on_run_order(entry, 1, order, start)) ==
          refusal::version_not_held);
    order = order_of(2);
    order.service = "other";
    CHECK(refusal_of(value.on_run_order(entry, 1, order, start)) ==
          refusal::not_in_force);
}

TEST_CASE("attempt scheduler - an expired order is refused") {
    attempt_scheduler value = make_serving_scheduler();
    run_order order = order_of(1);
    order.deadline_ms = 0;
    CHECK(refusal_of(value.on_run_order(entry, 1, order, start)) ==
          refusal::expired);
}

TEST_CASE(
    "attempt scheduler - an attempt refused by a full queue never starts") {
    attempt_scheduler value = make_serving_scheduler(1, 1);
    CHECK(actions_of_type<start_attempt>(
              value.on_run_order(entry, 1, order_of(1), start))
              .size() == 1);
    CHECK(value.on_run_order(entry, 1, order_of(2), start).empty());
    CHECK(refusal_of(value.on_run_order(entry, 1, order_of(3), start)) ==
          refusal::overloaded);
    static_cast<void>(value.on_seal_order(entry, {{entry, 2}}, start));
    CHECK(value.queued() == 0);
    CHECK(refusal_of(value.on_run_order(entry, 1, order_of(3), start)) ==
          refusal::sealed);
}

TEST_CASE(
    "attempt scheduler - an order that arrives after its seal never runs") {
    attempt_scheduler value = make_serving_scheduler();
    const auto sealed = value.on_seal_order(entry, {{entry, 1}}, start);
    CHECK(refusal_of(sealed) == refusal::sealed);
    CHECK(refusal_of(value.on_run_order(entry, 1, order_of(1), start)) ==
          refusal::sealed);
    const instant later = start + std::chrono::minutes{5};
    static_cast<void>(value.tick(later));
    CHECK(refusal_of(value.on_run_order(entry, 1, order_of(1), later)) ==
          refusal::sealed);
}

TEST_CASE("attempt scheduler - a started attempt cannot be sealed") {
    attempt_scheduler value = make_serving_scheduler();
    static_cast<void>(value.on_run_order(entry, 1, order_of(1), start));
    const auto actions = value.on_seal_order(entry, {{entry, 1}}, start);
    CHECK(sent<seal_failed>(actions).size() == 1);
    CHECK(sent<run_refused>(actions).empty());
}

TEST_CASE("attempt scheduler - orders of an earlier epoch are refused after a "
          "reconnect") {
    attempt_scheduler value = make_serving_scheduler();
    static_cast<void>(value.on_link_up(entry, 2, start));
    CHECK(refusal_of(value.on_run_order(entry, 1, order_of(1), start)) ==
          refusal::stale_epoch);
}

TEST_CASE("attempt scheduler - a reconnect seals what is queued and lists what "
          "started") {
    attempt_scheduler value = make_serving_scheduler(2, 4);
    static_cast<void>(value.on_link_up(entry, 1, start));
    static_cast<void>(value.on_run_order(entry, 1, order_of(1), start));
    static_cast<void>(
        value.on_run_order(entry, 1, non_idempotent_order(2), start));
    static_cast<void>(value.on_run_order(entry, 1, order_of(3), start));
    CHECK(value.queued() == 1);
    const auto result = value.on_link_up(entry, 2, start);
    std::vector<attempt_id> started = result.started;
    std::sort(started.begin(), started.end());
    CHECK(started == std::vector<attempt_id>{{entry, 1}, {entry, 2}});
    CHECK(value.queued() == 0);
    const auto cancelled =
        actions_of_type<cancel_attempt>(result.actions_after_hello);
    REQUIRE(cancelled.size() == 1);
    CHECK(cancelled.front().attempt == attempt_id{entry, 1});
    CHECK(value.running() == 1);
    CHECK(refusal_of(value.on_run_order(entry, 2, order_of(3), start)) ==
          refusal::sealed);
}

TEST_CASE(
    "attempt scheduler - an ended attempt stays listed past its deadline") {
    attempt_scheduler value = make_serving_scheduler();
    static_cast<void>(value.on_run_order(entry, 1, order_of(1), start));
    static_cast<void>(
        value.on_begin({entry, 1}, 200, "text/plain", version_a, start));
    static_cast<void>(value.on_end({entry, 1}, start));
    const instant later = start + milliseconds{31'000};
    static_cast<void>(value.tick(later));
    CHECK(value.on_link_up(entry, 2, later).started.size() == 1);
}

TEST_CASE(
    "attempt scheduler - a retained answer is resent from its first part") {
    attempt_scheduler value = make_serving_scheduler();
    static_cast<void>(
        value.on_run_order(entry, 1, non_idempotent_order(1), start));
    static_cast<void>(
        value.on_begin({entry, 1}, 200, "text/plain", version_a, start));
    static_cast<void>(value.on_part({entry, 1}, "one", start));
    static_cast<void>(value.on_part({entry, 1}, "two", start));
    static_cast<void>(value.on_end({entry, 1}, start));
    const auto result = value.on_link_up(entry, 2, start);
    CHECK(sent<answer_begin>(result.actions_after_hello).size() == 1);
    const auto parts = sent<answer_part>(result.actions_after_hello);
    REQUIRE(parts.size() == 2);
    CHECK(parts[0].index == 0);
    CHECK(parts[1].data == "two");
    REQUIRE(sent<answer_end>(result.actions_after_hello).size() == 1);
    CHECK(sent<answer_end>(result.actions_after_hello).front().parts == 2);
}

TEST_CASE("attempt scheduler - a restarted entry may reuse sequences") {
    attempt_scheduler value = make_serving_scheduler();
    static_cast<void>(value.on_run_order(entry, 5, order_of(1), start));
    const process_id restarted{"entry-1", 4};
    const auto result = value.on_link_up(restarted, 1, start);
    CHECK(result.started.empty());
    run_order order = order_of(1);
    order.attempt.entry = restarted;
    CHECK(actions_of_type<start_attempt>(
              value.on_run_order(restarted, 1, order, start))
              .size() == 1);
    CHECK(refusal_of(value.on_run_order(entry, 6, order_of(2), start)) ==
          refusal::stale_epoch);
}

TEST_CASE("attempt scheduler - an answer of another version is not forwarded") {
    attempt_scheduler value = make_serving_scheduler();
    static_cast<void>(value.on_run_order(entry, 1, order_of(1), start));
    const auto actions =
        value.on_begin({entry, 1}, 200, "text/plain", version_b, start);
    CHECK(sent<answer_begin>(actions).empty());
    CHECK(sent<run_failed>(actions).size() == 1);
    CHECK(actions_of_type<cancel_attempt>(actions).size() == 1);
    CHECK(value.on_part({entry, 1}, "late", start).empty());
}

TEST_CASE("attempt scheduler - removing a version refuses attempts that are "
          "queued for it") {
    attempt_scheduler value = make_serving_scheduler(1, 2);
    static_cast<void>(value.on_run_order(entry, 1, order_of(1), start));
    static_cast<void>(value.on_run_order(entry, 1, order_of(2), start));
    const auto actions =
        value.set_service({"pool", true, {version_b}, true}, start);
    CHECK(refusal_of(actions) == refusal::version_not_held);
    CHECK(value.is_version_in_use(version_a));
    CHECK(value.running() == 1);
}

TEST_CASE(
    "attempt scheduler - a drain refuses new attempts and completes others") {
    attempt_scheduler value = make_serving_scheduler(1, 2);
    static_cast<void>(value.on_run_order(entry, 1, order_of(1), start));
    static_cast<void>(value.on_run_order(entry, 1, order_of(2), start));
    value.set_leaving();
    CHECK(refusal_of(value.on_run_order(entry, 1, order_of(3), start)) ==
          refusal::leaving);
    static_cast<void>(
        value.on_begin({entry, 1}, 200, "text/plain", version_a, start));
    const auto ended = value.on_end({entry, 1}, start);
    CHECK(actions_of_type<start_attempt>(ended).size() == 1);
    CHECK_FALSE(value.idle());
    static_cast<void>(
        value.on_begin({entry, 2}, 200, "text/plain", version_a, start));
    static_cast<void>(value.on_end({entry, 2}, start));
    CHECK(value.idle());
}

TEST_CASE("attempt scheduler - an unreachable back end seals the attempt") {
    attempt_scheduler value = make_serving_scheduler();
    static_cast<void>(value.on_run_order(entry, 1, order_of(1), start));
    const auto refused =
        value.on_failed({entry, 1}, false, "connection refused", start);
    CHECK(refusal_of(refused) == refusal::back_end_unreachable);
    static_cast<void>(value.on_run_order(entry, 1, order_of(2), start));
    const auto failed = value.on_failed({entry, 2}, true, "reset", start);
    CHECK(sent<run_failed>(failed).size() == 1);
}

TEST_CASE(
    "attempt scheduler - a cancelled non-idempotent attempt runs to its end") {
    attempt_scheduler value = make_serving_scheduler();
    static_cast<void>(
        value.on_run_order(entry, 1, non_idempotent_order(1), start));
    static_cast<void>(value.on_run_order(entry, 1, order_of(2), start));
    CHECK(value.on_cancel_order(entry, {{entry, 1}}, start).empty());
    const auto actions = value.on_cancel_order(entry, {{entry, 2}}, start);
    CHECK(actions_of_type<cancel_attempt>(actions).size() == 1);
    CHECK(value.running() == 1);
}

TEST_CASE("attempt scheduler - an attempt past its deadline is cancelled and "
          "reported") {
    attempt_scheduler value = make_serving_scheduler(1, 2);
    static_cast<void>(value.on_run_order(entry, 1, order_of(1), start));
    static_cast<void>(value.on_run_order(entry, 1, order_of(2), start));
    const auto actions = value.tick(start + milliseconds{30'000});
    CHECK(sent<run_failed>(actions).size() == 1);
    const auto refused = sent<run_refused>(actions);
    REQUIRE(refused.size() == 1);
    CHECK(refused.front().reason == refusal::expired);
    CHECK(value.idle());
}
