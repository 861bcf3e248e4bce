#include "tests/support/child_process.hpp"
#include "tests/support/eventually.hpp"
#include "tests/support/free_ports.hpp"
#include "tests/support/platform_entry.hpp"
#include "tests/support/scripted_server.hpp"
#include "tests/support/text_file.hpp"

#include <ospreystage/network/codec.hpp>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <filesystem>
#include <string>
#include <utility>
#include <vector>

using namespace ospreystage;
using namespace ospreystage::support;

namespace {

constexpr seconds timeout{10};

std::string ok(const std::string& body) {
    return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                       body.size(), body);
}

/// Sends a datagram as an entry or agent of the same deployment does.
void send_datagram(const address& remote, const message& value) {
    const std::string payload =
        sha256("platform").substr(0, 16) + encode_payload(value);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(remote.port);
    REQUIRE(inet_pton(AF_INET, remote.host.c_str(), &target.sin_addr) == 1);
    const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
    REQUIRE(socket >= 0);
    CHECK(sendto(socket, payload.data(), payload.size(), 0,
                 reinterpret_cast<const sockaddr*>(&target),
                 sizeof target) == static_cast<ssize_t>(payload.size()));
    ::close(socket);
}

/// Agent processes of one data centre, one per loopback address from 127.0.0.2
/// on, which share an engine.
class agent_group {
  public:
    agent_group(std::size_t count, const address& engine)
        : port(free_ports(2).front()) {
        for (std::size_t index = 0; index < count; ++index)
            start(fmt::format("127.0.0.{}", index + 2), engine);
    }
    ~agent_group() {
        for (const std::string& file : files_) {
            std::filesystem::remove(file);
            std::filesystem::remove(file + ".log");
        }
    }
    agent_group(const agent_group&) = delete;
    agent_group& operator=(const agent_group&) = delete;

    [[nodiscard]] bool all_log(const std::string& text) const {
        return std::all_of(
            agents.begin(), agents.end(), [&](const child_process& agent) {
                return agent.log_text().find(text) != std::string::npos;
            });
    }
    /// Sends an assignment that lists all agents to each of them.
    void assign(weights_assignment assignment) const {
        for (const std::string& host : hosts)
            assignment.agents.push_back({host, "hall-a"});
        for (const std::string& host : hosts)
            send_datagram({host, port}, assignment);
    }
    void terminate() {
        for (auto& agent : agents) {
            CHECK(agent.running());
            agent.terminate();
            CHECK(agent.wait(timeout) == 0);
        }
    }

    std::uint16_t port;
    std::vector<std::string> hosts;
    std::vector<child_process> agents;

  private:
    void start(const std::string& host, const address& engine) {
        hosts.push_back(host);
        files_.push_back(std::filesystem::temp_directory_path() /
                         fmt::format("ospreystage-{}-{}", getpid(), host));
        REQUIRE(write_text_file(
            files_.back(),
            fmt::format("node=side-{}\nip={}\nzone=hall-a\nservice=desk\n"
                        "internal_ports={},{}\napp={}\n",
                        host, host, port, port + 1, to_string(engine))));
        error failure;
        auto agent = value_or_error(
            [&] {
                return testing::start_platform_process("agent", files_.back(),
                                                       files_.back() + ".log");
            },
            failure);
        REQUIRE(agent);
        agents.push_back(std::move(*agent));
    }

    std::vector<std::string> files_;
};

/// Returns an assignment of version 2 with chunks of 1,000 bytes.
weights_assignment make_assignment(const address& origin,
                                   std::uint32_t chunks) {
    weights_assignment assignment;
    assignment.service = "desk";
    assignment.model = "m";
    assignment.version = 2;
    assignment.is_observed = true;
    assignment.origin = origin;
    assignment.chunks = chunks;
    assignment.chunk_bytes = 1000;
    assignment.layers = 1;
    return assignment;
}

/// Answers as an engine that uses version 1 and has nothing staged.
testing::scripted_answer engine_answer(const std::string& request) {
    if (request.find("/v1/report") == std::string::npos)
        return {"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"};
    return {ok(R"({"models":[{"name":"m","version":1}],"running":0,)"
               R"("queued":0,"busy":false,"sequence":1})")};
}

} // namespace

// Guards against agents that each read the manifest from the origin, and
// against a truncated manifest of a peer that ends a process or is used.
TEST_CASE("manifest passing - three agents read one manifest from the origin") {
    const std::string body = fmt::format(
        R"({{"version":2,"chunk_bytes":1000,"digests":["{}","{}"]}})",
        sha256("a"), sha256("b"));
    std::atomic<int> manifest_reads{0};
    const testing::scripted_server origin([&](const std::string& head) {
        if (head.find("/v1/manifest/") == std::string::npos)
            return testing::scripted_answer{
                "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n"};
        ++manifest_reads;
        return testing::scripted_answer{ok(body)};
    });
    const testing::scripted_server engine(engine_answer);
    agent_group agents(3, engine.endpoint());
    // An early push that is truncated is refused; the process goes on.
    CHECK(eventually(timeout, [&] {
        for (const std::string& host : agents.hosts)
            send_datagram({host, agents.port},
                          manifest_reply{sha256("other"), body.substr(0, 90)});
        return agents.all_log("manifest_refused");
    }));
    agents.assign(make_assignment(origin.endpoint(), 2));
    CHECK(eventually(timeout, [&] { return agents.all_log(R"("chunks":2)"); }));
    CHECK(manifest_reads == 1);
    agents.terminate();
}

// Guards against a manifest that the origin has corrupted once and that is
// never read again: the version could not become complete.
TEST_CASE("manifest passing - a manifest with a wrong digest is read again and "
          "the chunks that match both are kept") {
    constexpr std::uint32_t chunk_count = 8;
    const auto chunk = [](std::uint32_t index) {
        return std::string(1000, static_cast<char>('a' + index));
    };
    const auto manifest_body = [&](bool is_corrupt) {
        std::string digests;
        for (std::uint32_t index = 0; index < chunk_count; ++index) {
            const bool is_wrong = is_corrupt && index == 5;
            digests += fmt::format("{}\"{}\"", index == 0 ? "" : ",",
                                   sha256(is_wrong ? "x" : chunk(index)));
        }
        return fmt::format(
            R"({{"version":2,"chunk_bytes":1000,"digests":[{}]}})", digests);
    };
    std::atomic<int> manifest_reads{0};
    std::array<std::atomic<int>, chunk_count> chunk_reads{};
    const testing::scripted_server origin([&](const std::string& head) {
        if (head.find("/v1/manifest/") != std::string::npos)
            return testing::scripted_answer{
                ok(manifest_body(++manifest_reads == 1))};
        const std::size_t field = head.find("item_count=");
        REQUIRE(field != std::string::npos);
        const auto index =
            static_cast<std::uint32_t>(std::stoul(head.substr(field + 11)));
        ++chunk_reads.at(index);
        return testing::scripted_answer{ok(chunk(index))};
    });
    const testing::scripted_server engine(engine_answer);
    agent_group agents(1, engine.endpoint());
    const weights_assignment assignment =
        make_assignment(origin.endpoint(), chunk_count);
    CHECK(eventually(timeout, [&] {
        agents.assign(assignment);
        return agents.all_log("version_complete");
    }));
    CHECK(manifest_reads == 2);
    for (std::uint32_t index = 0; index < chunk_count; ++index)
        CHECK(chunk_reads.at(index) <= (index == 5 ? 8 : 1));
    agents.terminate();
}
