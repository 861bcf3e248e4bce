#include <ospreystage/core/memory_budget.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <random>
#include <utility>
#include <vector>

using namespace ospreystage;

namespace {

constexpr std::size_t limit = 1024 * 1024;
constexpr std::size_t large = 2 * memory_budget::small_bytes;

std::size_t sum_of_accounts(const memory_budget& budget) {
    std::size_t sum = 0;
    for (std::size_t index = 0; index < memory_accounts; ++index)
        sum += budget.used(static_cast<memory_account>(index));
    return sum;
}

} // namespace

// Guards against bytes that stay charged after their owner has gone, which
// would make a process refuse requests for good.
TEST_CASE("memory budget - every account returns to zero after any sequence "
          "of bytes, pauses and closes") {
    std::mt19937_64 random(7);
    memory_budget budget(limit);
    std::vector<memory_charge> open;
    for (int step = 0; step < 20'000; ++step) {
        const auto account =
            static_cast<memory_account>(random() % memory_accounts);
        const std::size_t bytes = random() % large;
        const std::size_t choice = open.empty() ? 0 : random() % open.size();
        switch (random() % 6) {
        case 0:
            open.emplace_back(&budget, account, bytes);
            break;
        case 1:
            if (!open.empty())
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(choice));
            break;
        case 2:
            if (!open.empty())
                open[choice].set(account, bytes);
            break;
        case 3:
            if (!open.empty()) {
                memory_charge moved = std::move(open[choice]);
                open[choice] = std::move(moved);
            }
            break;
        case 4:
            // The settings may change the limit while it is in use.
            budget.set_max_bytes(random() % (2 * limit));
            break;
        default:
            if (!open.empty())
                static_cast<void>(open[choice].admit());
        }
        std::size_t held = 0;
        for (const memory_charge& each : open)
            held += each.bytes();
        REQUIRE(budget.used() == held);
        REQUIRE(sum_of_accounts(budget) == held);
    }
    open.clear();
    for (std::size_t index = 0; index < memory_accounts; ++index)
        CHECK(budget.used(static_cast<memory_account>(index)) == 0);
    CHECK(budget.used() == 0);
}

// Guards against large bodies that take the place of ordinary requests.
TEST_CASE("memory budget - small requests are admitted when large ones are "
          "refused") {
    memory_budget budget(limit);
    const memory_charge bodies(&budget, memory_account::bodies, limit / 2);
    CHECK(bodies.admit());
    const memory_charge answers(&budget, memory_account::answers, limit / 2);
    CHECK_FALSE(answers.admit());
    CHECK(budget.is_short());
    CHECK(budget.refusals(memory_account::answers) == 1);
    const memory_charge small(&budget, memory_account::heads,
                              memory_budget::small_bytes);
    CHECK(small.admit());
    CHECK(budget.is_exhausted());
}

// Guards against limits on deployments whose settings have none.
TEST_CASE("memory budget - nothing is refused without a limit") {
    memory_budget budget;
    const memory_charge bodies(&budget, memory_account::bodies, 100 * limit);
    CHECK(bodies.admit());
    CHECK_FALSE(budget.is_short());
    CHECK_FALSE(budget.is_exhausted());
}
