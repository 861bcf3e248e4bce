#include <ospreystage/requests/claim_table.hpp>
#include <ospreystage/requests/claim_tally.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace ospreystage;

namespace {

const instant start{std::chrono::hours{1}};
constexpr milliseconds retention{600'000};
const std::vector<std::string> three_witnesses{"w-1", "w-2", "w-3"};
const attempt_id attempt_a{{"entry-1", 1}, 1};
const attempt_id attempt_b{{"entry-2", 1}, 1};

claim_record record_of(const attempt_id& attempt,
                       const std::string& key = "key",
                       const std::string& organisation = "board") {
    return {{organisation, key}, digest(64, 'd'), attempt, 0};
}

claim_table recovered_table(const std::string& name,
                            std::uint64_t incarnation = 1) {
    claim_table table({name, incarnation}, three_witnesses, retention, start);
    table.skip_recovery();
    return table;
}

claim_reply claim(claim_table& table, const claim_record& record,
                  const std::string& witness, instant now = start) {
    return table.on_claim({record, {witness, 0}}, now);
}

/// Recovers the claims of `from` into `to`.
void recover(claim_table& to, const process_id& to_id, claim_table& from,
             instant now = start) {
    for (const auto& page : from.on_recover_request({to_id}, now))
        to.on_recover_reply(page, now);
}

claim_reply vote_of(const process_id& witness, const attempt_id& asked,
                    const attempt_id& held) {
    claim_reply reply;
    reply.held = record_of(held);
    reply.asked = asked;
    reply.witness = witness;
    return reply;
}

} // namespace

TEST_CASE("claim - voters are the first three by rendezvous hashing") {
    const std::vector<std::string> five{"w-1", "w-2", "w-3", "w-4", "w-5"};
    const claim_key key{"board", "key"};
    CHECK(claim_voters(key, five).size() == 3);
    CHECK(claim_voters(key, {"w-1"}).size() == 1);
    CHECK(claim_majority(1) == 1);
    CHECK(claim_majority(2) == 2);
    CHECK(claim_majority(3) == 2);
}

TEST_CASE("claim - the first recorded attempt keeps its key") {
    claim_table table = recovered_table("w-1");
    CHECK(claim(table, record_of(attempt_a), "w-1").held.attempt == attempt_a);
    CHECK(claim(table, record_of(attempt_b), "w-1").held.attempt == attempt_a);
    CHECK(claim(table, record_of(attempt_a), "w-1").held.attempt == attempt_a);
}

TEST_CASE("claim - two organisations may use the same key") {
    claim_table table = recovered_table("w-1");
    static_cast<void>(claim(table, record_of(attempt_a), "w-1"));
    const claim_record other = record_of(attempt_b, "key", "tokachi");
    CHECK(claim(table, other, "w-1").held.attempt == attempt_b);
    CHECK(table.size() == 2);
}

TEST_CASE("claim - a release frees the key for its own attempt only") {
    claim_table table = recovered_table("w-1");
    static_cast<void>(claim(table, record_of(attempt_a), "w-1"));
    table.on_release({{"board", "key"}, attempt_b}, start);
    CHECK(claim(table, record_of(attempt_b), "w-1").held.attempt == attempt_a);
    table.on_release({{"board", "key"}, attempt_a}, start);
    CHECK(claim(table, record_of(attempt_b), "w-1").held.attempt == attempt_b);
}

TEST_CASE("claim - a key is kept for the retention and not longer") {
    claim_table table = recovered_table("w-1");
    static_cast<void>(claim(table, record_of(attempt_a), "w-1"));
    const instant last = start + retention - milliseconds{1};
    CHECK(claim(table, record_of(attempt_b), "w-1", last).held.attempt ==
          attempt_a);
    const instant after = start + retention;
    CHECK(claim(table, record_of(attempt_b), "w-1", after).held.attempt ==
          attempt_b);
}

TEST_CASE("claim - a full table refuses new keys and evicts nothing") {
    claim_table table({"w-1", 1}, three_witnesses, retention, start, 2);
    table.skip_recovery();
    static_cast<void>(claim(table, record_of(attempt_a, "1"), "w-1"));
    static_cast<void>(claim(table, record_of(attempt_a, "2"), "w-1"));
    CHECK(claim(table, record_of(attempt_a, "3"), "w-1").recovering);
    const auto again = claim(table, record_of(attempt_b, "1"), "w-1");
    CHECK_FALSE(again.recovering);
    CHECK(again.held.attempt == attempt_a);
    CHECK(table.size() == 2);
}

TEST_CASE("claim - a claim meant for another incarnation gets no vote") {
    claim_table table = recovered_table("w-1", 2);
    CHECK(table.on_claim({record_of(attempt_a), {"w-1", 1}}, start).recovering);
    CHECK(table.size() == 0);
}

TEST_CASE("claim - a restarted voter does not vote before it is recovered") {
    claim_table first = recovered_table("w-1");
    claim_table third = recovered_table("w-3");
    static_cast<void>(claim(first, record_of(attempt_a), "w-1"));
    const process_id again{"w-2", 2};
    claim_table second(again, three_witnesses, retention, start);
    CHECK(claim(second, record_of(attempt_b), "w-2").recovering);
    CHECK(second.tick(start).size() == 2);
    recover(second, again, third);
    CHECK(claim(second, record_of(attempt_b), "w-2").recovering);
    recover(second, again, first);
    const claim_reply reply = claim(second, record_of(attempt_b), "w-2");
    CHECK_FALSE(reply.recovering);
    CHECK(reply.held.attempt == attempt_a);
    CHECK(second.tick(start + milliseconds{1000}).empty());
}

TEST_CASE("claim - a recovery reply of a recovering voter does not count") {
    const process_id one{"w-1", 2};
    const process_id two{"w-2", 2};
    claim_table first(one, three_witnesses, retention, start);
    claim_table second(two, three_witnesses, retention, start);
    claim_table third = recovered_table("w-3");
    recover(first, one, second);
    recover(second, two, first);
    recover(first, one, third);
    recover(second, two, third);
    CHECK_FALSE(first.is_recovered(start));
    CHECK_FALSE(second.is_recovered(start));
    CHECK(first.is_recovered(start + retention));
}

TEST_CASE("claim - a recovery reply to an earlier incarnation does not count") {
    claim_table second({"w-2", 3}, three_witnesses, retention, start);
    claim_table first = recovered_table("w-1");
    claim_table third = recovered_table("w-3");
    for (const auto& page : first.on_recover_request({{"w-2", 2}}, start))
        second.on_recover_reply(page, start);
    for (const auto& page : third.on_recover_request({{"w-2", 2}}, start))
        second.on_recover_reply(page, start);
    CHECK_FALSE(second.is_recovered(start));
}

TEST_CASE("claim - a single witness waits for the retention") {
    claim_table table({"w-1", 1}, {"w-1"}, retention, start);
    CHECK(claim(table, record_of(attempt_a), "w-1").recovering);
    const instant later = start + retention;
    CHECK_FALSE(claim(table, record_of(attempt_a), "w-1", later).recovering);
}

TEST_CASE("claim - a witness does not vote on conflicting recovered claims") {
    claim_table first = recovered_table("w-1");
    claim_table third = recovered_table("w-3");
    static_cast<void>(claim(first, record_of(attempt_a), "w-1"));
    static_cast<void>(claim(third, record_of(attempt_b), "w-3"));
    const process_id again{"w-2", 2};
    claim_table second(again, three_witnesses, retention, start);
    recover(second, again, first);
    recover(second, again, third);
    CHECK(second.is_recovered(start));
    CHECK(claim(second, record_of(attempt_b), "w-2").recovering);
    second.on_release({{"board", "key"}, attempt_a}, start);
    CHECK(claim(second, record_of(attempt_b), "w-2").recovering);
    const instant later = start + retention;
    CHECK(claim(second, record_of(attempt_b), "w-2", later).held.attempt ==
          attempt_b);
}

TEST_CASE(
    "claim - voters that restart together vote on keys they don't share") {
    const std::vector<std::string> five{"w-1", "w-2", "w-3", "w-4", "w-5"};
    std::map<std::string, claim_table> tables;
    for (const std::string& name : five) {
        claim_table table({name, 1}, five, retention, start);
        table.skip_recovery();
        tables.emplace(name, std::move(table));
    }
    const process_id again_1{"w-1", 2};
    const process_id again_2{"w-2", 2};
    claim_table first(again_1, five, retention, start);
    claim_table second(again_2, five, retention, start);
    for (const char* name : {"w-3", "w-4", "w-5"}) {
        recover(first, again_1, tables.at(name));
        recover(second, again_2, tables.at(name));
    }
    recover(first, again_1, second);
    recover(second, again_2, first);
    CHECK_FALSE(first.is_recovered(start));
    int votes = 0;
    int shared = 0;
    for (int number = 0; number < 200; ++number) {
        const claim_record record =
            record_of(attempt_a, "key-" + std::to_string(number));
        const auto voters = claim_voters(record.key, five);
        const auto is_voter = [&](const char* name) {
            return std::find(voters.begin(), voters.end(), name) !=
                   voters.end();
        };
        if (!is_voter("w-1"))
            continue;
        const bool votes_now = !claim(first, record, "w-1").recovering;
        CHECK(votes_now == !is_voter("w-2"));
        ++(votes_now ? votes : shared);
    }
    CHECK(votes > 0);
    CHECK(shared > 0);
}

TEST_CASE("claim - a recovery reply keeps the age of its records") {
    claim_table first = recovered_table("w-1");
    claim_table third = recovered_table("w-3");
    static_cast<void>(claim(first, record_of(attempt_a), "w-1"));
    const instant later = start + milliseconds{400'000};
    const process_id again{"w-2", 2};
    claim_table second(again, three_witnesses, retention, later);
    recover(second, again, first, later);
    recover(second, again, third, later);
    CHECK(second.size() == 1);
    static_cast<void>(second.tick(start + retention - milliseconds{1}));
    CHECK(second.size() == 1);
    static_cast<void>(second.tick(start + retention));
    CHECK(second.size() == 0);
}

TEST_CASE("claim - a large recovery reply is split into pages") {
    claim_table first = recovered_table("w-1");
    claim_table third = recovered_table("w-3");
    for (int index = 0; index < 9000; ++index)
        static_cast<void>(
            claim(first, record_of(attempt_a, std::to_string(index)), "w-1"));
    const process_id again{"w-2", 2};
    claim_table second(again, three_witnesses, retention, start);
    recover(second, again, third);
    const auto pages = first.on_recover_request({again}, start);
    REQUIRE(pages.size() == 3);
    second.on_recover_reply(pages[0], start);
    second.on_recover_reply(pages[1], start);
    CHECK_FALSE(second.is_recovered(start));
    second.on_recover_reply(pages[2], start);
    CHECK(second.is_recovered(start));
    CHECK(second.size() == 9000);
}

TEST_CASE("claim - two of three votes win") {
    claim_tally tally(record_of(attempt_a), three_witnesses);
    tally.add(vote_of({"w-1", 1}, attempt_a, attempt_a));
    CHECK(tally.verdict() == claim_verdict::undecided);
    CHECK(tally.missing_voters() == std::vector<std::string>{"w-2", "w-3"});
    tally.add(vote_of({"w-1", 1}, attempt_a, attempt_a));
    tally.add(vote_of({"w-9", 1}, attempt_a, attempt_a));
    tally.add(vote_of({"w-2", 1}, attempt_b, attempt_a));
    CHECK(tally.verdict() == claim_verdict::undecided);
    tally.add(vote_of({"w-3", 1}, attempt_a, attempt_a));
    CHECK(tally.verdict() == claim_verdict::won);
}

TEST_CASE("claim - two witnesses must agree, one decides alone") {
    claim_tally pair(record_of(attempt_a), {"w-1", "w-2"});
    pair.add(vote_of({"w-1", 1}, attempt_a, attempt_a));
    CHECK(pair.verdict() == claim_verdict::undecided);
    pair.add(vote_of({"w-2", 1}, attempt_a, attempt_b));
    CHECK(pair.verdict() == claim_verdict::split);
    claim_tally alone(record_of(attempt_a), {"w-1"});
    alone.add(vote_of({"w-1", 1}, attempt_a, attempt_a));
    CHECK(alone.verdict() == claim_verdict::won);
}

TEST_CASE("claim - three different votes are split") {
    claim_tally tally(record_of(attempt_a), three_witnesses);
    tally.add(vote_of({"w-1", 1}, attempt_a, attempt_a));
    tally.add(vote_of({"w-2", 1}, attempt_a, attempt_b));
    CHECK(tally.verdict() == claim_verdict::undecided);
    tally.add(vote_of({"w-3", 1}, attempt_a, {{"entry-3", 1}, 1}));
    CHECK(tally.verdict() == claim_verdict::split);
}

TEST_CASE("claim - a majority for another attempt takes the key") {
    claim_tally tally(record_of(attempt_a), three_witnesses);
    tally.add(vote_of({"w-1", 1}, attempt_a, attempt_b));
    tally.add(vote_of({"w-2", 1}, attempt_a, attempt_b));
    CHECK(tally.verdict() == claim_verdict::taken);
    claim_record other = record_of(attempt_a);
    other.body = digest(64, 'e');
    claim_tally reused(other, three_witnesses);
    reused.add(vote_of({"w-1", 1}, attempt_a, attempt_b));
    reused.add(vote_of({"w-2", 1}, attempt_a, attempt_b));
    CHECK(reused.verdict() == claim_verdict::key_reused);
}

TEST_CASE("claim - a vote of an earlier incarnation does not count") {
    claim_tally tally(record_of(attempt_a), three_witnesses);
    tally.add(vote_of({"w-2", 1}, attempt_a, attempt_a));
    claim_reply later = vote_of({"w-1", 1}, attempt_a, attempt_a);
    later.known = {{"w-2", 2}};
    tally.add(later);
    CHECK(tally.verdict() == claim_verdict::undecided);
    CHECK(tally.missing_voters() == std::vector<std::string>{"w-2", "w-3"});
    tally.add(vote_of({"w-2", 1}, attempt_a, attempt_a));
    CHECK(tally.verdict() == claim_verdict::undecided);
    tally.add(vote_of({"w-2", 2}, attempt_a, attempt_a));
    CHECK(tally.verdict() == claim_verdict::won);
}

TEST_CASE("claim - a restarted voter cannot grant a key twice") {
    // Guards against two attempts winning one key: A wins the vote of w-2,
    // which then restarts; B wins the votes of the restarted w-2 and of w-3;
    // A's claim reaches w-1 last.
    claim_table first = recovered_table("w-1");
    claim_table second = recovered_table("w-2");
    claim_table third = recovered_table("w-3");
    claim_tally tally_a(record_of(attempt_a), three_witnesses);
    claim_tally tally_b(record_of(attempt_b), three_witnesses);
    tally_a.add(claim(second, record_of(attempt_a), "w-2"));
    const process_id again{"w-2", 2};
    claim_table restarted(again, three_witnesses, retention, start);
    recover(restarted, again, first);
    recover(restarted, again, third);
    tally_b.add(claim(restarted, record_of(attempt_b), "w-2"));
    tally_b.add(claim(third, record_of(attempt_b), "w-3"));
    CHECK(tally_b.verdict() == claim_verdict::won);
    SECTION("w-1 knows the new incarnation of w-2") {
        tally_a.add(claim(first, record_of(attempt_a), "w-1"));
        CHECK(tally_a.verdict() != claim_verdict::won);
    }
    SECTION("w-1 restarted too and recovered the new incarnation of w-2") {
        const process_id one{"w-1", 2};
        claim_table recovered(one, three_witnesses, retention, start);
        recover(recovered, one, restarted);
        recover(recovered, one, third);
        tally_a.add(claim(recovered, record_of(attempt_a), "w-1"));
        CHECK(tally_a.verdict() != claim_verdict::won);
    }
}

TEST_CASE("claim - a restarted voter recovers the incarnations of others") {
    // As in the test before, but B has not claimed the key when w-1 recovers,
    // so that only `known` keeps A's vote of the old w-2 from counting.
    claim_table second = recovered_table("w-2");
    claim_table third = recovered_table("w-3");
    claim_table first = recovered_table("w-1");
    claim_tally tally_a(record_of(attempt_a), three_witnesses);
    tally_a.add(claim(second, record_of(attempt_a), "w-2"));
    const process_id two{"w-2", 2};
    claim_table new_second(two, three_witnesses, retention, start);
    recover(new_second, two, first);
    recover(new_second, two, third);
    const process_id one{"w-1", 2};
    claim_table new_first(one, three_witnesses, retention, start);
    recover(new_first, one, new_second);
    recover(new_first, one, third);
    tally_a.add(claim(new_first, record_of(attempt_a), "w-1"));
    CHECK(tally_a.verdict() == claim_verdict::undecided);
}
