#include "tests/support/entry_group.hpp"
#include "tests/support/platform_store.hpp"
#include "tests/support/slow_link.hpp"

#include <ospreystage/core/ids.hpp>
#include <ospreystage/network/codec.hpp>
#include <ospreystage/network/socket_address.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
#include <vector>

using namespace ospreystage;
using testing::entry_group;
using testing::platform_store;
using testing::slow_link;

namespace {

constexpr seconds timeout{10};

/// UDP socket in place of an agent: reports on an idle engine to the entries
/// that subscribed, and counts what it receives and sends.
class agent_socket {
  public:
    struct traffic {
        std::size_t received_bytes = 0;
        std::size_t reports = 0;
    };

    explicit agent_socket(const address& local)
        : engine_{local.host, engine_port},
          key_(sha256("platform").substr(0, datagram_key_bytes)),
          descriptor_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
        const auto raw = to_socket_address(local);
        REQUIRE(bind(descriptor_, reinterpret_cast<const sockaddr*>(&*raw),
                     sizeof(*raw)) == 0);
    }
    ~agent_socket() { close(descriptor_); }
    agent_socket(const agent_socket&) = delete;
    agent_socket& operator=(const agent_socket&) = delete;

    /// Runs for `duration`; returns the traffic in that time.
    traffic run(milliseconds duration) {
        traffic result;
        const instant until = steady::now() + duration;
        while (steady::now() < until) {
            result.received_bytes += receive();
            if (steady::now() - reported_at_ >= report_interval)
                result.reports += report();
            std::this_thread::sleep_for(milliseconds(5));
        }
        return result;
    }

  private:
    struct subscriber {
        sockaddr_in remote{};
        instant since{};
    };

    static constexpr std::uint16_t engine_port = 8284;
    static constexpr std::size_t datagram_key_bytes = 16;
    static constexpr milliseconds report_interval{80};
    static constexpr milliseconds subscription_time{7000};

    std::size_t receive() {
        std::array<char, 65536> buffer{};
        std::size_t total = 0;
        for (;;) {
            sockaddr_in raw{};
            socklen_t size = sizeof(raw);
            const auto count =
                recvfrom(descriptor_, buffer.data(), buffer.size(), 0,
                         reinterpret_cast<sockaddr*>(&raw), &size);
            if (count < 0)
                return total;
            total += static_cast<std::size_t>(count);
            std::string_view payload{buffer.data(),
                                     static_cast<std::size_t>(count)};
            payload.remove_prefix(std::min(payload.size(), key_.size()));
            error failure;
            const auto value = value_or_error(
                [&] { return decode_payload(payload, "entry"); }, failure);
            if (value && std::holds_alternative<report_subscription>(*value))
                subscribers_[to_string(from_socket_address(raw))] = {
                    raw, steady::now()};
        }
    }

    std::size_t report() {
        reported_at_ = steady::now();
        std::erase_if(subscribers_, [&](const auto& entry) {
            return reported_at_ - entry.second.since > subscription_time;
        });
        const std::string payload =
            key_ + encode_payload(engine_report{engine_, 1, 0, 1, false});
        for (const auto& [name, entry] : subscribers_)
            sendto(descriptor_, payload.data(), payload.size(), 0,
                   reinterpret_cast<const sockaddr*>(&entry.remote),
                   sizeof(entry.remote));
        return subscribers_.size();
    }

    address engine_;
    std::string key_;
    int descriptor_;
    std::map<std::string, subscriber> subscribers_; ///< By address.
    instant reported_at_{};
};

/// Returns a configuration of at least `padding` bytes with one engine service.
std::string configuration_text(int version, std::size_t padding) {
    return fmt::format(
        R"({{"version":{},"routes":[],"services":[{{"name":"llm","engine":
            {{"slots":12,"layers":16,"chunks":64,"chunk_bytes":32768,
              "models":[{{"name":"m"}}]}}}}],"padding":"{}"}})",
        version, std::string(padding, 'x'));
}

void put_engine(platform_store& store, int number) {
    store.put(fmt::format("servers/i-{:04}", number),
              fmt::format(R"({{"service":"llm","address":"127.0.1.{}:8284",
                              "zone":"hall-a","slots":12,"state":"ready"}})",
                          number));
}

/// Returns the traffic of one of 60 agents with `entries` in 4 s, once all
/// entries are registered and earlier subscriptions have ended.
agent_socket::traffic agent_traffic(int entries) {
    constexpr int engines = 60;
    platform_store store;
    store.put("op/config", configuration_text(3, 0));
    for (int number = 1; number <= engines; ++number)
        put_engine(store, number);
    const entry_group group(store.endpoint(), entries);
    REQUIRE(group.await_version(3, timeout));
    agent_socket agent({"127.0.1.1", group.internal_port()});
    static_cast<void>(agent.run(seconds(10)));
    return agent.run(seconds(4));
}

} // namespace

TEST_CASE("shared links - what an agent receives and sends does not grow with "
          "the number of entries") {
    const auto few = agent_traffic(3);
    const auto many = agent_traffic(9);
    REQUIRE(few.received_bytes > 0);
    REQUIRE(few.reports > 0);
    CHECK(static_cast<double>(many.received_bytes) <
          1.5 * static_cast<double>(few.received_bytes));
    CHECK(static_cast<double>(many.reports) <
          1.5 * static_cast<double>(few.reports));
}

TEST_CASE("shared links - an agent is asked for reports as soon as the "
          "configuration describes its engine") {
    platform_store store;
    put_engine(store, 1);
    const entry_group group(store.endpoint(), 1);
    REQUIRE(group.await_version(0, timeout));
    agent_socket agent({"127.0.1.1", group.internal_port()});
    // The list of servers is known long before; the next periodic subscription
    // comes later than the end of the test.
    std::this_thread::sleep_for(milliseconds(2300));
    store.put("op/config", configuration_text(3, 0));
    CHECK(agent.run(milliseconds(800)).reports > 0);
}

TEST_CASE("shared links - configurations in quick succession are in force in "
          "time over a link that carries few copies") {
    constexpr int entries = 8;
    constexpr std::size_t configuration_bytes = 75'000;
    constexpr std::uint64_t link_bytes_per_second = 600'000;
    constexpr seconds time_to_apply{3}; // bounds.config_apply_ms
    platform_store store;
    store.put("op/config", configuration_text(1, 0));
    slow_link link(store.endpoint(), link_bytes_per_second);
    const entry_group group(link.endpoint(), entries);
    REQUIRE(group.await_version(1, timeout));
    std::this_thread::sleep_for(seconds(3));
    for (int version = 2; version <= 7; ++version) {
        store.put("op/config",
                  configuration_text(version, configuration_bytes));
        std::this_thread::sleep_for(milliseconds(330));
    }
    CHECK(group.await_version(7, time_to_apply));
}

TEST_CASE("shared links - entries read a configuration whose transfer takes "
          "longer than the timeout of a call") {
    platform_store store;
    store.put("op/config", configuration_text(1, 900'000));
    slow_link link(store.endpoint(), 1'000'000);
    const entry_group group(link.endpoint(), 2);
    CHECK(group.await_version(1, seconds(8)));
}
