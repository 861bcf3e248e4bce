#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <string>
#include <vector>

using namespace ospreystage;
using testing::gateway_fixture;
using testing::make_response;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr const char* first_id = "r1";
constexpr const char* second_id = "r2";

std::string id_line(const std::string& id) {
    return "X-Request-Id: " + id + "\r\n";
}

/// Returns a refusal with the given fields.
std::string make_refusal(const std::string& fields, int status = 503) {
    return make_response(status, "X-Not-Executed: 1\r\n" + fields, "full\n");
}

std::string own_answer() {
    return make_response(200, id_line(second_id), "done");
}

bool is_second(const std::string& request) {
    return request.find(id_line(second_id)) != std::string::npos;
}

struct stale_result {
    http_response response; ///< To the second request.
    int runs = 0;           ///< Of the second request, at all servers.
    int connections = 0;    ///< To the first server.
};

/// Sends two requests that must not run twice on one kept connection. The
/// server answers the first one, and the second one as `answer` does; another
/// server is there once the second request has arrived.
stale_result run_on_kept_connection(const scripted_answer& answer) {
    stale_result result;
    std::atomic<int> runs{0};
    const scripted_server first([&](const std::string& request) {
        if (!is_second(request))
            return scripted_answer{make_response(200, id_line(first_id), "x")};
        ++runs;
        return answer;
    });
    const scripted_server other([&](const std::string&) {
        ++runs;
        return scripted_answer{own_answer()};
    });
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({first.endpoint()});
    fixture.on_placing = [&] {
        if (runs > 0)
            fixture.add_servers({first.endpoint(), other.endpoint()});
    };
    result.response =
        fixture
            .send_requests({http_fields{{"X-Request-Id", first_id}},
                            http_fields{{"X-Request-Id", second_id}}})
            .back()
            .response;
    result.runs = runs;
    result.connections = first.connections();
    return result;
}

/// Bytes of a refusal that belongs to an earlier request, in the forms in which
/// a response can come that does not name this one.
std::vector<std::string> refusals_without_own_id() {
    const std::string chunked =
        "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n5\r\nfull\n\r\n0\r\n\r\n";
    return {make_refusal(""),
            make_refusal("", 429),
            make_refusal("", 421),
            make_refusal("", 400),
            make_refusal("Connection: close\r\n"),
            "HTTP/1.1 100 Continue\r\n\r\n" + make_refusal(""),
            chunked};
}

} // namespace

TEST_CASE("stale answers - a refusal without an id on a kept connection does "
          "not refuse a request that its server runs") {
    for (const std::string& stale : refusals_without_own_id()) {
        CAPTURE(stale);
        const auto result =
            run_on_kept_connection({stale, false, false, own_answer()});
        CHECK(result.response.status == 200);
        CHECK(result.response.body == "done");
        CHECK(result.runs == 1);
        CHECK(result.connections == 1);
    }
}

TEST_CASE("stale answers - a refusal without an id that ends the connection "
          "leaves open whether the request has run") {
    const std::string unframed =
        "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\n\r\nfull\n";
    for (const std::string& stale :
         {make_refusal(""), make_refusal("Connection: close\r\n"), unframed}) {
        CAPTURE(stale);
        const auto result = run_on_kept_connection({stale, true});
        CHECK(result.response.status == 502);
        CHECK(result.runs == 1);
    }
}

TEST_CASE("stale answers - a refusal without an id that arrives in parts is "
          "not taken for the answer") {
    const std::string stale = make_refusal("");
    for (std::size_t sent = 1; sent < stale.size(); sent += 7) {
        CAPTURE(sent);
        const auto result =
            run_on_kept_connection({stale.substr(0, sent), false, false,
                                    stale.substr(sent) + own_answer()});
        CHECK(result.response.body == "done");
        CHECK(result.runs == 1);
    }
}

TEST_CASE("stale answers - a refusal that names several requests is not taken "
          "for the answer to one of them") {
    for (const std::string& ids :
         {id_line(second_id) + id_line(first_id),
          id_line(first_id) + id_line(second_id), id_line("r1, r2"),
          id_line("R2"), id_line("")}) {
        CAPTURE(ids);
        const auto result = run_on_kept_connection(
            {make_refusal(ids), false, false, own_answer()});
        CHECK(result.response.status == 200);
        CHECK(result.response.body == "done");
        CHECK(result.runs == 1);
    }
}

TEST_CASE("stale answers - a refusal of another request that announces the end "
          "of the connection does not end the call") {
    const auto result = run_on_kept_connection(
        {make_refusal(id_line(first_id) + "Connection: close\r\n"), false,
         false, own_answer()});
    CHECK(result.response.status == 200);
    CHECK(result.response.body == "done");
    CHECK(result.runs == 1);
}

TEST_CASE("stale answers - a refusal within an answer is no refusal") {
    const std::string head = "HTTP/1.1 200 OK\r\n" + id_line(second_id);
    const std::string length = "Content-Length: 4\r\n\r\n";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n";
    for (const std::string& fields : {std::string(), id_line(first_id)}) {
        const std::string stale = make_refusal(fields);
        for (const std::string& answer :
             {fmt::format("{}{}{}done", head, length, stale),
              fmt::format("{}{}{}4\r\ndone\r\n0\r\n\r\n", head, chunks, stale),
              fmt::format("{}{}2\r\ndo\r\n{}2\r\nne\r\n0\r\n\r\n", head, chunks,
                          stale),
              fmt::format("{}{}{}done", head, stale, length)}) {
            CAPTURE(answer);
            const auto result = run_on_kept_connection({answer});
            CHECK(result.response.status != 503);
            CHECK(result.response.status != 429);
            CHECK(result.runs == 1);
        }
    }
}

TEST_CASE("stale answers - a server's own refusal is believed, on a new "
          "connection also without an id") {
    const auto refused_on_new = [](const std::string& fields) {
        const scripted_server server([&](const std::string&) {
            return scripted_answer{make_refusal(fields)};
        });
        gateway_fixture fixture;
        fixture.add_route(request_kind::non_idempotent, false);
        fixture.add_servers({server.endpoint()});
        return fixture.send_request().response.status;
    };
    CHECK(refused_on_new("") == 503);
    CHECK(refused_on_new(id_line("r1")) == 503);
    const auto kept =
        run_on_kept_connection({make_refusal(id_line(second_id))});
    CHECK(kept.response.status == 200);
    CHECK(kept.runs == 2);
}

TEST_CASE("stale answers - a server that names no requests gets one request a "
          "connection, whose first answer is its own") {
    const scripted_server server([](const std::string&) {
        return scripted_answer{make_response(200, "", "done")};
    });
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    for (const auto& result :
         fixture.send_requests({http_fields{{"X-Request-Id", first_id}},
                                http_fields{{"X-Request-Id", second_id}}}))
        CHECK(result.response.body == "done");
    CHECK(server.connections() == 2);
}

TEST_CASE("stale answers - a connection that has carried an answer to another "
          "request is not used again") {
    std::atomic<int> arrivals{0};
    const scripted_server server([&](const std::string& request) {
        const std::size_t field = request.find("X-Request-Id: ");
        const std::string id = request.substr(field, 18);
        const std::string own = make_response(200, id, "done");
        if (++arrivals == 2)
            return scripted_answer{make_refusal(id_line(first_id)) + own};
        return scripted_answer{own};
    });
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const auto results =
        fixture.send_requests({http_fields{{"X-Request-Id", "r1"}},
                               http_fields{{"X-Request-Id", "r2"}},
                               http_fields{{"X-Request-Id", "r3"}}});
    for (const auto& result : results)
        CHECK(result.response.body == "done");
    CHECK(server.connections() == 2);
}

TEST_CASE("stale answers - a request without an id takes a connection of its "
          "own, on which no earlier answer can come") {
    std::atomic<int> runs{0};
    const scripted_server server([&](const std::string& request) {
        if (request.find("X-Request-Id: r1") != std::string::npos)
            return scripted_answer{make_response(200, id_line("r1"), "x")};
        ++runs;
        return scripted_answer{make_response(200, "", "done")};
    });
    gateway_fixture fixture;
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const auto results = fixture.send_requests(
        {http_fields{{"X-Request-Id", "r1"}}, http_fields{{"X-Request-Id", ""}},
         http_fields{{"X-Request-Id", ""}}});
    CHECK(results.back().response.body == "done");
    CHECK(runs == 2);
    CHECK(server.connections() == 3);
}

TEST_CASE(
    "stale answers - a request that comes again with its id takes another "
    "connection, where no copy of its first refusal can come") {
    const scripted_server server([](const std::string&) {
        return scripted_answer{make_refusal(id_line("r1"))};
    });
    kernel core;
    web_client client(core);
    call_options options;
    options.echoed_field = "X-Request-Id";
    http_request request;
    request.method = "POST";
    request.fields = {{"X-Request-Id", "r1"}};
    int refused = 0;
    const auto on_answer = [&](call_end, const http_response& response) {
        refused += response.status == 503 ? 1 : 0;
        client.fetch(server.endpoint(), request, options,
                     [&](call_end, const http_response& second) {
                         refused += second.status == 503 ? 1 : 0;
                         core.stop();
                     });
    };
    client.fetch(server.endpoint(), request, options, on_answer);
    core.after("test", seconds(3), [&core] { core.stop(); });
    core.run();
    CHECK(refused == 2);
    CHECK(server.connections() == 2);
}
