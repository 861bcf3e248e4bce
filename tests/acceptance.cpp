#include <ospreystage/rollout/acceptance.hpp>

#include <catch2/catch.hpp>

#include <deque>
#include <map>
#include <vector>

using namespace ospreystage;

namespace {

/// Fault injected into one call.
enum class fault {
    none,
    unavailable,  ///< Fails; nothing was sent.
    answer_lost,  ///< Takes effect, but its answer is lost.
    request_lost, ///< Never arrives; the effect is unknown.
    delayed,      ///< Arrives when the test delivers it; the effect is unknown.
};

/// Key-value store with compare-and-swap and a queue of faults, one for each of
/// the next calls.
class store {
  public:
    kv_reply perform(const kv_read_call& call) {
        const fault next = take_fault();
        if (next != fault::none)
            return error{error_code::unavailable, "kv.read", "", ""};
        return kv_reading{find(call.key), revision_};
    }

    kv_reply perform(const kv_write_call& call) {
        ++writes[call.key];
        switch (take_fault()) {
        case fault::none:
            return write(call);
        case fault::unavailable:
            return error{error_code::unavailable, "kv.write", "", ""};
        case fault::answer_lost:
            static_cast<void>(write(call));
            break;
        case fault::delayed:
            delayed_writes.push_back(call);
            break;
        case fault::request_lost:
            break;
        }
        return error{error_code::unknown_effect, "kv.write", "", ""};
    }

    kv_reply perform(const acceptance_result&) { return error{}; }

    kv_reply write(const kv_write_call& call) {
        const auto known = find(call.key);
        if ((known ? known->mod_revision : 0) != call.expected)
            return kv_conflict{known};
        keys_[call.key] = {call.value, ++revision_};
        return kv_written{};
    }

    [[nodiscard]] std::optional<kv_entry> find(const std::string& key) const {
        const auto found = keys_.find(key);
        if (found == keys_.end())
            return std::nullopt;
        return found->second;
    }

    [[nodiscard]] rollout_document document(const std::string& key) const {
        error failure;
        const auto entry = find(key);
        REQUIRE(entry.has_value());
        auto parsed = value_or_error(
            [&] { return parse_rollout(entry->value); }, failure);
        REQUIRE(parsed.has_value());
        return *parsed;
    }

    std::deque<fault> faults;
    std::vector<kv_write_call> delayed_writes;
    std::map<std::string, int> writes;

  private:
    fault take_fault() {
        if (faults.empty())
            return fault::none;
        const fault next = faults.front();
        faults.pop_front();
        return next;
    }

    std::map<std::string, kv_entry> keys_;
    std::int64_t revision_ = 0;
};

acceptance_step advance(acceptance& operation, const acceptance_step& step,
                        store& keys) {
    const kv_reply reply =
        std::visit([&](const auto& call) { return keys.perform(call); }, step);
    return operation.next(reply);
}

acceptance_result finish(acceptance& operation, const acceptance_step& from,
                         store& keys) {
    acceptance_step step = from;
    for (int calls = 0; calls < 100; ++calls) {
        if (const auto* result = std::get_if<acceptance_result>(&step))
            return *result;
        step = advance(operation, step, keys);
    }
    FAIL("the acceptance does not end");
    return {};
}

acceptance_result finish(acceptance operation, store& keys) {
    acceptance_step step = operation.begin();
    return finish(operation, step, keys);
}

acceptance_request request(revision based_on, const std::string& operation_id,
                           const std::string& operator_name,
                           std::uint32_t weight) {
    acceptance_request value;
    value.draft.organisations = {{"board", weight, 0, 0}, {"credit", 1, 0, 0}};
    value.based_on = based_on;
    value.operator_name = operator_name;
    value.operation_id = operation_id;
    value.accepted_at = "2026-01-01T00:00:00Z";
    return value;
}

/// Returns a store in which revisions 1 to `count` were accepted.
store store_with(revision count) {
    store keys;
    for (revision number = 0; number < count; ++number) {
        const auto weight = static_cast<std::uint32_t>(number + 1);
        const auto result = finish(
            acceptance(request(number, "op-" + std::to_string(number + 1),
                               "shift-" + std::to_string(number + 1), weight)),
            keys);
        REQUIRE(std::holds_alternative<accepted>(result));
    }
    return keys;
}

revision accepted_number(const acceptance_result& result) {
    const auto* success = std::get_if<accepted>(&result);
    return success == nullptr ? 0 : success->number;
}

const rejected& rejection_of(const acceptance_result& result) {
    REQUIRE(std::holds_alternative<rejected>(result));
    return std::get<rejected>(result);
}

} // namespace

TEST_CASE("acceptance - the first document becomes revision 1") {
    store keys;
    const auto result = finish(acceptance(request(0, "op-1", "asha", 2)), keys);
    CHECK(accepted_number(result) == 1);
    const auto document = keys.document(current_rollout_key);
    CHECK(document.number == 1);
    CHECK(document.based_on == 0);
    CHECK(document.operation_id == "op-1");
    CHECK(document.accepted_by == "asha");
}

TEST_CASE("acceptance - the replaced document is kept in the history") {
    store keys = store_with(3);
    CHECK(keys.document(current_rollout_key).number == 3);
    CHECK(keys.document(history_key(1)).operation_id == "op-1");
    CHECK(keys.document(history_key(2)).operation_id == "op-2");
    CHECK_FALSE(keys.find(history_key(3)).has_value());
}

TEST_CASE("acceptance - a write whose answer is lost is found by a read") {
    store keys = store_with(1);
    keys.faults = {fault::none, fault::none, fault::answer_lost};
    const auto result = finish(acceptance(request(1, "op-2", "asha", 9)), keys);
    CHECK(accepted_number(result) == 2);
    CHECK(keys.document(current_rollout_key).operation_id == "op-2");
    CHECK(keys.writes[current_rollout_key] == 2); // one for each revision
}

TEST_CASE("acceptance - a write whose answer is lost is found in the "
          "history") {
    store keys = store_with(1);
    acceptance first(request(1, "op-2", "asha", 9));
    acceptance_step step = first.begin();
    keys.faults = {fault::none, fault::none, fault::answer_lost};
    for (int calls = 0; calls < 3; ++calls)
        step = advance(first, step, keys);
    const auto second = finish(acceptance(request(2, "op-3", "ken", 10)), keys);
    REQUIRE(accepted_number(second) == 3);
    CHECK(accepted_number(finish(first, step, keys)) == 2);
    CHECK(keys.document(current_rollout_key).operation_id == "op-3");
}

TEST_CASE("acceptance - a lost write is retried after a read") {
    store keys = store_with(1);
    keys.faults = {fault::none, fault::none, fault::request_lost};
    const auto result = finish(acceptance(request(1, "op-2", "asha", 9)), keys);
    CHECK(accepted_number(result) == 2);
}

TEST_CASE("acceptance - a delayed write and its retry take effect once") {
    store keys = store_with(1);
    acceptance operation(request(1, "op-2", "asha", 9));
    acceptance_step step = operation.begin();
    keys.faults = {fault::none, fault::none, fault::delayed};
    for (int calls = 0; calls < 4;
         ++calls) // the last call reads the unchanged key
        step = advance(operation, step, keys);
    REQUIRE(std::holds_alternative<kv_write_call>(step));
    CHECK(std::holds_alternative<kv_written>(
        keys.write(keys.delayed_writes.at(0))));
    CHECK(accepted_number(finish(operation, step, keys)) == 2);
    CHECK(keys.document(current_rollout_key).number == 2);
}

TEST_CASE("acceptance - a delayed write after another acceptance has no "
          "effect") {
    store keys = store_with(1);
    acceptance operation(request(1, "op-2", "asha", 9));
    acceptance_step step = operation.begin();
    keys.faults = {fault::none, fault::none, fault::delayed};
    for (int calls = 0; calls < 3; ++calls)
        step = advance(operation, step, keys);
    REQUIRE(accepted_number(
                finish(acceptance(request(1, "op-x", "ken", 5)), keys)) == 2);
    CHECK(rejection_of(finish(operation, step, keys)).reason ==
          rejection::outdated);
    CHECK(std::holds_alternative<kv_conflict>(
        keys.write(keys.delayed_writes.at(0))));
    CHECK(keys.document(current_rollout_key).operation_id == "op-x");
}

TEST_CASE("acceptance - an outage after the write gives not_yet_known, "
          "which is resolved later") {
    store keys = store_with(1);
    keys.faults = {fault::none,        fault::none,        fault::answer_lost,
                   fault::unavailable, fault::unavailable, fault::unavailable,
                   fault::unavailable};
    const auto result = finish(acceptance(request(1, "op-2", "asha", 9)), keys);
    const auto* open = std::get_if<not_yet_known>(&result);
    REQUIRE(open != nullptr);
    CHECK(open->operation_id == "op-2");
    keys.faults = {fault::unavailable, fault::unavailable, fault::unavailable,
                   fault::unavailable};
    CHECK(std::holds_alternative<not_yet_known>(
        finish(acceptance::resolve("op-2", 1), keys)));
    keys.faults.clear();
    CHECK(accepted_number(finish(acceptance::resolve("op-2", 1), keys)) == 2);
    // A retry with the same id returns the same acceptance.
    CHECK(accepted_number(
              finish(acceptance(request(1, "op-2", "asha", 9)), keys)) == 2);
    CHECK(keys.document(current_rollout_key).number == 2);
}

TEST_CASE("acceptance - a retry is recognised after later acceptances") {
    store keys = store_with(5);
    CHECK(accepted_number(
              finish(acceptance(request(1, "op-2", "shift-2", 2)), keys)) == 2);
    CHECK(accepted_number(finish(acceptance::resolve("op-2", 1), keys)) == 2);
    CHECK(keys.document(current_rollout_key).number == 5);
}

TEST_CASE("acceptance - resolving a write that may still arrive gives "
          "not_yet_known") {
    store keys = store_with(1);
    CHECK(std::holds_alternative<not_yet_known>(
        finish(acceptance::resolve("op-2", 1), keys)));
    REQUIRE(accepted_number(
                finish(acceptance(request(1, "op-x", "ken", 5)), keys)) == 2);
    CHECK(rejection_of(finish(acceptance::resolve("op-2", 1), keys)).reason ==
          rejection::outdated);
}

TEST_CASE("acceptance - of two concurrent edits one is rejected with its "
          "clash") {
    store keys = store_with(1);
    acceptance asha(request(1, "op-a", "asha", 7));
    acceptance ken(request(1, "op-k", "ken", 8));
    acceptance_step step_of_asha = asha.begin();
    acceptance_step step_of_ken = ken.begin();
    for (int calls = 0; calls < 2; ++calls) {
        step_of_asha = advance(asha, step_of_asha, keys);
        step_of_ken = advance(ken, step_of_ken, keys);
    }
    CHECK(accepted_number(finish(asha, step_of_asha, keys)) == 2);
    const auto result = finish(ken, step_of_ken, keys);
    const rejected& outcome = rejection_of(result);
    CHECK(outcome.reason == rejection::outdated);
    CHECK(outcome.current == 2);
    REQUIRE(outcome.clashes.size() == 1);
    CHECK(outcome.clashes[0] ==
          rollout_clash{"/organisations/board/weight", "8", "7", "asha", 2});
    CHECK(keys.document(current_rollout_key).operation_id == "op-a");
}

TEST_CASE("acceptance - an outdated draft is rejected with the author of "
          "the clash") {
    store keys = store_with(4);
    acceptance_request late = request(2, "op-late", "ken", 2);
    late.draft.organisations[0].weight = 30;
    late.draft.organisations[1].weight = 40;
    const auto result = finish(acceptance(late), keys);
    const rejected& outcome = rejection_of(result);
    CHECK(outcome.reason == rejection::outdated);
    REQUIRE(outcome.clashes.size() == 1); // no other edit changed credit
    CHECK(outcome.clashes[0] == rollout_clash{"/organisations/board/weight",
                                              "30", "4", "shift-4", 4});
    CHECK(keys.document(current_rollout_key).number == 4);
}

TEST_CASE("acceptance - an outdated draft without a clash is rejected too") {
    store keys = store_with(3);
    acceptance_request late = request(2, "op-late", "ken", 2);
    late.draft.organisations[1].weight = 40;
    const auto result = finish(acceptance(late), keys);
    CHECK(rejection_of(result).reason == rejection::outdated);
    CHECK(rejection_of(result).clashes.empty());
}

TEST_CASE("acceptance - an invalid draft is rejected without a call") {
    store keys;
    acceptance_request bad = request(0, "op-1", "asha", 0);
    const auto result = finish(acceptance(bad), keys);
    CHECK(rejection_of(result).reason == rejection::invalid);
    CHECK(rejection_of(result).problems.size() == 1);
    CHECK(keys.writes.empty());
    const auto nameless = finish(acceptance(request(0, "", "asha", 1)), keys);
    CHECK(rejection_of(nameless).reason == rejection::invalid);
}

TEST_CASE("acceptance - an outage before the write rejects the draft") {
    store keys = store_with(1);
    keys.faults = {fault::unavailable};
    CHECK(rejection_of(finish(acceptance(request(1, "op-2", "asha", 9)), keys))
              .reason == rejection::unavailable);
    keys.faults = {fault::none, fault::none, fault::unavailable};
    CHECK(rejection_of(finish(acceptance(request(1, "op-2", "asha", 9)), keys))
              .reason == rejection::unavailable);
    CHECK(keys.document(current_rollout_key).number == 1);
}

TEST_CASE("acceptance - a damaged stored document is not replaced") {
    store keys;
    static_cast<void>(keys.write({current_rollout_key, 0, "{}"}));
    CHECK(rejection_of(finish(acceptance(request(0, "op-1", "asha", 1)), keys))
              .reason == rejection::damaged);
    CHECK(keys.find(current_rollout_key)->value == "{}");
}
