#include <ospreystage/network/codec.hpp>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <tests/support/local_node.hpp>
#include <unistd.h>

#include <atomic>
#include <functional>

using namespace ospreystage;
using support::free_port;
using support::local_node;

namespace {

bool eventually(const std::function<bool()>& condition) {
    const instant limit = steady::now() + seconds(10);
    while (steady::now() < limit) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds(5));
    }
    return false;
}

void direct_to(local_node& from, std::uint16_t port) {
    from.link_layer->set_directory([port](const std::string&) {
        return address{"127.0.0.1", port};
    });
}

/// A plain TCP connection that speaks only what the test writes.
class raw_connection {
  public:
    explicit raw_connection(std::uint16_t port)
        : descriptor_(socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in remote{};
        remote.sin_family = AF_INET;
        remote.sin_port = htons(port);
        remote.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(connect(descriptor_, reinterpret_cast<sockaddr*>(&remote),
                        sizeof(remote)) == 0);
    }
    ~raw_connection() { close(descriptor_); }
    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    void write(const std::string& bytes) const {
        send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Reads until the peer closes; returns false if it does not within 10 s.
    [[nodiscard]] bool is_closed_by_peer() const {
        const timeval limit{10, 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        char buffer[4096];
        for (;;) {
            const auto count = recv(descriptor_, buffer, sizeof(buffer), 0);
            if (count == 0 || (count < 0 && errno == ECONNRESET))
                return true;
            if (count < 0)
                return false;
        }
    }

  private:
    int descriptor_;
};

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
    CHECK(eventually([&] { return received == 7; }));
}

TEST_CASE("links - a wrong token is refused and costs nobody else anything") {
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
    REQUIRE(eventually([&] { return up == 1; }));
    stranger.core.post("links", [&] { stranger.link_layer->open("agent-1"); });
    CHECK(eventually([&] { return refused == 1; }));
    const auto still_open = client.core.call("links", [&] {
        return client.link_layer->find("agent-1").has_value();
    });
    CHECK(still_open.value_or(false));
}

TEST_CASE("links - a broken frame closes only its connection") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    server.start();
    const raw_connection broken(port);
    broken.write("\xff\xff\xff\xff garbage");
    CHECK(broken.is_closed_by_peer());
    const raw_connection early(port);
    early.write(encode_frame(seal_order{}));
    CHECK(early.is_closed_by_peer());
}

TEST_CASE("links - a silent connection is given up on") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    server.start();
    std::atomic<int> down{0};
    server.link_layer->on_down(
        [&](const link_peer&, const std::string& reason) {
            if (reason == "silent")
                ++down;
        });
    const raw_connection silent(port);
    silent.write(encode_frame(hello{"token", {"entry-1", 1}, {}, 1}));
    CHECK(eventually([&] { return down == 1; }));
    CHECK(silent.is_closed_by_peer());
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
    const raw_connection older(port);
    older.write(encode_frame(hello{"token", {"entry-1", 1}, {}, 1}));
    older.write(encode_frame(seal_order{{{"entry-1", 1}, 1}}));
    REQUIRE(eventually([&] { return last == 1; }));
    const raw_connection newer(port);
    newer.write(encode_frame(hello{"token", {"entry-1", 1}, {}, 2}));
    CHECK(older.is_closed_by_peer());
    const raw_connection stale(port);
    stale.write(encode_frame(hello{"token", {"entry-1", 1}, {}, 1}));
    stale.write(encode_frame(seal_order{{{"entry-1", 1}, 3}}));
    CHECK(stale.is_closed_by_peer());
    CHECK(last == 1);
}

TEST_CASE("links - an earlier incarnation is refused") {
    const std::uint16_t port = free_port();
    local_node server("agent-1", port, 1);
    server.start();
    const raw_connection newer(port);
    newer.write(encode_frame(hello{"token", {"entry-1", 5}, {}, 1}));
    std::this_thread::sleep_for(milliseconds(50));
    const raw_connection older(port);
    older.write(encode_frame(hello{"token", {"entry-1", 4}, {}, 9}));
    CHECK(older.is_closed_by_peer());
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
    REQUIRE(eventually([&] { return strange() == 1; }));
    CHECK(received == 0);
    ping.sequence = 1;
    peer.core.post("links", [&] {
        peer.link_layer->send_datagram({"127.0.0.1", port}, ping);
    });
    CHECK(eventually([&] { return received == 1; }));
}
