#include <tests/support/answer_reader.hpp>

#include <sstream>

namespace ospreystage::support {

namespace {

constexpr std::string_view event_prefix = "data: ";
constexpr std::string_view event_separator = "\n\n";

microseconds since(instant from, instant to) {
    return std::chrono::duration_cast<microseconds>(to - from);
}

/// Returns the text at `pointer`, or an empty one if there is none.
std::string text_at(const nlohmann::json& body, const char* pointer) {
    const nlohmann::json::json_pointer path(pointer);
    if (!body.is_object() || !body.contains(path) || !body[path].is_string())
        return {};
    return body[path].get<std::string>();
}

} // namespace

std::optional<call_result> read_refusal(const nlohmann::json& body,
                                        call_outcome& outcome) {
    const std::string result = text_at(body, "/error/outcome");
    if (result.empty())
        return std::nullopt;
    outcome.reason = text_at(body, "/error/reason");
    const nlohmann::json& error = body["error"];
    if (error.contains("retry_after_ms") &&
        error["retry_after_ms"].is_number_integer())
        outcome.retry_after =
            milliseconds(error["retry_after_ms"].get<std::int64_t>());
    return result == "not-run" ? call_result::not_run : call_result::unknown;
}

void answer_reader::receive(std::string_view bytes, instant now) {
    buffer_.append(bytes);
    if (!stream_)
        return;
    for (;;) {
        const std::size_t end = buffer_.find(event_separator);
        if (end == std::string::npos)
            return;
        const std::string event = buffer_.substr(0, end);
        buffer_.erase(0, end + event_separator.size());
        take_event(event, now);
    }
}

void answer_reader::take_event(const std::string& event, instant now) {
    if (!event.starts_with(event_prefix))
        return;
    const std::string data = event.substr(event_prefix.size());
    if (data == "[DONE]") {
        done_ = true;
        return;
    }
    const auto body = nlohmann::json::parse(data, nullptr, false);
    if (body.is_object() && body.contains("error")) {
        error_ = body;
        return;
    }
    const std::string content = text_at(body, "/choices/0/delta/content");
    if (content.empty())
        return;
    add_tokens(content);
    if (first_token_)
        token_gaps_.push_back(since(last_token_, now));
    else
        first_token_ = since(began_, now);
    last_token_ = now;
}

void answer_reader::add_tokens(const std::string& content) {
    std::istringstream words(content);
    for (std::string token; words >> token;)
        tokens_.push_back(token);
}

call_result answer_reader::finish(int status, bool complete,
                                  call_outcome& outcome) {
    outcome.status = status;
    if (status >= 400) {
        const auto body = nlohmann::json::parse(buffer_, nullptr, false);
        const auto refusal = read_refusal(body, outcome);
        if (!refusal)
            outcome.reason = "status without an outcome: " + buffer_;
        return refusal.value_or(call_result::unknown);
    }
    const call_result result = stream_ ? finish_stream(complete, outcome)
                                       : finish_whole(complete, outcome);
    outcome.tokens = std::move(tokens_);
    outcome.first_token = first_token_;
    outcome.token_gaps = std::move(token_gaps_);
    return result;
}

call_result answer_reader::finish_stream(bool complete, call_outcome& outcome) {
    if (!error_.is_null()) {
        const auto refusal = read_refusal(error_, outcome);
        return refusal.value_or(call_result::unknown);
    }
    if (done_)
        return call_result::served;
    outcome.reason = complete ? "the stream ended without [DONE]"
                              : "the connection closed during the stream";
    return call_result::cut;
}

call_result answer_reader::finish_whole(bool complete, call_outcome& outcome) {
    const auto body = nlohmann::json::parse(buffer_, nullptr, false);
    const auto refusal = read_refusal(body, outcome);
    if (refusal)
        return *refusal;
    if (!complete || !body.is_object()) {
        outcome.reason = "the body is incomplete";
        return call_result::cut;
    }
    add_tokens(text_at(body, "/choices/0/message/content"));
    return call_result::served;
}

} // namespace ospreystage::support
