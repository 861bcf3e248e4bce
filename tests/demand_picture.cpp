#include <ospreystage/network/codec.hpp>
#include <ospreystage/serving/demand_picture.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <functional>
#include <utility>
#include <vector>

using namespace ospreystage;

namespace {

const instant start{seconds(1000)};
constexpr std::uint64_t service = 7;
const std::uint64_t harbour = organisation_key("harbour");
const std::uint64_t museum = organisation_key("museum");

demand_picture picture(const std::string& name, std::uint64_t sequence = 1) {
    demand_picture result({}, name, sequence);
    result.set_organisations({harbour, museum});
    return result;
}

/// Records ten requests of 100 units within a second, half of them served.
void load(demand_picture& entry, std::uint64_t organisation,
          std::uint32_t rank = 0, instant from = start) {
    for (int number = 0; number < 10; ++number)
        entry.on_request({service, organisation, rank, 100}, number % 2 == 0,
                         from + milliseconds(100) * number);
}

demand_digest digest_of(const std::string& name, std::uint32_t received = 100) {
    return {name, 1, 1000, {{service, harbour, received, 0}}};
}

double received(const demand_picture& entry, instant now,
                std::uint64_t organisation = harbour) {
    const service_demand demand = entry.of(service, now);
    const auto found = demand.organisations.find(organisation);
    return found == demand.organisations.end() ? 0 : found->second.total();
}

} // namespace

TEST_CASE("demand picture - demand is the sum of all entries by organisation") {
    demand_picture one = picture("one");
    demand_picture two = picture("two");
    load(one, harbour);
    load(two, harbour, 3);
    load(two, museum);
    const instant now = start + seconds(1);
    one.on_digest(two.take_digest(now), now);
    const service_demand demand = one.of(service, now);
    CHECK(demand.entries == 2);
    const organisation_demand& sum = demand.organisations.at(harbour);
    CHECK(sum.received.at(0) == Approx(1000));
    CHECK(sum.received.at(3) == Approx(1000));
    CHECK(sum.served == Approx(1000));
    CHECK(sum.own_received == Approx(1000));
    CHECK(demand.organisations.at(museum).total() == Approx(1000));
    CHECK(one.of(service + 1, now).organisations.empty());
}

// Guards against demand that is counted again with each digest.
TEST_CASE("demand picture - digests that are repeated, overtaken or follow a "
          "restart are not counted twice") {
    demand_picture one = picture("one");
    demand_picture two = picture("two", 100);
    load(two, harbour);
    const instant now = start + seconds(1);
    const demand_digest earlier = two.take_digest(now);
    const demand_digest later = two.take_digest(now);
    for (const demand_digest& digest : {later, earlier, later})
        one.on_digest(digest, now);
    CHECK(received(one, now) == Approx(1000));

    demand_picture restarted = picture("two", 100'000);
    restarted.on_request({service, harbour, 0, 50}, true, now);
    one.on_digest(restarted.take_digest(now + seconds(1)), now);
    CHECK(received(one, now) == Approx(50));

    // After its clock was set back, once the older digests have aged out.
    demand_picture set_back = picture("two", 5);
    load(set_back, harbour);
    one.on_digest(set_back.take_digest(now), now + seconds(1));
    CHECK(received(one, now + seconds(1)) == Approx(50));
    one.on_digest(set_back.take_digest(now), now + seconds(3));
    CHECK(received(one, now + seconds(3)) == Approx(1000));
}

// Guards against shares that go on from the demand of an entry that has gone.
TEST_CASE("demand picture - demand ages out") {
    demand_picture one = picture("one");
    load(one, museum);
    demand_picture two = picture("two");
    load(two, harbour);
    const instant now = start + seconds(1);
    one.on_digest(two.take_digest(now), now);
    CHECK(received(one, now + milliseconds(1900)) == Approx(1000));
    CHECK(one.of(service, now + milliseconds(1900)).oldest_age ==
          milliseconds(1900));
    CHECK(one.of(service, now + milliseconds(2100)).organisations.empty());
    CHECK(one.of(service, now + milliseconds(2100)).entries == 1);
}

// Guards against one faulty or foreign entry that decides every share.
TEST_CASE("demand picture - invalid digests are dropped and counted") {
    using change = std::function<void(demand_digest&)>;
    const std::vector<std::pair<const char*, change>> changes{
        {"no name", [](auto& digest) { digest.entry.clear(); }},
        {"long name", [](auto& digest) { digest.entry.assign(300, 'x'); }},
        {"no interval", [](auto& digest) { digest.interval_ms = 0; }},
        {"long interval", [](auto& digest) { digest.interval_ms = 60'000; }},
        {"huge demand",
         [](auto& digest) { digest.items[0].received = UINT32_MAX; }},
        {"negative, read as unsigned",
         [](auto& digest) {
             digest.items[0].received = static_cast<std::uint32_t>(-5);
         }},
        {"more served than received",
         [](auto& digest) { digest.items[0].served = 101; }},
        {"too many items",
         [](auto& digest) { digest.items.resize(57, digest.items[0]); }}};
    demand_picture one = picture("one");
    std::uint64_t dropped = 0;
    for (const auto& [name, apply] : changes) {
        INFO(name);
        demand_digest digest = digest_of("two");
        apply(digest);
        one.on_digest(digest, start);
        CHECK(one.invalid_digests() == ++dropped);
        CHECK(received(one, start) == 0);
    }
    one.on_digest(digest_of("two"), start);
    CHECK(received(one, start) == Approx(100));
}

TEST_CASE("demand picture - items of organisations that are not configured are "
          "ignored") {
    demand_picture one = picture("one");
    demand_digest digest = digest_of("two");
    digest.items.push_back({service, organisation_key("elsewhere"), 500, 0});
    one.on_digest(digest, start);
    CHECK(one.unknown_items() == 1);
    CHECK(received(one, start) == Approx(100));
    CHECK(one.of(service, start).organisations.size() == 1);
}

TEST_CASE("demand picture - the number of entries is bounded") {
    demand_picture::options limits;
    limits.max_entries = 3;
    demand_picture one(limits, "one", 1);
    one.set_organisations({harbour});
    for (int number = 0; number < 10; ++number)
        one.on_digest(digest_of(fmt::format("entry-{}", number)), start);
    CHECK(one.of(service, start).entries == 4);
    CHECK(one.invalid_digests() == 7);
}

// Guards against datagrams that are fragmented, of which more are lost.
TEST_CASE("demand picture - a digest of any demand fits into an IP packet") {
    demand_picture one = picture("entry-with-a-usual-name-0123");
    std::uint64_t all = 0;
    for (int number = 0; number < 40; ++number)
        for (std::uint32_t rank = 0; rank < demand_ranks; ++rank) {
            one.on_request({service,
                            organisation_key(fmt::format("o-{}", number)), rank,
                            100 + rank},
                           true, start);
            all += 100 + rank;
        }
    const demand_digest digest = one.take_digest(start + seconds(1));
    CHECK(digest.items.size() == 56);
    CHECK(encode_payload(digest).size() <= 1472);
    std::uint64_t sum = 0;
    for (const demand_item& item : digest.items)
        sum += item.received;
    // 40 organisations have 320 items: all are kept, with less detail.
    CHECK(sum == all);
    CHECK(one.truncated_items() == 0);
}

TEST_CASE("demand picture - a request moves towards rank 0 as its time runs "
          "out") {
    const auto rank = [](std::uint32_t priority, int left) {
        return urgency_rank(priority, seconds(left), seconds(10));
    };
    CHECK(rank(6, 10) == 6);
    CHECK(rank(6, 7) == 3);
    CHECK(rank(6, 3) == 0);
    CHECK(rank(6, 0) == 0);
    CHECK(rank(0, 10) == 0);
    CHECK(rank(9, 20) == 7);
    CHECK(urgency_rank(3, seconds(5), seconds(0)) == 3);
}
