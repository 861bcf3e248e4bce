#include "platform/store_client.hpp"
#include "tests/support/gateway_fixture.hpp"
#include "tests/support/raw_connection.hpp"
#include "tests/support/running_kernel.hpp"
#include "tests/support/scripted_server.hpp"

#include <ospreystage/fleet/vm_list.hpp>
#include <ospreystage/store/kv_client.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <atomic>
#include <optional>
#include <string>

using namespace ospreystage;
using testing::event_text;
using testing::gateway_fixture;
using testing::make_event_stream;
using testing::make_response;
using testing::raw_connection;
using testing::running_kernel;
using testing::scripted_answer;
using testing::scripted_server;

namespace {

scripted_answer endless(std::string begin, std::string repeated) {
    scripted_answer answer;
    answer.bytes = std::move(begin);
    answer.endless_bytes = std::move(repeated);
    return answer;
}

const std::string filler(16 * 1024, 'a');

} // namespace

TEST_CASE("endless answers - an event without end moves the stream to another "
          "server") {
    std::atomic<int> runs{0};
    const auto answer = [&](const std::string&) {
        if (runs++ == 0)
            return endless("HTTP/1.1 200 OK\r\n"
                           "Content-Type: text/event-stream\r\n\r\n" +
                               event_text(1, 3) + "id: 4\ndata: ",
                           filler);
        return scripted_answer{make_event_stream(4, 6, true)};
    };
    const scripted_server first(answer);
    const scripted_server second(answer);
    gateway_fixture fixture;
    fixture.add_route(request_kind::streaming, true);
    fixture.add_servers({first.endpoint(), second.endpoint()});
    const auto result = fixture.send_request();
    CHECK(result.end == call_end::complete);
    CHECK(result.response.body == event_text(1, 6));
    // An idle stream moves after 700 ms.
    CHECK(result.duration < milliseconds(500));
}
