#include "platform/engine_client.hpp"
#include "platform/store_client.hpp"
#include "tests/support/scripted_server.hpp"

#include <ospreystage/fleet/site_copy.hpp>
#include <ospreystage/fleet/vm_list.hpp>
#include <ospreystage/impl/kv_json.hpp>
#include <ospreystage/store/kv_client.hpp>
#include <ospreystage/store/kv_watch.hpp>
#include <ospreystage/weights/origin_client.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace ospreystage;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr const char* ok = "HTTP/1.1 200 OK\r\n";
constexpr seconds call_timeout{2};

std::string with_length(const std::string& body, std::size_t sent) {
    return fmt::format("{}Content-Length: {}\r\n\r\n{}", ok, body.size(),
                       body.substr(0, sent));
}

std::string in_chunks(const std::string& body, bool is_whole) {
    std::string out = std::string(ok) + "Transfer-Encoding: chunked\r\n\r\n";
    if (!body.empty())
        out += fmt::format("{:x}\r\n{}\r\n", body.size(), body);
    return is_whole ? out + "0\r\n\r\n" : out;
}

std::string unframed(const std::string& body) {
    return std::string(ok) + "\r\n" + body;
}

/// Returns whole answers, one for each framing.
std::vector<scripted_answer> whole_answers(const std::string& body) {
    return {{with_length(body, body.size())},
            {in_chunks(body, true)},
            {unframed(body), true}};
}

/// Returns answers that break off: cut in several places, in each framing, by
/// a close or a reset. A body without length or chunks that was closed is
/// included only if its content shows where it ends.
std::vector<scripted_answer> cut_answers(const std::string& body,
                                         bool is_self_delimiting) {
    std::vector<scripted_answer> out;
    for (const bool resets : {false, true}) {
        const auto add = [&](std::string bytes) {
            out.push_back({std::move(bytes), !resets, resets});
        };
        for (const std::size_t sent : {std::size_t{0}, std::size_t{1},
                                       body.size() / 2, body.size() - 1}) {
            add(with_length(body, sent));
            add(in_chunks(body.substr(0, sent), false));
            if (is_self_delimiting || resets)
                add(unframed(body.substr(0, sent)));
        }
        add(in_chunks(body, false));
        add(std::string(ok).substr(0, 10));
        add("");
    }
    out.push_back({unframed(body), false, true});
    // Bytes that are no chunk after a chunk.
    out.push_back(
        {in_chunks(body.substr(0, body.size() / 2), false) + "no chunk\r\n\r\n",
         true});
    return out;
}

/// Reads an answer; returns true if the reader took it for whole.
using reader = std::function<bool(const address& server)>;

void check_reader(const std::string& body, bool is_self_delimiting,
                  const reader& read) {
    const auto read_from = [&](const scripted_answer& answer) {
        const scripted_server server(
            [&](const std::string&) { return answer; });
        return read(server.endpoint());
    };
    for (const scripted_answer& answer : whole_answers(body)) {
        CAPTURE(answer.bytes);
        CHECK(read_from(answer));
    }
    for (const scripted_answer& answer :
         cut_answers(body, is_self_delimiting)) {
        CAPTURE(answer.bytes, answer.resets);
        CHECK_FALSE(read_from(answer));
    }
    for (const scripted_answer& answer :
         testing::answers_without_status("", body)) {
        CAPTURE(answer.bytes);
        CHECK_FALSE(read_from(answer));
    }
}

/// Runs `start` with a web client until it passes a result to its argument.
bool run_call(
    const std::function<void(web_client&, std::function<void(bool)>)>& start) {
    kernel core;
    web_client client(core);
    bool is_whole = false;
    start(client, [&](bool result) {
        is_whole = result;
        core.stop();
    });
    core.after("test", call_timeout, [&core] { core.stop(); });
    core.run();
    return is_whole;
}

std::string url_of(const address& server) {
    return "http://" + to_string(server);
}

} // namespace

TEST_CASE("broken answers - no reader of the store takes a part for the "
          "whole") {
    check_reader(R"({"items":[{"key":"servers/a","value":"YQ=="}],)"
                 R"("has_more":false,"store_revision":4})",
                 true, [](const address& server) {
                     return run_call([&](web_client& client, auto done) {
                         auto store = std::make_shared<platform::store_client>(
                             client, server, milliseconds(1000));
                         store->read_all("servers/", [store, done](auto read) {
                             done(!read.failure && read.items.size() == 1);
                         });
                     });
                 });
    check_reader(R"({"events":[{"key":"op/a","value":"YQ==","revision":4}],)"
                 R"("store_revision":4})",
                 true, [](const address& server) {
                     return run_call([&](web_client& client, auto done) {
                         auto store = std::make_shared<platform::store_client>(
                             client, server, milliseconds(1000));
                         store->watch("op/", 3, milliseconds(0),
                                      [store, done](auto read) {
                                          done(!read.failure &&
                                               read.items.size() == 1);
                                      });
                     });
                 });
}

TEST_CASE("broken answers - no reader of an engine takes a part for the "
          "whole") {
    check_reader(R"({"models":[],"busy":false,"sequence":4,"running":1})", true,
                 [](const address& server) {
                     return run_call([&](web_client& client, auto done) {
                         auto engine =
                             std::make_shared<platform::engine_client>(client,
                                                                       server);
                         engine->read_report(1, [engine, done](auto& report) {
                             done(report.has_value());
                         });
                     });
                 });
}

TEST_CASE("broken answers - no reader of the key-value service takes a part "
          "for the whole") {
    const std::string range = fmt::format(
        R"({{"header":{{"revision":"5"}},"kvs":[{{"key":"{0}","value":"{0}",)"
        R"("mod_revision":"5"}}]}})",
        impl::to_base64("a"));
    check_reader(range, true, [](const address& server) {
        error failure;
        const kv_client client(url_of(server), milliseconds(1000));
        return value_or_error([&] { return client.read("a"); }, failure)
            .has_value();
    });
}

TEST_CASE("broken answers - a list of VMs is not taken from a part") {
    check_reader(R"([{"vm":"vm-1","state":"live"}])", true,
                 [](const address& server) {
                     error failure;
                     return value_or_error(
                                [&] {
                                    return read_vm_list(url_of(server),
                                                        milliseconds(1000));
                                },
                                failure)
                         .has_value();
                 });
}

TEST_CASE("broken answers - a chunk of the origin is not taken from a part "
          "unless nothing but its digest shows it") {
    check_reader(std::string(2000, 'c'), false, [](const address& server) {
        origin_client origin(url_of(server));
        error failure;
        return value_or_error([&] { return origin.chunk("version", 3); },
                              failure)
            .has_value();
    });
}

TEST_CASE("broken answers - a watch does not report an event whose line is "
          "cut") {
    const std::string range = fmt::format(
        R"({{"header":{{"revision":"5"}},"kvs":[{{"key":"{0}","value":"{0}",)"
        R"("mod_revision":"5"}}]}})",
        impl::to_base64("a"));
    const std::string event = fmt::format(
        R"({{"result":{{"header":{{"revision":"6"}},"events":[{{"type":"PUT",)"
        R"("kv":{{"value":"{}","mod_revision":"6"}}}}]}}}})",
        impl::to_base64("second"));
    const std::string line = event + "\n";
    for (const std::string& sent : {line, event, line.substr(0, 20)})
        for (const bool is_chunked : {true, false}) {
            const scripted_server server([&](const std::string& request) {
                if (request.find("/v3/watch") == std::string::npos)
                    return scripted_answer{with_length(range, range.size())};
                return scripted_answer{
                    is_chunked ? in_chunks(sent, false) : unframed(sent), true};
            });
            std::atomic<int> seconds_seen{0};
            {
                const kv_watch watch(
                    kv_client(url_of(server.endpoint()), milliseconds(500)),
                    "a", milliseconds(300),
                    [&](const kv_reading& reading) {
                        if (reading.entry && reading.entry->value == "second")
                            ++seconds_seen;
                    },
                    [](const error&) {});
                std::this_thread::sleep_for(milliseconds(300));
            }
            CHECK((seconds_seen > 0) == (sent == line));
        }
}

TEST_CASE("broken answers - no part of another entry's state is taken for the "
          "whole") {
    site_changes changes;
    changes.revisions = {4, 5, 6};
    changes.documents_age = milliseconds(10);
    changes.documents = std::vector<site_document>{{"op/config", "text", 4}};
    const std::string whole = encode(changes);
    error failure;
    CHECK(value_or_error([&] { return decode_site_changes(whole, "entry-2"); },
                         failure));
    for (std::size_t size = 0; size < whole.size(); ++size) {
        CAPTURE(size);
        CHECK_FALSE(value_or_error(
            [&] {
                return decode_site_changes(whole.substr(0, size), "entry-2");
            },
            failure));
    }
}

TEST_CASE("origin client - stop ends the call in progress and later ones") {
    const scripted_server server(
        [](const std::string&) { return scripted_answer{}; });
    origin_client origin(url_of(server.endpoint()));
    const auto is_read = [&] {
        error failure;
        return value_or_error([&] { return origin.chunk("version", 3); },
                              failure)
            .has_value();
    };
    const instant started = steady::now();
    std::thread stopper([&] {
        std::this_thread::sleep_for(milliseconds(100));
        origin.stop();
    });
    CHECK_FALSE(is_read());
    stopper.join();
    CHECK_FALSE(is_read());
    CHECK(steady::now() - started < seconds(2));
}
