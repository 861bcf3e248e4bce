#include "platform/wire.hpp"

#include <ospreystage/core/whole_request.hpp>
#include <ospreystage/serving/request_identity.hpp>

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace ospreystage;

namespace {

http_request make_request(const http_fields& more_fields = {}) {
    http_request request;
    request.method = "POST";
    request.target = "/x/1?a=b";
    request.fields = {{"Host", "a.example"}, {"Api-Key", "secret"}};
    request.fields.insert(request.fields.end(), more_fields.begin(),
                          more_fields.end());
    request.body = "body";
    return request;
}

prompt_part identity(const http_request& request,
                     const std::string& organisation = "org") {
    return request_identity(
        request, platform::make_caller_protocol().read_request(request),
        organisation);
}

} // namespace

TEST_CASE("request identity - an arrival with another id and time limit is the "
          "same request") {
    const auto first =
        make_request({{"X-Request-Id", "1"}, {"X-Request-Deadline", "3000"}});
    const auto again =
        make_request({{"X-Request-Id", "2"}, {"X-Request-Deadline", "900"}});
    CHECK(identity(first) == identity(again));
    CHECK(is_whole_request(identity(first)));
}

TEST_CASE("request identity - method, host, path, query, caller, prompt and "
          "body tell requests apart") {
    std::set<prompt_part> seen{identity(make_request())};
    const auto is_new = [&](const http_request& request,
                            const std::string& organisation = "org") {
        return seen.insert(identity(request, organisation)).second;
    };
    auto request = make_request();
    request.method = "PUT";
    CHECK(is_new(request));
    request = make_request();
    request.target = "/x/2?a=b";
    CHECK(is_new(request));
    request.target = "/x/1?a=c";
    CHECK(is_new(request));
    request = make_request();
    request.fields.front().value = "b.example";
    CHECK(is_new(request));
    request = make_request();
    request.body = "another body";
    CHECK(is_new(request));
    CHECK(is_new(make_request(), "other"));
    CHECK(is_new(make_request({{"X-Prompt-Prefix", "a1:10,b2:20"}})));
    CHECK(is_new(make_request({{"X-Prompt-Prefix", "a1:10,b3:20"}})));
    // Without an organisation, the key is the caller.
    CHECK(is_new(make_request(), ""));
    request = make_request();
    request.fields.back().value = "org";
    CHECK(is_new(request, ""));
}

TEST_CASE("request identity - bytes moved from one field to the next give "
          "another request") {
    auto left = make_request();
    left.target = "/x/1b";
    left.body = "ody";
    auto right = make_request();
    right.target = "/x/1";
    right.body = "body";
    CHECK(identity(left) != identity(right));
}

TEST_CASE("request identity - no part of a prompt is taken for a whole "
          "request") {
    for (int number = 0; number < 200; ++number) {
        const auto request = make_request(
            {{"X-Prompt-Prefix", std::to_string(number) + ":1,ff:2"}});
        const auto caller =
            platform::make_caller_protocol().read_request(request);
        REQUIRE(caller.prompt_parts.size() == 1);
        CHECK_FALSE(is_whole_request(caller.prompt_parts.front()));
    }
}
