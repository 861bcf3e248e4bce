#include <ospreystage/network/codec.hpp>

#include <catch2/catch.hpp>
#include <tests/support/eventually.hpp>
#include <tests/support/local_node.hpp>
#include <tests/support/raw_connection.hpp>

#include <atomic>

using namespace ospreystage;
using support::eventually;
using support::free_port;
using support::local_node;
using testing::raw_connection;

namespace {

constexpr seconds timeout{10};

void direct_to(local_node& from, std::uint16_t port) {
    from.link_layer->set_directory([port](const std::string&) {
        return address{"127.0.0.1", port};
    });
}

} // namespace

TEST_CASE("links - a message reaches the named process") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    local_node client("entry-1", free_port(), 1);
    std::atomic<std::uint32_t> received{0};
    server.link_layer->on<seal_order>(
        [&](const link_peer& peer, const seal_order& order) {
            if (peer.process.name == "entry-1")
                received = static_cast<std::uint32_t>(order.attempt.sequence);
        });
    direct_to(client, port);
    server.start();
    client.start();
    client.core.post("links", [&] {
        client.link_layer->send("agent-1", seal_order{{{"entry-1", 1}, 7}});
    });
    CHECK(eventually(timeout, [&] { return received == 7; }));
}

TEST_CASE("links - a wrong token is refused without effect on other links") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    local_node stranger("entry-9", free_port(), 1, "guess");
    local_node client("entry-1", free_port(), 1);
    std::atomic<int> refused{0};
    std::atomic<int> up{0};
    stranger.link_layer->on_down(
        [&](const link_peer&, const std::string&) { ++refused; });
    client.link_layer->on_up(
        [&](const link_peer&, const hello_reply&) { ++up; });
    direct_to(stranger, port);
    direct_to(client, port);
    server.start();
    client.start();
    stranger.start();
    client.core.post("links", [&] { client.link_layer->open("agent-1"); });
    REQUIRE(eventually(timeout, [&] { return up == 1; }));
    stranger.core.post("links", [&] { stranger.link_layer->open("agent-1"); });
    CHECK(eventually(timeout, [&] { return refused == 1; }));
    const auto still_open = client.core.call("links", [&] {
        return client.link_layer->find("agent-1").has_value();
    });
    CHECK(still_open.value_or(false));
}

TEST_CASE("links - a broken frame closes only its connection") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    server.start();
    raw_connection broken({"127.0.0.1", port});
    broken.send("\xff\xff\xff\xff garbage");
    CHECK(broken.await_end());
    raw_connection early({"127.0.0.1", port});
    early.send(encode_frame(seal_order{}));
    CHECK(early.await_end());
}

TEST_CASE("links - a silent connection is closed") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    server.start();
    std::atomic<int> down{0};
    server.link_layer->on_down(
        [&](const link_peer&, const std::string& reason) {
            if (reason == "silent")
                ++down;
        });
    raw_connection silent({"127.0.0.1", port});
    silent.send(encode_frame(hello{"token", {"entry-1", 1}, {}, 1}));
    CHECK(eventually(timeout, [&] { return down == 1; }));
    CHECK(silent.await_end());
}

TEST_CASE("links - nothing of an earlier epoch is delivered") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    std::atomic<std::uint64_t> last{0};
    server.link_layer->on<seal_order>(
        [&](const link_peer&, const seal_order& order) {
            last = order.attempt.sequence;
        });
    server.start();
    raw_connection older({"127.0.0.1", port});
    older.send(encode_frame(hello{"token", {"entry-1", 1}, {}, 1}));
    older.send(encode_frame(seal_order{{{"entry-1", 1}, 1}}));
    REQUIRE(eventually(timeout, [&] { return last == 1; }));
    raw_connection newer({"127.0.0.1", port});
    newer.send(encode_frame(hello{"token", {"entry-1", 1}, {}, 2}));
    CHECK(older.await_end());
    raw_connection stale({"127.0.0.1", port});
    stale.send(encode_frame(hello{"token", {"entry-1", 1}, {}, 1}));
    stale.send(encode_frame(seal_order{{{"entry-1", 1}, 3}}));
    CHECK(stale.await_end());
    CHECK(last == 1);
}

TEST_CASE("links - an earlier incarnation is refused") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    server.start();
    raw_connection newer({"127.0.0.1", port});
    newer.send(encode_frame(hello{"token", {"entry-1", 5}, {}, 1}));
    std::this_thread::sleep_for(milliseconds(50));
    raw_connection older({"127.0.0.1", port});
    older.send(encode_frame(hello{"token", {"entry-1", 4}, {}, 9}));
    CHECK(older.await_end());
}

TEST_CASE("links - an address in use is an error") {
    const std::uint16_t port = free_port();
    local_node first("agent-1", port, 1);
    first.start();
    local_node second("agent-2", port, 1);
    CHECK_THROWS_WITH(second.start(),
                      Catch::Contains("network.listen (127.0.0.1:"));
}

TEST_CASE("links - a datagram without the cluster's key is dropped") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    local_node stranger("entry-9", free_port(), 1, "guess");
    local_node peer("entry-1", free_port(), 1);
    std::atomic<std::uint64_t> received{0};
    server.link_layer->on_datagram<gossip_ping>(
        [&](const address&, const gossip_ping& ping) {
            received = ping.sequence;
        });
    server.start();
    stranger.start();
    peer.start();
    gossip_ping ping;
    ping.sequence = 9;
    stranger.core.post("links", [&] {
        stranger.link_layer->send_datagram({"127.0.0.1", port}, ping);
    });
    const auto strange = [&] {
        return server.core.call("links", [&] {
            return server.core.find<network>("network").dump().value(
                "strange_datagrams", 0);
        });
    };
    REQUIRE(eventually(timeout, [&] { return strange() == 1; }));
    CHECK(received == 0);
    ping.sequence = 1;
    peer.core.post("links", [&] {
        peer.link_layer->send_datagram({"127.0.0.1", port}, ping);
    });
    CHECK(eventually(timeout, [&] { return received == 1; }));
}

TEST_CASE("links - bytes are counted by type of message") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    local_node client("entry-1", free_port(), 1);
    direct_to(client, port);
    server.start();
    client.start();
    client.core.post("links", [&] {
        client.link_layer->send("agent-1", seal_order{{{"entry-1", 1}, 7}});
        client.link_layer->send_datagram({"127.0.0.1", port}, gossip_ping{});
    });
    const auto traffic_of = [](local_node& node, std::string_view name) {
        return node.core
            .call("links",
                  [&] {
                      for (const message_traffic& each :
                           node.core.find<network>("network").traffic())
                          if (each.name == name)
                              return each;
                      return message_traffic{};
                  })
            .value();
    };
    for (const char* name : {"hello", "seal_order", "gossip_ping"}) {
        INFO(name);
        REQUIRE(eventually(
            timeout, [&] { return traffic_of(server, name).received > 0; }));
        CHECK(traffic_of(server, name).received ==
              traffic_of(client, name).sent);
        CHECK(traffic_of(server, name).sent == 0);
    }
}
