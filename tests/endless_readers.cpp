#include "platform/engine_client.hpp"
#include "platform/store_client.hpp"
#include "tests/support/process_usage.hpp"
#include "tests/support/scripted_server.hpp"

#include <ospreystage/fleet/site_feed.hpp>
#include <ospreystage/fleet/vm_list.hpp>
#include <ospreystage/store/kv_client.hpp>
#include <ospreystage/weights/origin_client.hpp>

#include <catch2/catch.hpp>
#include <unistd.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace ospreystage;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr milliseconds reader_timeout{1000};
/// Enough for every reader to meet its bound or its time limit.
constexpr seconds max_duration{3};
/// Twice the largest answer that a reader collects.
constexpr std::uint64_t max_growth_bytes = 64 * 1024 * 1024;

/// Answers that go on until the reader closes.
std::vector<scripted_answer> endless_answers() {
    constexpr std::size_t size = 256 * 1024;
    std::string fields;
    while (fields.size() < size)
        fields += "X-Field: value\r\n";
    std::string chunks;
    while (chunks.size() < size)
        chunks += "400\r\n" + std::string(0x400, ' ') + "\r\n";
    const auto endless = [](std::string begin, std::string repeated) {
        scripted_answer answer;
        answer.bytes = std::move(begin);
        answer.endless_bytes = std::move(repeated);
        return answer;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    return {endless("", std::string(size, 'a')),
            endless(ok, std::string(size, 'a')),
            endless(ok, fields),
            endless(ok + "\r\n[", std::string(size, ' ')),
            endless(ok + "Content-Length: 99999999999\r\n\r\n{",
                    std::string(size, ' ')),
            endless(ok + "Transfer-Encoding: chunked\r\n\r\n", chunks)};
}

/// Reads an answer on the kernel of `client` and calls `done` with whether the
/// reader took it for one.
using reader =
    std::function<void(web_client& client, const address& server,
                       const std::function<void(bool has_answer)>& done)>;

/// Lets a reader have all endless answers, one after the other.
void check_reader(const reader& read) {
    const auto before = support::peak_resident_bytes(getpid());
    REQUIRE(before);
    for (const scripted_answer& answer : endless_answers()) {
        const scripted_server server(
            [&](const std::string&) { return answer; });
        kernel core;
        web_client client(core);
        bool has_ended = false;
        read(client, server.endpoint(), [&](bool has_answer) {
            CHECK_FALSE(has_answer);
            has_ended = true;
            core.stop();
        });
        core.after("test", max_duration, [&core] { core.stop(); });
        core.run();
        CAPTURE(answer.bytes, answer.endless_bytes.substr(0, 20));
        CHECK(has_ended);
    }
    const auto after = support::peak_resident_bytes(getpid());
    REQUIRE(after);
    CHECK(*after - *before < max_growth_bytes);
}

std::shared_ptr<platform::store_client> make_store(web_client& client,
                                                   const address& server) {
    return std::make_shared<platform::store_client>(client, server,
                                                    reader_timeout);
}

/// Checks a reader that blocks its thread.
template <typename Read>
void check_blocking_reader(Read read) {
    check_reader([&](web_client&, const address& server, const auto& done) {
        error failure;
        const instant started = steady::now();
        const bool has_answer =
            value_or_error([&] { return read("http://" + to_string(server)); },
                           failure)
                .has_value();
        CHECK(steady::now() - started < 2 * max_duration);
        done(has_answer);
    });
}

} // namespace

TEST_CASE("endless answers - no call of the platform's store goes on without "
          "end or collects without a bound") {
    check_reader([](auto& client, const auto& server, const auto& done) {
        const auto store = make_store(client, server);
        store->read_all("servers/", [store, done](const auto& result) {
            done(!result.failure);
        });
    });
    check_reader([](auto& client, const auto& server, const auto& done) {
        const auto store = make_store(client, server);
        store->watch(
            "op/", 3, milliseconds(100),
            [store, done](const auto& result) { done(!result.failure); });
    });
    check_reader([](auto& client, const auto& server, const auto& done) {
        const auto store = make_store(client, server);
        store->grant_lease(
            seconds(4), [store, done](auto failure, auto) { done(!failure); });
    });
    check_reader([](auto& client, const auto& server, const auto& done) {
        const auto store = make_store(client, server);
        store->write("key", "value", 0,
                     [store, done](auto failure) { done(!failure); });
    });
}

TEST_CASE("endless answers - no call of an engine by its agent goes on without "
          "end or collects without a bound") {
    check_reader([](auto& client, const auto& server, const auto& done) {
        const auto engine =
            std::make_shared<platform::engine_client>(client, server);
        engine->read_report(1, [engine, done](const auto& report) {
            done(report.has_value());
        });
    });
    check_reader([](auto& client, const auto& server, const auto& done) {
        const auto engine =
            std::make_shared<platform::engine_client>(client, server);
        manifest description;
        description.chunks.resize(4);
        engine->check_staged(
            "model", description, {true},
            [engine, done](const auto& staged) { done(staged.has_value()); });
    });
    check_reader([](auto& client, const auto& server, const auto& done) {
        const auto engine =
            std::make_shared<platform::engine_client>(client, server);
        engine->stage(
            "model", {0}, [](std::uint32_t) { return std::string("chunk"); },
            [engine, done](bool succeeded) { done(succeeded); });
    });
}

TEST_CASE("endless answers - no state of another entry goes on without end or "
          "is collected without a bound") {
    for (const scripted_answer& answer : endless_answers()) {
        const auto before = support::peak_resident_bytes(getpid());
        const scripted_server other([&](const std::string&) { return answer; });
        kernel core;
        web_client client(core);
        site_copy copy;
        // The other entry's address is that of the scripted server.
        copy.on_entry({"edge-2", {"127.0.0.1", 80}, "hall"});
        site_feed feed(
            core, client, copy,
            {"edge-1", "hall", {"127.0.0.9", other.endpoint().port}, {}},
            [](const site_copy::applied_parts& applied) {
                CHECK(applied.documents.empty());
            });
        error failure;
        REQUIRE(value_or_error(
            [&]() -> leaf::result<bool> {
                BOOST_LEAF_CHECK(feed.start());
                return true;
            },
            failure));
        feed.on_entries_changed();
        core.after("test", seconds(2), [&core] { core.stop(); });
        core.run();
        CAPTURE(answer.bytes, answer.endless_bytes.substr(0, 20));
        CHECK(other.connections() > 0);
        CHECK(other.open_connections() <= 2);
        CHECK(*support::peak_resident_bytes(getpid()) - *before <
              max_growth_bytes);
    }
}

TEST_CASE(
    "endless answers - no blocking reader goes on without end or collects "
    "without a bound") {
    check_blocking_reader([](const std::string& url) {
        return kv_client(url, reader_timeout).read("key");
    });
    check_blocking_reader([](const std::string& url) {
        return read_vm_list(url, reader_timeout);
    });
    check_blocking_reader([](const std::string& url) {
        return origin_client(url).chunk("version", 1);
    });
}
