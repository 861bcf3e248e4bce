#include "tests/support/child_process.hpp"
#include "tests/support/eventually.hpp"
#include "tests/support/free_ports.hpp"
#include "tests/support/platform_entry.hpp"
#include "tests/support/platform_store.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/scripted_server.hpp"
#include "tests/support/text_file.hpp"

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace ospreystage;
using support::child_process;
using support::eventually;
using testing::get_raw;
using testing::platform_store;
using testing::raw_connection;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr seconds timeout{10};
/// Exit status of a process terminated by SIGKILL.
constexpr int killed_status = 128 + SIGKILL;

/// An entry process whose output goes to a pipe that is read only by the test.
class entry_process {
  public:
    explicit entry_process(const platform_store& store,
                           const std::string& added_settings = "")
        : ports_(support::free_ports(3)),
          file_(std::filesystem::temp_directory_path() /
                fmt::format("ospreystage-entry-{}.conf", getpid())),
          pipe_(file_ + ".pipe") {
        write_settings(store, added_settings);
        REQUIRE(mkfifo(pipe_.c_str(), S_IRUSR | S_IWUSR) == 0);
        output_ = open(pipe_.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        REQUIRE(output_ >= 0);
        error failure;
        child_ = value_or_error(
            [this] { return testing::start_platform_entry(file_, pipe_); },
            failure);
        REQUIRE(child_);
    }
    ~entry_process() {
        child_.reset();
        close(output_);
        std::filesystem::remove(pipe_);
        std::filesystem::remove(file_);
    }
    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    void write_settings(const platform_store& store, const std::string& added) {
        REQUIRE(support::write_text_file(
            file_, fmt::format("node=edge-1\nip=127.0.0.1\nzone=hall-a\n"
                               "listen.front=127.0.0.1:{}\n"
                               "listen.ready=127.0.0.1:{}\n"
                               "internal_ports={},{}\n"
                               "platform.address={}\nbounds.grace_s=6\n{}",
                               ports_[0], ports_[1], ports_[2], ports_[2] + 1,
                               to_string(store.endpoint()), added)));
    }

    [[nodiscard]] address front() const { return {"127.0.0.1", ports_[0]}; }
    [[nodiscard]] address ready() const { return {"127.0.0.1", ports_[1]}; }

    [[nodiscard]] child_process& child() { return *child_; }

    /// Waits for the process to exit; returns its exit status.
    std::optional<int> wait() { return child_->wait(timeout); }

    /// Returns the output available so far, without blocking.
    [[nodiscard]] std::string read_output() const {
        std::string text;
        std::array<char, 65536> buffer{};
        for (;;) {
            const ssize_t count = read(output_, buffer.data(), buffer.size());
            if (count <= 0)
                return text;
            text.append(buffer.data(), static_cast<std::size_t>(count));
        }
    }

    /// Waits until the process has written `part`.
    bool await_output(const std::string& part) {
        return eventually(timeout, [&] {
            seen_ += read_output();
            return seen_.find(part) != std::string::npos;
        });
    }

  private:
    std::vector<std::uint16_t> ports_;
    std::string file_;
    std::string pipe_;
    int output_ = -1;
    std::optional<child_process> child_;
    std::string seen_;
};

bool await_ready(const entry_process& entry) {
    return eventually(timeout, [&] {
        return get_raw(entry.ready(), "/v1/readyz").find(" 200 ") !=
               std::string::npos;
    });
}

void put_configuration(platform_store& store, int version) {
    store.put(
        "op/config",
        fmt::format(R"({{"version":{},"routes":[],"services":[]}})", version));
}

void put_initial_configuration(platform_store& store) {
    put_configuration(store, 3);
}

bool await_version(const entry_process& entry, int version,
                   milliseconds limit) {
    const std::string expected =
        fmt::format("ospreystage_configuration_version {}\n", version);
    return eventually(limit, [&] {
        return get_raw(entry.ready(), "/metrics").find(expected) !=
               std::string::npos;
    });
}

constexpr const char* entry_key = "ospreystage/entries/edge-1";

std::string server_registration(int port) {
    return fmt::format(R"({{"service":"desk","address":"10.0.0.1:{}",
                           "zone":"hall-a","slots":4,"state":"ready"}})",
                       port);
}

std::string nested_lists(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

/// Returns registrations of servers that another writer may leave; none names
/// a server to use.
std::vector<std::string> odd_registrations() {
    constexpr std::size_t depth = 100'000;
    const auto with = [](const std::string& fields) {
        return R"({"service":"desk","address":"10.0.0.7:80","state":"ready",)" +
               fields + "}";
    };
    std::vector<std::string> result{
        "",
        "\xff\xfe",
        "null",
        nested_lists(depth),
        nested_lists(10 * depth),
        std::string(depth, '['),
        with("\"more\":" + nested_lists(depth)),
        with("\"layers\":" + nested_lists(depth)),
        with(R"("zone":")" + std::string(60'000, 'z') + "\"")};
    for (const char* number :
         {"1e999", "-1e308", "9223372036854775808", "18446744073709551616",
          "-1", "1.5", "NaN", "\"4\""}) {
        result.push_back(with(fmt::format("\"slots\":{}", number)));
        result.push_back(with(fmt::format("\"born\":{}", number)));
        result.push_back(with(fmt::format(
            R"("layers":{{"from":0,"to":16,"version":{}}})", number)));
    }
    for (const char* port : {"0", "65536", "-1", "99999999999", "80 ", "+80"})
        result.push_back(fmt::format(
            R"({{"service":"desk","address":"10.0.0.7:{}","state":"ready"}})",
            port));
    return result;
}

std::size_t count_of(const std::string& text, const std::string& part) {
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos;
         at = text.find(part, at + part.size()))
        ++count;
    return count;
}

/// Memory limit of the smallest entry VM of the users' sheets.
constexpr long small_vm_kib = 160 * 1024;

/// Returns the highest resident size of a process so far, in KiB.
long peak_memory_kib(pid_t process) {
    std::ifstream status(fmt::format("/proc/{}/status", process));
    const std::string field = "VmHWM:";
    for (std::string line; std::getline(status, line);)
        if (line.starts_with(field))
            return std::stol(line.substr(field.size()));
    return 0;
}

/// Returns the way without end in which a server answers `request`, by the
/// last part of its path.
scripted_answer endless_answer(const std::string& request) {
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(8 * 1024, 'a');
    const auto has = [&](const char* kind) {
        return request.find(kind) < request.find(" HTTP/");
    };
    const auto repeat = [](const std::string& text) {
        std::string out;
        while (out.size() < 8 * 1024)
            out += text;
        return out;
    };
    scripted_answer answer{ok + "\r\n"};
    answer.endless_bytes = filler;
    if (has("/head"))
        answer = {ok, false, false, "", "", repeat("X-Field: value\r\n")};
    if (has("/line"))
        answer.bytes = ok + "X-Field: ";
    if (has("/chunk"))
        answer.bytes = chunked + "5;x=";
    if (has("/trailer"))
        answer = {chunked + "0\r\n",           false, false, "", "",
                  repeat("X-Field: value\r\n")};
    if (has("/informational"))
        answer = {"", false, false,
                  "", "",    repeat("HTTP/1.1 102 Processing\r\n\r\n")};
    if (has("/discarded"))
        answer.bytes = ok + "X-Request-Id: other\r\n\r\n";
    if (has("/event"))
        answer.bytes =
            ok + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ";
    return answer;
}

} // namespace

TEST_CASE("platform entry - unread output does not delay requests") {
    platform_store store;
    put_initial_configuration(store);
    entry_process entry(store);
    REQUIRE(await_ready(entry));
    // Their log lines exceed the pipe's capacity several times.
    constexpr int requests = 3000;
    const instant started = steady::now();
    int answered = 0;
    for (int count = 0; count < requests; ++count)
        if (get_raw(entry.front(), "/nowhere").find(" 404 ") !=
            std::string::npos)
            ++answered;
        else
            break;
    CHECK(answered == requests);
    CHECK(steady::now() - started < seconds(30));
    entry.child().terminate();
    CHECK(entry.wait() == 0);
}

TEST_CASE("platform entry - routing decisions are logged with the request id") {
    platform_store store;
    put_initial_configuration(store);
    entry_process entry(store);
    REQUIRE(await_ready(entry));
    raw_connection caller(entry.front());
    caller.send("GET /nowhere HTTP/1.1\r\nHost: a.example\r\n"
                "X-Request-Id: id-77\r\nConnection: close\r\n\r\n");
    caller.read_all();
    CHECK(entry.await_output("\"event\":\"request_not_routed\""));
    CHECK(entry.await_output("\"request\":\"id-77\""));
    CHECK(entry.await_output("\"event\":\"started\""));
    const std::string metrics = get_raw(entry.ready(), "/metrics");
    CHECK(metrics.find("ospreystage_log_lines_dropped 0") != std::string::npos);
    CHECK(metrics.find("ospreystage_configuration_version 3") !=
          std::string::npos);
}

TEST_CASE("platform entry - a changed settings file is applied") {
    platform_store store;
    put_initial_configuration(store);
    entry_process entry(store);
    REQUIRE(await_ready(entry));
    entry.write_settings(store, "bounds.drain_ms=900\n");
    entry.child().hang_up();
    CHECK(entry.await_output("\"taken\":[\"bounds.drain_ms\"]"));
    entry.write_settings(store, "bounds.drain_ms=soon\n");
    CHECK(entry.await_output("settings_not_taken"));
    entry.write_settings(store, "bounds.contact_ms=5000\n");
    CHECK(entry.await_output("bounds.contact_ms"));
    CHECK(get_raw(entry.ready(), "/v1/readyz").find(" 200 ") !=
          std::string::npos);
    entry.child().terminate();
    CHECK(entry.wait() == 0);
}

TEST_CASE("platform entry - a configuration stays in force and never reverts") {
    platform_store store;
    put_initial_configuration(store);
    {
        entry_process entry(store);
        REQUIRE(await_version(entry, 3, timeout));
        put_configuration(store, 5);
        CHECK(await_version(entry, 5, seconds(1)));
        put_configuration(store, 4);
        std::this_thread::sleep_for(milliseconds(300));
        CHECK(await_version(entry, 5, milliseconds(200)));
        put_configuration(store, 6);
        store.set_status(503);
        CHECK(get_raw(entry.front(), "/nowhere").find(" 404 ") !=
              std::string::npos);
        store.compact();
        store.set_status(0);
        CHECK(await_version(entry, 6, seconds(3)));
        store.set_status(503);
        entry.child().kill();
        CHECK(entry.wait() == killed_status);
    }
    // Without the store no configuration is known: requests are refused with
    // 503 rather than answered with 404.
    const entry_process next(store);
    std::this_thread::sleep_for(seconds(1));
    CHECK(get_raw(next.front(), "/nowhere").find(" 503 ") != std::string::npos);
    CHECK(get_raw(next.ready(), "/v1/readyz").find(" 503 ") !=
          std::string::npos);
    store.set_status(0);
    CHECK(await_version(next, 6, seconds(3)));
}

TEST_CASE("platform entry - a stopping entry deregisters and keeps serving") {
    platform_store store;
    put_initial_configuration(store);
    entry_process entry(store);
    REQUIRE(await_ready(entry));
    REQUIRE(eventually(timeout,
                       [&] { return store.value(entry_key).has_value(); }));
    const instant started = steady::now();
    entry.child().terminate();
    CHECK(eventually(seconds(1), [&] { return !store.value(entry_key); }));
    // Callers that have cached its address still get answers.
    while (steady::now() - started < milliseconds(2500)) {
        CHECK(get_raw(entry.front(), "/nowhere").find(" 404 ") !=
              std::string::npos);
        std::this_thread::sleep_for(milliseconds(50));
    }
    CHECK(entry.wait() == 0);
    CHECK(steady::now() - started < seconds(6));
    CHECK_FALSE(store.value(entry_key));
}

TEST_CASE("platform entry - a killed entry recovers its state from the store") {
    platform_store store;
    put_initial_configuration(store);
    {
        entry_process entry(store);
        REQUIRE(await_ready(entry));
        entry.child().kill();
        CHECK(entry.wait() == killed_status);
    }
    const entry_process next(store);
    const instant started = steady::now();
    CHECK(await_ready(next));
    CHECK(steady::now() - started < seconds(6));
    CHECK(get_raw(next.front(), "/nowhere").find(" 404 ") != std::string::npos);
}

TEST_CASE("platform entry - a stopping entry exits only once slow callers have "
          "received their answers") {
    const std::string body(8'000'000, 'b');
    const scripted_server server([&](const std::string&) {
        return scripted_answer{
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                        body.size(), body)};
    });
    platform_store store;
    store.put("op/config",
              R"({"version":3,"services":[{"name":"desk"}],"routes":[{
                  "name":"r","hostname":"a.example","path_prefix":"/x/",
                  "service":"desk","kind":"safe","timeout_ms":5000,
                  "target_latency_ms":500,"max_attempts":1}]})");
    store.put("servers/i-1", fmt::format(R"({{"service":"desk","address":"{}",
                              "zone":"hall-a","slots":4,"state":"ready"}})",
                                         to_string(server.endpoint())));
    entry_process entry(store);
    REQUIRE(await_ready(entry));
    raw_connection caller(entry.front(), 4096);
    caller.send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                "X-Request-Id: r1\r\nX-Request-Deadline: 5000\r\n\r\n");
    const std::string head = caller.read_until("\r\n\r\n");
    REQUIRE(head.find(" 200 ") != std::string::npos);
    entry.child().terminate();
    // The entry drains its connections after the directory's time to live.
    std::this_thread::sleep_for(milliseconds(3800));
    CHECK(caller.read_all().size() == body.size());
    CHECK(entry.wait() == 0);
}

namespace {

/// Configures a route of requests that may not be repeated, to one server.
void put_unsafe_route(platform_store& store, const address& server,
                      std::size_t slots = 4) {
    store.put("op/config",
              R"({"version":3,"services":[{"name":"desk"}],"routes":[{
                  "name":"r","hostname":"a.example","path_prefix":"/x/",
                  "service":"desk","kind":"unsafe","timeout_ms":20000,
                  "target_latency_ms":500,"max_attempts":1}]})");
    store.put("servers/i-1", fmt::format(R"({{"service":"desk","address":"{}",
                              "zone":"hall-a","slots":{},"state":"ready"}})",
                                         to_string(server), slots));
}

std::string make_post(const std::string& id,
                      milliseconds time_left = seconds(20)) {
    return fmt::format("POST /x/1 HTTP/1.1\r\nHost: a.example\r\n"
                       "X-Request-Id: {}\r\nX-Request-Deadline: {}\r\n"
                       "Content-Length: 2\r\n\r\nok",
                       id, time_left.count());
}

} // namespace

TEST_CASE("platform entry - a stopping entry answers the requests that still "
          "run at its end") {
    std::atomic<int> runs{0};
    const scripted_server silent([&](const std::string&) {
        ++runs;
        return scripted_answer{""};
    });
    platform_store store;
    put_unsafe_route(store, silent.endpoint());
    entry_process entry(store, "bounds.grace_s=4\n");
    REQUIRE(await_ready(entry));
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (int count = 0; count < 3; ++count) {
        callers.push_back(std::make_unique<raw_connection>(entry.front()));
        callers.back()->send(make_post(fmt::format("r{}", count)));
    }
    REQUIRE(eventually(timeout, [&] { return runs == 3; }));
    entry.child().terminate();
    for (const auto& caller : callers) {
        const std::string answer = caller->read_all();
        // They may have run: no promise that they have not.
        CHECK(answer.find("HTTP/1.1 504 ") == 0);
        CHECK_FALSE(caller->was_reset());
    }
    CHECK(entry.wait() == 0);
    CHECK(runs == 3);
}

TEST_CASE("platform entry - requests that come late in the time to stop are "
          "turned away instead of being cut at its end") {
    std::atomic<int> runs{0};
    const scripted_server slow([&](const std::string& request) {
        ++runs;
        const std::string answer =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        if (request.find("X-Request-Id: first") != std::string::npos)
            return scripted_answer{answer};
        return scripted_answer{
            .bytes = "", .delayed_bytes = answer, .delay = milliseconds(1500)};
    });
    platform_store store;
    put_unsafe_route(store, slow.endpoint());
    entry_process entry(store, "bounds.grace_s=3\n");
    REQUIRE(await_ready(entry));
    raw_connection caller(entry.front());
    caller.send(make_post("first"));
    REQUIRE(caller.read_until("\r\n\r\nok").find(" 200 ") != std::string::npos);
    entry.child().terminate();
    std::this_thread::sleep_for(milliseconds(2200));
    caller.send(make_post("late"));
    const std::string answer = caller.read_all();
    CHECK(answer.find("HTTP/1.1 503 ") == 0);
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(runs == 1);
    CHECK(entry.wait() == 0);
}

namespace {

/// Callers may use an entry's cached address for this long after it was
/// stopped.
constexpr milliseconds address_lifetime{3000};

/// What became of the requests that callers sent on kept connections to a
/// stopping entry once its address was no longer valid.
struct late_requests {
    int refused = 0;       ///< With a time to retry.
    int passed_on = 0;     ///< Although they would not end before the entry.
    int short_refused = 0; ///< Although they would.
};

/// Stops an entry, which runs again `stall` after the signal, and sends it a
/// request each millisecond around the end of `address_lifetime`, by turns one
/// that the server answers at once and one that it does not answer before the
/// entry's end.
late_requests send_late_requests(milliseconds stall) {
    constexpr std::size_t callers = 240;
    constexpr milliseconds lead{60};
    constexpr milliseconds short_time{400};
    constexpr milliseconds answer_timeout{1000};
    const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const scripted_server server([&](const std::string& request) {
        return scripted_answer{
            request.find("X-Request-Id: long") == std::string::npos ? whole
                                                                    : ""};
    });
    platform_store store;
    put_unsafe_route(store, server.endpoint(), callers);
    entry_process entry(store, "bounds.grace_s=8\n");
    REQUIRE(await_ready(entry));
    std::vector<std::unique_ptr<raw_connection>> connections;
    for (std::size_t index = 0; index < callers; ++index) {
        connections.push_back(std::make_unique<raw_connection>(entry.front()));
        connections.back()->send(make_post("first"));
        REQUIRE(connections.back()->read_until("\r\n\r\nok").find(" 200 ") !=
                std::string::npos);
    }
    if (stall > milliseconds(0))
        entry.child().freeze();
    const instant stopped = steady::now();
    entry.child().terminate();
    if (stall > milliseconds(0)) {
        std::this_thread::sleep_for(stall);
        entry.child().thaw();
    }
    std::vector<instant> sent_at(callers);
    for (std::size_t index = 0; index < callers; ++index) {
        std::this_thread::sleep_until(stopped + address_lifetime - lead +
                                      milliseconds(index));
        sent_at[index] = steady::now();
        connections[index]->send(index % 2 == 0 ? make_post("short", short_time)
                                                : make_post("long"));
    }
    late_requests result;
    for (std::size_t index = 0; index < callers; ++index) {
        // The signal is sent just after the time that is taken for it.
        if (sent_at[index] < stopped + address_lifetime + milliseconds(2))
            continue;
        const std::string answer =
            connections[index]->read_until("\r\n\r\n", answer_timeout);
        const bool is_refused =
            answer.find("HTTP/1.1 503 ") == 0 &&
            answer.find("Retry-After: ") != std::string::npos;
        // Others are closed before they are read.
        const bool is_open = answer.empty() && !connections[index]->has_ended();
        result.refused += is_refused ? 1 : 0;
        result.short_refused += is_refused && index % 2 == 0 ? 1 : 0;
        result.passed_on += is_open && index % 2 == 1 ? 1 : 0;
    }
    return result;
}

} // namespace

// Requests were passed on and cut if they came between the end of the address's
// lifetime and the next check of a timer, or while that was late.
TEST_CASE("platform entry - no request that comes too late to be finished is "
          "passed on and cut by a stop, and none that fits is refused") {
    const late_requests result = send_late_requests(milliseconds(0));
    CHECK(result.passed_on == 0);
    CHECK(result.short_refused == 0);
}

TEST_CASE("platform entry - no request is passed on and cut by a stop whose "
          "signal was read late") {
    const late_requests result = send_late_requests(milliseconds(400));
    CHECK(result.passed_on == 0);
    CHECK(result.short_refused == 0);
}

// What is accepted for the longer time is cut if the platform keeps to the time
// that held at the signal.
TEST_CASE("platform entry - a time to stop that is raised during a stop does "
          "not let it accept what it may not finish") {
    std::atomic<int> runs{0};
    const scripted_server silent([&](const std::string&) {
        ++runs;
        return scripted_answer{""};
    });
    platform_store store;
    put_unsafe_route(store, silent.endpoint());
    entry_process entry(store, "bounds.grace_s=3\n");
    REQUIRE(await_ready(entry));
    raw_connection caller(entry.front());
    entry.child().terminate();
    REQUIRE(entry.await_output("draining"));
    entry.write_settings(store, "bounds.grace_s=20\n");
    entry.child().hang_up();
    REQUIRE(entry.await_output("\"taken\":[\"bounds.grace_s\"]"));
    std::this_thread::sleep_for(milliseconds(2000));
    caller.send(make_post("late", seconds(10)));
    CHECK(caller.read_all().find("HTTP/1.1 503 ") == 0);
    CHECK(runs == 0);
    CHECK(entry.wait() == 0);
}

TEST_CASE("platform entry - a request whose body is still arriving at the end "
          "of a stop is refused and not cut") {
    platform_store store;
    put_unsafe_route(store, {"127.0.0.1", 1});
    entry_process entry(store, "bounds.grace_s=2\n");
    REQUIRE(await_ready(entry));
    raw_connection caller(entry.front());
    entry.child().terminate();
    std::this_thread::sleep_for(milliseconds(1000));
    const std::string request = make_post("unfinished");
    caller.send(std::string_view(request).substr(0, request.size() - 1));
    const std::string answer = caller.read_all();
    CHECK(answer.find("HTTP/1.1 503 ") == 0);
    CHECK(answer.find("Retry-After: ") != std::string::npos);
    CHECK(entry.wait() == 0);
}

TEST_CASE("platform entry - memory stays flat while hundreds of servers send "
          "bytes without end") {
    constexpr int servers = 40;
    constexpr int callers_per_kind = 40;
    const scripted_server server(endless_answer);
    platform_store store;
    store.put("op/config",
              R"({"version":3,"services":[{"name":"desk"}],"routes":[{
                  "name":"r","hostname":"a.example","path_prefix":"/x/",
                  "service":"desk","kind":"safe","timeout_ms":2500,
                  "target_latency_ms":500,"max_attempts":2},{
                  "name":"s","hostname":"a.example","path_prefix":"/s/",
                  "service":"desk","kind":"streaming","timeout_ms":2500,
                  "stream_resume":true,"target_gap_ms":400,
                  "target_latency_ms":500,"max_attempts":2}]})");
    for (int id = 0; id < servers; ++id)
        store.put(fmt::format("servers/i-{}", id),
                  fmt::format(R"({{"service":"desk","address":"{}",
                              "zone":"hall-a","slots":64,"state":"ready"}})",
                              to_string(server.endpoint())));
    entry_process entry(store);
    REQUIRE(await_ready(entry));
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (const char* path :
         {"/x/head", "/x/line", "/x/chunk", "/x/trailer", "/x/informational",
          "/x/discarded", "/x/plain", "/s/event"})
        for (int count = 0; count < callers_per_kind; ++count) {
            callers.push_back(std::make_unique<raw_connection>(entry.front()));
            callers.back()->send(fmt::format(
                "GET {} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r{}\r\n"
                "X-Request-Deadline: 2500\r\n\r\n",
                path, callers.size()));
        }
    // Half of the callers read; the answers of the others wait.
    for (std::size_t index = 0; index < callers.size(); index += 2)
        callers[index]->read_all(milliseconds(20));
    std::this_thread::sleep_for(seconds(3));
    const long peak_kib = peak_memory_kib(entry.child().pid());
    INFO("peak memory of the entry: " << peak_kib << " KiB");
    CHECK(peak_kib > 0);
    CHECK(peak_kib < small_vm_kib);
    CHECK(get_raw(entry.front(), "/nowhere").find(" 404 ") !=
          std::string::npos);
    // No answer without end looks complete.
    for (const auto& caller : callers) {
        const std::string answer = caller->read_all(milliseconds(20));
        CHECK_FALSE(answer.ends_with("\r\n0\r\n\r\n"));
    }
}

TEST_CASE("platform entry - odd entries of another writer end neither the "
          "process nor its reading of the list") {
    platform_store store;
    put_initial_configuration(store);
    store.put("servers/i-0", server_registration(80));
    const std::vector<std::string> odd = odd_registrations();
    for (std::size_t index = 0; index < odd.size(); ++index)
        store.put(fmt::format("servers/x-{:02}", index), odd[index]);
    for (const char* id : {"a\r\nX-Tenant: b", "a b", "\"", "a/b", "\x01"})
        store.put(std::string("servers/") + id, server_registration(81));
    store.put("ospreystage/entries/odd-1", "\xff\xfe:80 hall-a");
    store.put("ospreystage/entries/odd-2", "10.0.0.8:65536 hall-a");
    store.put("ospreystage/entries/odd-3", nested_lists(100'000));
    store.put("ospreystage/quarantine/zz", "1");
    store.put("ospreystage/quarantine/00000000000000ff", "1e999");
    const address directory{"127.0.0.1", support::free_ports(1).front()};
    entry_process entry(
        store, fmt::format("listen.directory={}\n", to_string(directory)));
    REQUIRE(await_ready(entry));
    std::string output;
    const auto await_listed = [&](const std::string& id) {
        return eventually(timeout, [&] {
            output += entry.read_output();
            const std::size_t at =
                output.find(fmt::format("\"id\":\"{}\"", id));
            return at != std::string::npos;
        });
    };
    CHECK(await_listed("i-0"));
    CHECK(eventually(timeout, [&] {
        return get_raw(directory, "/v1/resolve?name=a.example")
                   .find(to_string(entry.front())) != std::string::npos;
    }));
    // Later changes are followed, of the list and of the documents.
    store.put("servers/i-9", server_registration(82));
    CHECK(await_listed("i-9"));
    put_configuration(store, 4);
    CHECK(await_version(entry, 4, seconds(2)));
    std::this_thread::sleep_for(seconds(2));
    output += entry.read_output();
    CHECK(entry.child().running());
    CHECK(get_raw(entry.ready(), "/v1/readyz").find(" 200 ") !=
          std::string::npos);
    CHECK(peak_memory_kib(entry.child().pid()) < small_vm_kib);
    // Nothing odd is listed, and each odd item is logged once at most. The id
    // of a quotation mark is unusual but can be used.
    CHECK(await_listed("\\\""));
    CHECK(count_of(output, "\"event\":\"backend_server_listed\"") == 3);
    const std::size_t lines = count_of(output, "_unreadable\"");
    CHECK(lines >= 1);
    CHECK(lines <= odd.size() + 10);
    CHECK(count_of(output, "task_failed") == 0);
    entry.child().terminate();
    CHECK(entry.wait() == 0);
}

TEST_CASE("platform agent - odd reports of an engine do not end the process") {
    const std::vector<std::string> reports{
        nested_lists(100'000),
        R"({"layers":)" + nested_lists(1'000'000) + "}",
        R"({"layers":{"from":-1,"to":1e300,"version":18446744073709551615}})",
        R"({"models":[{"name":"m","version":9223372036854775808}],
            "running":1e999})",
        R"({"running":-1,"queued":18446744073709551615,"sequence":-1e308,
            "born":9223372036854775808,"busy":3})",
        "\xff\xfe",
        R"({"models":[],"running":0,"queued":0,"busy":false,"sequence":1})"};
    std::atomic<std::size_t> served{0};
    const scripted_server engine([&](const std::string&) {
        const std::string& body = reports[served++ % reports.size()];
        return scripted_answer{
            fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}",
                        body.size(), body)};
    });
    const std::string file = std::filesystem::temp_directory_path() /
                             fmt::format("ospreystage-agent-{}.conf", getpid());
    const std::uint16_t port = support::free_ports(2).front();
    REQUIRE(support::write_text_file(
        file, fmt::format("node=side-1\nip=127.0.0.1\nzone=hall-a\n"
                          "service=desk\ninternal_ports={},{}\napp={}\n",
                          port, port + 1, to_string(engine.endpoint()))));
    error failure;
    auto agent = value_or_error(
        [&] {
            return testing::start_platform_process("agent", file,
                                                   file + ".log");
        },
        failure);
    REQUIRE(agent);
    CHECK(eventually(timeout, [&] { return served >= 3 * reports.size(); }));
    CHECK(agent->running());
    CHECK(agent->log_text().find("task_failed") == std::string::npos);
    agent->terminate();
    CHECK(agent->wait(timeout) == 0);
    std::filesystem::remove(file);
    std::filesystem::remove(file + ".log");
}
