#include <ospreystage/requests/admission.hpp>
#include <ospreystage/requests/retry_budget.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace ospreystage;

namespace {

const instant start{std::chrono::hours{1}};

rollout_document limits(std::uint32_t rate, std::uint32_t burst) {
    rollout_document document;
    document.organisations = {{"board", 3, rate, burst}, {"tokachi", 1, 0, 0}};
    return document;
}

admission_ticket ticket(request_id request, const std::string& organisation,
                        milliseconds left = milliseconds{30'000},
                        std::uint32_t priority = 0) {
    return {request, organisation, "pool", "desk", priority, start + left};
}

bool granted(const admission_decision& decision) {
    return std::holds_alternative<admission_granted>(decision);
}

bool queued(const admission_decision& decision) {
    return std::holds_alternative<admission_queued>(decision);
}

admission_refused refused(const admission_decision& decision) {
    REQUIRE(std::holds_alternative<admission_refused>(decision));
    return std::get<admission_refused>(decision);
}

/// Sets the average service time of the pool to `took`.
void set_average_service_time(admission& value, milliseconds took) {
    const admission_ticket sample{
        1'000'000, "sample", "pool", "desk", 0, start + milliseconds{30'000}};
    REQUIRE(granted(value.admit(sample, start - took)));
    value.end(sample.request, true, start);
}

} // namespace

TEST_CASE("admission - an organisation over its rate is refused") {
    admission value(100);
    value.set_document(limits(10, 2), start);
    CHECK(granted(value.admit(ticket(1, "board"), start)));
    CHECK(granted(value.admit(ticket(2, "board"), start)));
    const auto refusal = refused(value.admit(ticket(3, "board"), start));
    CHECK(refusal.reason == "rate_limited");
    CHECK(refusal.retry_after == milliseconds{100});
    CHECK(granted(value.admit(ticket(4, "tokachi"), start)));
    const instant later = start + refusal.retry_after;
    CHECK(granted(value.admit(ticket(5, "board"), later)));
}

TEST_CASE("admission - a new document does not refill the buckets") {
    admission value(100);
    value.set_document(limits(10, 1), start);
    CHECK(granted(value.admit(ticket(1, "board"), start)));
    value.set_document(limits(10, 1), start);
    CHECK(refused(value.admit(ticket(2, "board"), start)).reason ==
          "rate_limited");
}

TEST_CASE("admission - slots bound the running requests") {
    admission value(100);
    value.set_slots("pool", 1);
    CHECK(granted(value.admit(ticket(1, "board"), start)));
    CHECK(queued(value.admit(ticket(2, "board"), start)));
    CHECK(value.take_startable(start).empty());
    value.end(1, true, start);
    CHECK(value.take_startable(start) == std::vector<request_id>{2});
    value.end(2, true, start);
    CHECK(value.size() == 0);
}

TEST_CASE("admission - more slots start queued requests") {
    admission value(100);
    value.set_slots("pool", 1);
    CHECK(granted(value.admit(ticket(1, "board"), start)));
    CHECK(queued(value.admit(ticket(2, "board"), start)));
    value.set_slots("pool", 2);
    CHECK(value.take_startable(start).size() == 1);
}

TEST_CASE("admission - the total is bounded") {
    admission value(2);
    CHECK(granted(value.admit(ticket(1, "board"), start)));
    CHECK(granted(value.admit(ticket(2, "board"), start)));
    const auto refusal = refused(value.admit(ticket(3, "board"), start));
    CHECK(refusal.reason == "overloaded");
    CHECK(refusal.retry_after >= milliseconds{50});
}

TEST_CASE("admission - slots are shared by weight under contention") {
    admission value(1000);
    value.set_document(limits(0, 0), start);
    value.set_slots("pool", 40);
    request_id next = 1;
    for (int index = 0; index < 200; ++index) {
        static_cast<void>(value.admit(ticket(next++, "tokachi"), start));
        static_cast<void>(value.admit(ticket(next++, "board"), start));
    }
    // The first 40 slots are split evenly. Each end then starts a request of
    // the organisation with the lowest usage for its weight.
    std::map<bool, int> running{{true, 20}, {false, 20}};
    std::vector<request_id> active;
    for (request_id id = 1; id <= 40; ++id)
        active.push_back(id);
    for (int round = 0; round < 60; ++round) {
        const request_id ended = active.front();
        active.erase(active.begin());
        value.end(ended, true, start);
        --running[ended % 2 == 0];
        for (const request_id id : value.take_startable(start)) {
            ++running[id % 2 == 0];
            active.push_back(id);
        }
    }
    CHECK(running[true] == 30);
    CHECK(running[false] == 10);
}

TEST_CASE("admission - one organisation's queue does not hold up another") {
    admission value(1000);
    value.set_slots("pool", 2);
    for (request_id id = 1; id <= 50; ++id)
        static_cast<void>(value.admit(ticket(id, "board"), start));
    CHECK(queued(value.admit(ticket(51, "tokachi"), start)));
    value.end(1, true, start);
    CHECK(value.take_startable(start) == std::vector<request_id>{51});
}

TEST_CASE("admission - a higher class goes first") {
    admission value(100);
    value.set_slots("pool", 1);
    const milliseconds left{30'000};
    static_cast<void>(value.admit(ticket(1, "board"), start));
    static_cast<void>(value.admit(ticket(2, "board", left, 1), start));
    static_cast<void>(value.admit(ticket(3, "board", left, 5), start));
    value.end(1, true, start);
    CHECK(value.take_startable(start) == std::vector<request_id>{3});
}

TEST_CASE("admission - a request that would miss its deadline is refused") {
    admission value(100);
    set_average_service_time(value, milliseconds{1000});
    value.set_slots("pool", 1);
    CHECK(granted(value.admit(ticket(1, "board"), start)));
    CHECK(queued(value.admit(ticket(2, "board", milliseconds{2500}), start)));
    const auto refusal =
        refused(value.admit(ticket(3, "board", milliseconds{2500}), start));
    CHECK(refusal.reason == "overloaded");
    CHECK(refusal.retry_after == milliseconds{2000});
    CHECK(queued(value.admit(ticket(4, "board"), start)));
}

TEST_CASE(
    "admission - a queued request that would miss its deadline is dropped") {
    admission value(100);
    set_average_service_time(value, milliseconds{1000});
    value.set_slots("pool", 1);
    static_cast<void>(value.admit(ticket(1, "board"), start));
    static_cast<void>(
        value.admit(ticket(2, "board", milliseconds{2500}), start));
    CHECK(value.take_unservable(start + milliseconds{1400}).empty());
    CHECK(value.take_unservable(start + milliseconds{1500}) ==
          std::vector<request_id>{2});
    value.end(1, false, start);
    CHECK(value.size() == 0);
}

TEST_CASE("admission - a slow class does not cause refusals of a fast one") {
    admission value(100);
    set_average_service_time(value, milliseconds{20'000});
    value.set_slots("pool", 1);
    admission_ticket quick = ticket(1, "board", milliseconds{2000});
    quick.request_class = "counter";
    CHECK(granted(value.admit(quick, start)));
    value.end(1, true, start + milliseconds{300});
    CHECK(granted(value.admit(ticket(2, "board", milliseconds{2000}), start)));
}

TEST_CASE("admission - a failed request does not shorten the estimate") {
    admission value(100);
    set_average_service_time(value, milliseconds{1000});
    static_cast<void>(value.admit(ticket(1, "board"), start));
    value.end(1, false, start);
    CHECK(value.dump()["pools"]["pool"]["service_ms"] == 1000.0);
}

TEST_CASE("admission - retries are bounded by recent requests") {
    retry_budget budget(10);
    int first = 0;
    while (budget.try_withdraw())
        ++first;
    CHECK(first == 10);
    int spent = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.deposit();
        spent += budget.try_withdraw() ? 1 : 0;
    }
    CHECK(spent == 100);
    retry_budget none(0);
    none.deposit();
    CHECK_FALSE(none.try_withdraw());
}
