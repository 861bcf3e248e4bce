#include <ospreystage/impl/bounded_archive.hpp>
#include <ospreystage/network/codec.hpp>

#include <catch2/catch.hpp>

using namespace ospreystage;

namespace {

error decode_failure(const std::string& payload) {
    error failure;
    const auto value = value_or_error(
        [&] { return decode_payload(payload, "peer-1"); }, failure);
    REQUIRE_FALSE(value.has_value());
    return failure;
}

} // namespace

TEST_CASE("codec - a message survives encoding and decoding") {
    run_order order;
    order.attempt = {{"entry-1", 7}, 42};
    order.body = std::string(1000, 'x');
    order.stream = true;
    error failure;
    const auto decoded = value_or_error(
        [&] { return decode_payload(encode_payload(order), "peer-1"); },
        failure);
    REQUIRE(decoded.has_value());
    const auto& copy = std::get<run_order>(*decoded);
    CHECK(copy.attempt == order.attempt);
    CHECK(copy.body == order.body);
    CHECK(copy.stream);
}

TEST_CASE("codec - a truncated payload is refused with step and peer") {
    std::string payload = encode_payload(heartbeat{5});
    payload.pop_back();
    const error failure = decode_failure(payload);
    CHECK(failure.code == error_code::malformed);
    CHECK(failure.step == "codec.decode");
    CHECK(failure.peer == "peer-1");
}

TEST_CASE("codec - a length beyond the payload allocates nothing") {
    manifest_request request{std::string(64, 'a')};
    std::string payload = encode_payload(request);
    const std::size_t length_offset = payload.size() - 64 - 4;
    payload.replace(length_offset, 4, "\xff\xff\xff\x7f");
    CHECK(decode_failure(payload).code == error_code::malformed);
}

TEST_CASE("codec - an unknown alternative is refused") {
    std::string payload = encode_payload(heartbeat{5});
    payload[0] = 'Z';
    CHECK(decode_failure(payload).code == error_code::malformed);
}

TEST_CASE("codec - an oversized frame is refused by its header") {
    const std::string header{"\x7f\xff\xff\xff\x00\x01", 6};
    error failure;
    const auto value = value_or_error(
        [&] { return decode_header(header, "peer-1"); }, failure);
    CHECK_FALSE(value.has_value());
    CHECK(failure.code == error_code::too_large);
}
