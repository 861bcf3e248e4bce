#include <ospreystage/http/blocking_client.hpp>
#include <ospreystage/impl/kv_json.hpp>
#include <ospreystage/store/kv_client.hpp>

#include <exception>
#include <utility>

namespace ospreystage {

namespace {

using json_value = nlohmann::json;

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_too_many_requests = 429;
constexpr std::uint16_t first_server_error = 500;
/// Largest answer: one document, twice as large in its encoded form.
constexpr std::size_t max_answer_bytes = 16 * 1024 * 1024;
/// Longest call, in multiples of the timeout of each of its steps.
constexpr int max_call_timeouts = 3;

/// Maps an HTTP status other than 200. A write may have taken effect despite a
/// server error (5xx), but not after any other status, which is a refusal.
error_code to_error_code(std::uint16_t status) noexcept {
    if (status >= first_server_error)
        return error_code::unknown_effect;
    return status == status_too_many_requests ? error_code::overloaded
                                              : error_code::invalid_argument;
}

/// Maps a failed call. One that did not connect had no effect.
error_code to_error_code(call_end end) noexcept {
    return end == call_end::not_connected ? error_code::unavailable
                                          : error_code::unknown_effect;
}

std::optional<kv_entry> first_entry(const json_value& range) {
    const auto kvs = range.find("kvs");
    if (kvs == range.end() || kvs->empty())
        return std::nullopt;
    return impl::parse_kv_entry(kvs->front());
}

std::optional<kv_entry> conflicting_entry(const json_value& answer) {
    const auto responses = answer.find("responses");
    if (responses == answer.end() || responses->empty())
        return std::nullopt;
    return first_entry(responses->front().at("response_range"));
}

} // namespace

kv_client::kv_client(std::string url, milliseconds call_timeout)
    : url_(std::move(url)), call_timeout_(call_timeout) {}

leaf::result<kv_reading> kv_client::read(const std::string& key) const {
    const json_value body{{"key", impl::to_base64(key)}};
    error failure;
    const auto text = value_or_error(
        [&] { return post("/v3/kv/range", body.dump(), "kv.read"); }, failure);
    if (!text) {
        // A read changes nothing, so its effect is never unknown.
        if (failure.code == error_code::unknown_effect)
            failure.code = error_code::unavailable;
        return leaf::new_error(failure);
    }
    try {
        const auto answer = json_value::parse(*text);
        kv_reading reading;
        reading.entry = first_entry(answer);
        reading.store_revision =
            impl::read_int64(answer.at("header"), "revision");
        return reading;
    } catch (const std::exception& problem) {
        return fail(error_code::malformed, "kv.read", url_, problem.what());
    }
}

leaf::result<kv_write_outcome>
kv_client::write_if(const std::string& key, std::int64_t expected,
                    const std::string& value) const {
    const std::string encoded_key = impl::to_base64(key);
    json_value body;
    body["compare"] = {{{"key", encoded_key},
                        {"target", "MOD"},
                        {"result", "EQUAL"},
                        {"mod_revision", std::to_string(expected)}}};
    body["success"] = {
        {{"request_put",
          {{"key", encoded_key}, {"value", impl::to_base64(value)}}}}};
    body["failure"] = {{{"request_range", {{"key", encoded_key}}}}};
    BOOST_LEAF_AUTO(text, post("/v3/kv/txn", body.dump(), "kv.write"));
    try {
        const auto answer = json_value::parse(text);
        if (answer.value("succeeded", false))
            return kv_write_outcome(kv_written{});
        return kv_write_outcome(kv_conflict{conflicting_entry(answer)});
    } catch (const std::exception& problem) {
        return fail(error_code::unknown_effect, "kv.write", url_,
                    problem.what());
    }
}

const std::string& kv_client::url() const noexcept {
    return url_;
}

milliseconds kv_client::call_timeout() const noexcept {
    return call_timeout_;
}

leaf::result<std::string> kv_client::post(const std::string& path,
                                          const std::string& body,
                                          const char* step) const {
    call_options options;
    options.connect_timeout = call_timeout_;
    options.idle_timeout = call_timeout_;
    options.timeout = max_call_timeouts * call_timeout_;
    options.max_body_bytes = max_answer_bytes;
    auto answer =
        blocking_client(url_).fetch(make_json_post(path, body), options);
    if (answer.end != call_end::complete)
        return fail(to_error_code(answer.end), step, url_,
                    to_string(answer.end));
    if (answer.response.status != status_ok)
        return fail(to_error_code(answer.response.status), step, url_,
                    "HTTP status " + std::to_string(answer.response.status));
    return std::move(answer.response.body);
}

} // namespace ospreystage
