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
#include <atomic>
#include <filesystem>
#include <string>
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
    const testing::scripted_server engine([&](const std::string&) {
        return testing::scripted_answer{
            ok(R"({"models":[{"name":"m","version":1}],"running":0,)"
               R"("queued":0,"busy":false,"sequence":1})")};
    });
    const std::uint16_t port = free_ports(2).front();
    const std::vector<std::string> hosts{"127.0.0.2", "127.0.0.3", "127.0.0.4"};
    weights_assignment assignment;
    assignment.service = "desk";
    assignment.model = "m";
    assignment.version = 2;
    assignment.is_observed = true;
    assignment.origin = origin.endpoint();
    assignment.chunks = 2;
    assignment.chunk_bytes = 1000;
    assignment.layers = 1;
    std::vector<child_process> agents;
    std::vector<std::string> files;
    for (const std::string& host : hosts) {
        assignment.agents.push_back({host, "hall-a"});
        files.push_back(std::filesystem::temp_directory_path() /
                        fmt::format("ospreystage-{}-{}", getpid(), host));
        REQUIRE(write_text_file(
            files.back(),
            fmt::format("node=side-{}\nip={}\nzone=hall-a\nservice=desk\n"
                        "internal_ports={},{}\napp={}\n",
                        host, host, port, port + 1,
                        to_string(engine.endpoint()))));
        error failure;
        auto agent = value_or_error(
            [&] {
                return testing::start_platform_process("agent", files.back(),
                                                       files.back() + ".log");
            },
            failure);
        REQUIRE(agent);
        agents.push_back(std::move(*agent));
    }
    const auto all_log = [&](const std::string& text) {
        return std::all_of(agents.begin(), agents.end(), [&](auto& agent) {
            return agent.log_text().find(text) != std::string::npos;
        });
    };
    // An early push that is truncated is refused; the process goes on.
    CHECK(eventually(timeout, [&] {
        for (const std::string& host : hosts)
            send_datagram({host, port},
                          manifest_reply{sha256("other"), body.substr(0, 90)});
        return all_log("manifest_refused");
    }));
    for (const std::string& host : hosts)
        send_datagram({host, port}, assignment);
    CHECK(eventually(timeout, [&] { return all_log(R"("chunks":2)"); }));
    CHECK(manifest_reads == 1);
    for (auto& agent : agents) {
        CHECK(agent.running());
        agent.terminate();
        CHECK(agent.wait(timeout) == 0);
    }
    for (const std::string& file : files) {
        std::filesystem::remove(file);
        std::filesystem::remove(file + ".log");
    }
}
