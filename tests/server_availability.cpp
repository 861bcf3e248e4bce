#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

constexpr const char* leaving_field = "Server-Leaving: 1\r\n";
constexpr const char* refused_fields = "X-Not-Executed: 1\r\n";

/// A server whose answers are made from the number of the request, which
/// counts from 0.
class counting_server {
  public:
    explicit counting_server(std::function<scripted_answer(int number)> answers)
        : answers_(std::move(answers)), server_([this](const std::string&) {
              const std::lock_guard lock(mutex_);
              arrivals_.push_back(steady::now());
              return answers_(static_cast<int>(arrivals_.size()) - 1);
          }) {}

    [[nodiscard]] address endpoint() const { return server_.endpoint(); }
    [[nodiscard]] std::vector<instant> arrivals() const {
        const std::lock_guard lock(mutex_);
        return arrivals_;
    }
    [[nodiscard]] std::size_t count() const { return arrivals().size(); }

  private:
    std::function<scripted_answer(int)> answers_;
    mutable std::mutex mutex_;
    std::vector<instant> arrivals_;
    scripted_server server_;
};

scripted_answer answer_ok(int) {
    return {make_response(200, "", "ok")};
}

/// Answers after a while, so that a sequence of requests takes some time.
scripted_answer answer_later(int) {
    scripted_answer answer;
    answer.delayed_bytes = make_response(200, "", "ok");
    return answer;
}

/// Refuses every request and asks for a pause.
std::function<scripted_answer(int)> ask_for_pause(const std::string& pause) {
    return [pause](int) {
        return scripted_answer{make_response(
            503, refused_fields + ("Retry-After: " + pause + "\r\n"), "")};
    };
}

bool are_all_served(const std::vector<gateway_fixture::outcome>& results) {
    return std::all_of(results.begin(), results.end(), [](const auto& result) {
        return result.response.status == 200;
    });
}

/// Returns the longest time between two arrivals.
milliseconds longest_gap(const std::vector<instant>& arrivals) {
    std::chrono::nanoseconds longest{0};
    for (std::size_t index = 1; index < arrivals.size(); ++index)
        longest = std::max(longest, arrivals[index] - arrivals[index - 1]);
    return std::chrono::duration_cast<milliseconds>(longest);
}

} // namespace

// ---- Servers that leave ----------------------------------------------------

TEST_CASE("server availability - a server that is leaving gets no further "
          "request, whatever answer says so") {
    const auto [status, fields] =
        GENERATE(std::pair<int, std::string>{200, ""},
                 std::pair<int, std::string>{500, ""},
                 std::pair<int, std::string>{421, ""},
                 std::pair<int, std::string>{429, refused_fields},
                 std::pair<int, std::string>{503, refused_fields},
                 std::pair<int, std::string>{200, "Connection: close\r\n"});
    gateway_fixture fixture;
    const counting_server leaving([status = status, fields = fields](int) {
        return scripted_answer{
            make_response(status, fields + leaving_field, "")};
    });
    const counting_server other(answer_ok);
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({leaving.endpoint(), other.endpoint()});
    CHECK(are_all_served(fixture.send_requests(30, "GET")));
    CHECK(leaving.count() == 1);
}

TEST_CASE("server availability - the head of a stream, in chunks or until the "
          "connection closes, says that its server is leaving") {
    const bool is_chunked = GENERATE(true, false);
    gateway_fixture fixture;
    const counting_server leaving([is_chunked](int) {
        std::string stream =
            is_chunked ? make_event_stream(1, 2, true)
                       : "HTTP/1.1 200 OK\r\nContent-Type: "
                         "text/event-stream\r\nConnection: close\r\n\r\n" +
                             event_text(1, 2);
        stream.insert(stream.find("\r\n") + 2, leaving_field);
        return scripted_answer{stream, !is_chunked};
    });
    const counting_server other(
        [](int) { return scripted_answer{make_event_stream(1, 2, true)}; });
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({leaving.endpoint(), other.endpoint()});
    for (const auto& result : fixture.send_requests(30))
        CHECK(result.response.body == event_text(1, 2));
    CHECK(leaving.count() == 1);
}

TEST_CASE("server availability - a later list or a lost store does not bring a "
          "leaving server back") {
    const bool is_store_lost = GENERATE(false, true);
    gateway_fixture fixture;
    const counting_server leaving([](int) {
        return scripted_answer{make_response(200, leaving_field, "")};
    });
    const counting_server other(answer_later);
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({leaving.endpoint(), other.endpoint()});
    fixture.core.every("list", milliseconds(20), [&] {
        if (is_store_lost)
            fixture.servers.on_unreachable(steady::now());
        else
            fixture.add_servers({leaving.endpoint(), other.endpoint()});
    });
    CHECK(are_all_served(fixture.send_requests(20, "GET")));
    CHECK(leaving.count() <= 1);
}

TEST_CASE("server availability - a server that is not listed for a while and "
          "then listed again is still leaving") {
    gateway_fixture fixture;
    const counting_server leaving([](int) {
        return scripted_answer{make_response(200, leaving_field, "")};
    });
    const counting_server other(answer_later);
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({leaving.endpoint(), other.endpoint()});
    bool is_listed = true;
    fixture.core.every("list", milliseconds(100), [&] {
        is_listed = !is_listed;
        if (is_listed)
            fixture.add_servers({leaving.endpoint(), other.endpoint()});
        else
            fixture.add_servers({other.endpoint()});
    });
    CHECK(are_all_served(fixture.send_requests(30, "GET")));
    CHECK(leaving.count() <= 1);
}

TEST_CASE("server availability - a leaving server that no other can replace is "
          "used for a short time only") {
    gateway_fixture fixture;
    const counting_server leaving([](int) {
        scripted_answer answer;
        answer.delayed_bytes = make_response(200, leaving_field, "ok");
        return answer;
    });
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({leaving.endpoint()});
    const auto results = fixture.send_requests(40, "GET");
    CHECK(results[1].response.status == 200);
    CHECK(results.back().response.status == 503);
    CHECK(results.back().response.body == "servers are leaving\n");
    CHECK(results.back().duration < milliseconds(50));
    const auto arrivals = leaving.arrivals();
    // The fixture's drain time, after the first answer.
    CHECK(arrivals.back() - arrivals.front() < milliseconds(600));
}

TEST_CASE("server availability - a server that starts again in place after it "
          "has left gets requests") {
    gateway_fixture fixture;
    const counting_server server([](int number) {
        return scripted_answer{
            make_response(200, number == 0 ? leaving_field : "", "ok")};
    });
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({server.endpoint()});
    fixture.core.after("list", milliseconds(20), [&] {
        backend_server restarted = *fixture.servers.all().front();
        restarted.started_unix_ms += 1000;
        fixture.servers.on_list({restarted}, steady::now());
    });
    const auto results = fixture.send_requests(2000, "GET");
    CHECK(results.back().response.status == 200);
}

TEST_CASE("server availability - a new server at the address of one that has "
          "left gets requests") {
    gateway_fixture fixture;
    const counting_server server([](int number) {
        return scripted_answer{
            make_response(200, number == 0 ? leaving_field : "", "ok")};
    });
    fixture.add_route(request_kind::idempotent, false);
    fixture.add_servers({server.endpoint()});
    fixture.core.after("list", milliseconds(20), [&] {
        backend_server successor = *fixture.servers.all().front();
        successor.id = "i-successor";
        fixture.servers.on_list({successor}, steady::now());
    });
    const auto results = fixture.send_requests(2000, "GET");
    CHECK(results.back().response.status == 200);
}

// ---- Servers that ask for a pause ------------------------------------------

TEST_CASE("server availability - a server that asks for a pause gets nothing "
          "until its end, and requests again after it") {
    gateway_fixture fixture;
    const counting_server pausing([](int number) {
        return number == 0 ? ask_for_pause("0.8")(0) : answer_later(0);
    });
    const counting_server other(answer_later);
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({pausing.endpoint(), other.endpoint()});
    CHECK(are_all_served(fixture.send_requests(40)));
    const auto arrivals = pausing.arrivals();
    REQUIRE(arrivals.size() > 2);
    CHECK(arrivals[1] - arrivals[0] >= milliseconds(800));
}

TEST_CASE("server availability - where all servers pause, a request is refused "
          "at once and told to return after the first of them") {
    gateway_fixture fixture;
    const counting_server first(ask_for_pause("0.7"));
    const counting_server second(ask_for_pause("30"));
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    const auto results = fixture.send_requests(4);
    CHECK(first.count() == 1);
    CHECK(second.count() == 1);
    for (const auto& result : results) {
        CHECK(result.response.status == 503);
        CHECK(result.duration < milliseconds(300));
        const double wait =
            std::stod(field_value(result.response.fields, "Retry-After"));
        CHECK(wait >= 0.4);
        CHECK(wait <= 1.0); // A third of the time that the caller has left.
    }
    CHECK(results.back().response.body == "servers ask for a pause\n");
}

TEST_CASE("server availability - a retry does not go to a server that asks for "
          "a pause") {
    gateway_fixture fixture;
    const counting_server pausing(ask_for_pause("5"));
    const counting_server refusing([](int) {
        return scripted_answer{make_response(503, refused_fields, "")};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({pausing.endpoint(), refusing.endpoint()});
    for (const auto& result : fixture.send_requests(20))
        CHECK(result.response.status == 503);
    CHECK(pausing.count() == 1);
    CHECK(refusing.count() > 10);
}

TEST_CASE("server availability - a stream is not resumed at a server that asks "
          "for a pause") {
    gateway_fixture fixture;
    const counting_server pausing(ask_for_pause("5"));
    const counting_server breaking([](int) {
        return scripted_answer{make_event_stream(1, 2, false), true};
    });
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({pausing.endpoint(), breaking.endpoint()});
    for (const auto& result : fixture.send_requests(20))
        CHECK(result.response.status == 200);
    CHECK(pausing.count() <= 1);
}

TEST_CASE("server availability - the latest end of two pauses counts, and an "
          "answer without a pause does not end one") {
    gateway_fixture fixture;
    // Both answers are to requests that were sent before the first of them.
    const counting_server pausing([](int number) {
        return number == 0 ? ask_for_pause("0.9")(0) : ask_for_pause("0.1")(0);
    });
    const counting_server other(answer_later);
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({pausing.endpoint(), other.endpoint()});
    CHECK(are_all_served(fixture.send_requests(40)));
    const auto arrivals = pausing.arrivals();
    REQUIRE(arrivals.size() > 2);
    CHECK(arrivals[1] - arrivals[0] >= milliseconds(900));
    CHECK(longest_gap(arrivals) < milliseconds(2000));
}

TEST_CASE("server availability - a pause of no length or that cannot be read "
          "does not keep requests away") {
    const std::string pause =
        GENERATE("0", "-5", "soon", "", "nan", "inf",
                 "Fri, 04 Dec 2026 14:00:00 GMT", "1e400");
    gateway_fixture fixture;
    const counting_server server([pause](int number) {
        return number == 0 ? ask_for_pause(pause)(0) : answer_later(0);
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const auto results = fixture.send_requests(10);
    CHECK(results.back().response.status == 200);
}

TEST_CASE("server availability - a pause that may have run does not promise "
          "the caller that its request did not run") {
    gateway_fixture fixture;
    const counting_server server([](int) {
        return scripted_answer{
            make_response(503, "Retry-After: 1\r\nX-Server-Stamp: s\r\n", "")};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_servers({server.endpoint()});
    const auto results = fixture.send_requests(2);
    // A failure of the entry: it does not carry the server's stamp.
    CHECK(results[0].response.status == 502);
    CHECK(find_field(results[0].response.fields, "X-Server-Stamp") == nullptr);
    // The pause holds all the same.
    CHECK(results[1].response.status == 503);
    CHECK(server.count() == 1);
}

TEST_CASE("server availability - a permit that arrives after its server asked "
          "for a pause is not used") {
    gateway_fixture fixture;
    const counting_server server([](int) {
        return scripted_answer{make_response(200, "Server-Limit: 5\r\n", "ok")};
    });
    fixture.add_route(request_kind::non_idempotent, false);
    fixture.add_entries({"edge-2"});
    fixture.add_servers({server.endpoint()});
    const std::string id = fixture.servers.all().front()->id;
    fixture.core.every("issuer", milliseconds(1), [&] {
        for (const permit_request& asked : fixture.permit_requests()) {
            fixture.availability.on_answer({id}, {false, seconds(5), false},
                                           steady::now());
            fixture.tested_gateway.on_permit_reply(
                {asked.server, asked.sequence, permit_verdict::granted, 0});
        }
    });
    const auto results = fixture.send_requests(2);
    CHECK(results[0].response.status == 200);
    CHECK(results[1].response.status == 503);
    CHECK(server.count() == 1);
}
