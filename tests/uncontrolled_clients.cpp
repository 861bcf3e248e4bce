#include "tests/support/child_process.hpp"
#include "tests/support/client_crowd.hpp"
#include "tests/support/eventually.hpp"
#include "tests/support/free_ports.hpp"
#include "tests/support/platform_entry.hpp"
#include "tests/support/platform_store.hpp"
#include "tests/support/process_usage.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/scripted_server.hpp"
#include "tests/support/text_file.hpp"

#include <ospreystage/network/codec.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <unistd.h>

#include <filesystem>
#include <optional>
#include <string>
#include <vector>

using namespace ospreystage;
using support::child_process;
using support::eventually;
using testing::client_crowd;
using testing::get_raw;
using testing::platform_store;
using testing::scripted_answer;
using testing::scripted_server;
using testing::unread_listener;

namespace {

constexpr seconds timeout{8};
constexpr std::size_t memory_mb = 64;
constexpr std::size_t mib = 1024 * 1024;
constexpr std::size_t max_descriptors = 400;
/// Body limit of the configuration, which is also the default.
constexpr std::size_t max_body_bytes = 4 * mib;

/// Answers `/large` with a plain body, `/stream` with an endless stream and
/// everything else at once.
scripted_answer answer(const std::string& request) {
    constexpr const char* head = "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n";
    if (request.find(" /large") != std::string::npos)
        return {head + fmt::format("Content-Length: {}\r\n\r\n", 2 * mib) +
                std::string(2 * mib, 'a')};
    if (request.find(" /stream") != std::string::npos) {
        scripted_answer stream{
            std::string(head) +
            "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
            "\r\n\r\n"};
        const std::string event =
            "data: " + std::string(16 * 1024, 'a') + "\n\n";
        stream.endless_bytes =
            fmt::format("{:x}\r\n{}\r\n", event.size(), event);
        return stream;
    }
    return {std::string(head) + "Content-Length: 2\r\n\r\nok"};
}

void put_server(platform_store& store, const std::string& service,
                const address& server) {
    store.put("servers/i-" + service,
              fmt::format(R"({{"service":"{}","address":"{}","zone":"hall-a",
                              "slots":1000,"state":"ready"}})",
                          service, to_string(server)));
}

std::string route(const char* name, const char* path, const char* service,
                  const char* kind) {
    return fmt::format(R"({{"name":"{}","hostname":"a.example",
                           "path_prefix":"{}","service":"{}","kind":"{}",
                           "public":true,"timeout_ms":9000,"max_attempts":1}})",
                       name, path, service, kind);
}

/// Process under test, with the store and the servers that it uses.
class limited_process {
  public:
    explicit limited_process(const std::string& role = "entry")
        : ports_(support::free_ports(5)), server_(answer),
          file_(std::filesystem::temp_directory_path() /
                fmt::format("ospreystage-limited-{}.conf", getpid())) {
        store_.put("op/config",
                   fmt::format(
                       R"({{"version":3,"services":[{{"name":"desk"}},
                           {{"name":"unread"}}],"limits":{{"max_body_bytes":{},
                           "header_timeout_ms":3000,"idle_timeout_ms":15000}},
                           "routes":[{},{},{}]}})",
                       max_body_bytes, route("r", "/", "desk", "unsafe"),
                       route("s", "/stream", "desk", "streaming"),
                       route("u", "/unread", "unread", "unsafe")));
        put_server(store_, "desk", server_.endpoint());
        put_server(store_, "unread", unread_.endpoint());
        REQUIRE(support::write_text_file(
            file_, fmt::format("node=node-1\nip=127.0.0.1\nzone=hall-a\n"
                               "listen.front=127.0.0.1:{}\n"
                               "listen.ready=127.0.0.1:{}\n"
                               "listen.directory=127.0.0.1:{}\n"
                               "internal_ports={},{}\nplatform.address={}\n"
                               "app={}\nservice=desk\n"
                               "limits.memory_mb={}\nlimits.max_fds={}\n",
                               ports_[0], ports_[1], ports_[2], ports_[3],
                               ports_[3] + 1, to_string(store_.endpoint()),
                               to_string(server_.endpoint()), memory_mb,
                               max_descriptors)));
        error failure;
        child_ = value_or_error(
            [&] {
                return testing::start_platform_process(role, file_,
                                                       file_ + ".log");
            },
            failure);
        REQUIRE(child_);
        if (role == "entry")
            REQUIRE(eventually(timeout, [this] { return is_answering(); }));
        else
            REQUIRE(child_->running());
    }
    ~limited_process() {
        child_.reset();
        std::filesystem::remove(file_);
        std::filesystem::remove(file_ + ".log");
    }
    limited_process(const limited_process&) = delete;
    limited_process& operator=(const limited_process&) = delete;

    [[nodiscard]] address front() const { return local(0); }
    [[nodiscard]] address ready() const { return local(1); }
    [[nodiscard]] address directory() const { return local(2); }
    [[nodiscard]] address internal() const { return local(3); }

    [[nodiscard]] bool is_answering() const {
        return get_raw(front(), "/hello").find("\r\n\r\nok") !=
               std::string::npos;
    }

    /// Checks the bounds while the clients of a crowd are connected.
    void check_bounds() {
        REQUIRE(child_->running());
        const std::size_t open = support::open_descriptors(child_->pid());
        const auto peak = support::peak_resident_bytes(child_->pid());
        REQUIRE(peak);
        WARN("peak " << *peak / mib << " MiB, descriptors " << open);
        CHECK(*peak <= memory_mb * mib);
        CHECK(open <= max_descriptors);
    }

    /// Checks that an ordinary request is answered once the crowd has left.
    void check_service() {
        REQUIRE(child_->running());
        CHECK(eventually(timeout, [this] { return is_answering(); }));
    }

  private:
    [[nodiscard]] address local(std::size_t index) const {
        return {"127.0.0.1", ports_[index]};
    }

    std::vector<std::uint16_t> ports_;
    platform_store store_;
    scripted_server server_;
    unread_listener unread_;
    std::string file_;
    std::optional<child_process> child_;
};

std::string post_head(const std::string& target, const std::string& framing) {
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\n"
                       "X-Request-Id: 1\r\n{}\r\n\r\n",
                       target, framing);
}

testing::client_script chunked(std::size_t chunk_bytes, std::size_t total) {
    return {post_head("/upload", "Transfer-Encoding: chunked"),
            fmt::format("{:x}\r\n{}\r\n", chunk_bytes,
                        std::string(chunk_bytes, 'a')),
            total / chunk_bytes};
}

testing::client_script get(const std::string& target) {
    return {fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                        "X-Request-Id: 1\r\n\r\n",
                        target)};
}

constexpr std::size_t large_chunk = 64 * 1024;
/// A body that stops just short of the limit.
constexpr std::size_t stalled_bytes = max_body_bytes - large_chunk;

void add_stalled_large(client_crowd& crowd, const address& server) {
    crowd.add(server, 40, chunked(large_chunk, stalled_bytes));
}

void add_stalled_tiny(client_crowd& crowd, const address& server) {
    testing::client_script script = chunked(8, stalled_bytes);
    // Many chunks per write, so that the client is not the bottleneck.
    std::string pieces;
    for (std::size_t index = 0; index < 1024; ++index)
        pieces += script.piece;
    script.piece = pieces;
    script.pieces /= 1024;
    crowd.add(server, 30, script);
}

void add_oversized(client_crowd& crowd, const address& server) {
    testing::client_script announced{
        post_head("/upload", fmt::format("Content-Length: {}", 100 * mib)),
        std::string(large_chunk, 'a'), 100};
    crowd.add(server, 30, announced);
    crowd.add(server, 30, chunked(large_chunk, 6 * mib));
}

void add_slow_heads(client_crowd& crowd, const address& server) {
    testing::client_script script = get("/slow");
    script.head.resize(script.head.size() - 2);
    script.head += "X-Filler: ";
    script.piece = std::string(64, 'a');
    script.pieces = 200;
    script.max_write_bytes = 16;
    crowd.add(server, 100, script);
}

void add_pipelined(client_crowd& crowd, const address& server) {
    testing::client_script script = get("/unread");
    script.piece = get("/hello").head;
    script.pieces = 20'000;
    crowd.add(server, 60, script);
}

void add_unread(client_crowd& crowd, const address& server) {
    crowd.add(server, 40, get("/large"));
    crowd.add(server, 20, get("/stream"));
}

void add_unread_bodies(client_crowd& crowd, const address& server) {
    constexpr std::size_t count = 60;
    crowd.add(server, 40,
              {post_head("/unread", fmt::format("Content-Length: {}",
                                                count * large_chunk)),
               std::string(large_chunk, 'a'), count});
}

/// Lets a crowd act on an entry, and checks its bounds and that it serves
/// afterwards.
template <typename Add>
void check_entry(const Add& add) {
    limited_process entry;
    {
        client_crowd crowd;
        add(crowd, entry);
        crowd.run();
        entry.check_bounds();
    }
    entry.check_service();
}

} // namespace

// Each case guards against a process that exceeds the memory or the descriptors
// of its settings file, or ends, because of clients that nobody controls.

TEST_CASE("uncontrolled clients - stalled chunked bodies in large chunks") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        add_stalled_large(crowd, entry.front());
    });
}

TEST_CASE("uncontrolled clients - stalled chunked bodies in tiny chunks") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        add_stalled_tiny(crowd, entry.front());
    });
}

TEST_CASE("uncontrolled clients - bodies over the limit") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        add_oversized(crowd, entry.front());
    });
}

TEST_CASE("uncontrolled clients - heads sent slowly in small pieces") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        add_slow_heads(crowd, entry.front());
    });
}

TEST_CASE("uncontrolled clients - pipelined heads") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        add_pipelined(crowd, entry.front());
    });
}

TEST_CASE("uncontrolled clients - more connections than descriptors") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        crowd.add(entry.front(), max_descriptors + 100, {"G"});
    });
}

TEST_CASE("uncontrolled clients - unread answers, plain and streams") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        add_unread(crowd, entry.front());
    });
}

TEST_CASE("uncontrolled clients - a server that does not read") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        add_unread_bodies(crowd, entry.front());
    });
}

TEST_CASE("uncontrolled clients - all forms at once") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        add_stalled_large(crowd, entry.front());
        add_stalled_tiny(crowd, entry.front());
        add_oversized(crowd, entry.front());
        add_slow_heads(crowd, entry.front());
        add_pipelined(crowd, entry.front());
        add_unread(crowd, entry.front());
        add_unread_bodies(crowd, entry.front());
    });
}

TEST_CASE("uncontrolled clients - bodies and connections at the directory, "
          "the metrics and the internal HTTP port") {
    check_entry([](client_crowd& crowd, const limited_process& entry) {
        address feed = entry.internal();
        ++feed.port;
        for (const address& server : {entry.directory(), entry.ready(), feed}) {
            crowd.add(server, 150, {"G"});
            add_stalled_large(crowd, server);
        }
    });
}

TEST_CASE("uncontrolled clients - unfinished frames at the port of an agent") {
    limited_process agent("agent");
    // Far below the largest frame, of which the header announces most.
    const std::string announced("\x00\x4f\x00\x00", 4);
    const std::string whole = encode_frame(weights_assignment{});
    const testing::client_script frame{announced +
                                           whole.substr(announced.size(), 2),
                                       std::string(large_chunk, '\0'), 60};
    {
        client_crowd crowd;
        // The port is opened after the process has started.
        REQUIRE(eventually(timeout, [&] {
            return testing::raw_connection(agent.internal()).is_open();
        }));
        crowd.add(agent.internal(), 40, frame);
        crowd.add(agent.internal(), max_descriptors, {});
        crowd.run();
        agent.check_bounds();
    }
}
