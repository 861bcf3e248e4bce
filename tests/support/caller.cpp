#include <httplib.h>
#include <tests/support/answer_reader.hpp>
#include <tests/support/caller.hpp>
#include <tests/support/http_json.hpp>
#include <tests/support/weights.hpp>

#include <algorithm>
#include <functional>
#include <thread>

namespace ospreystage::support {

namespace {

constexpr milliseconds answer_grace{2000};
constexpr milliseconds connect_timeout{500};
constexpr milliseconds entries_timeout{500};
constexpr milliseconds connect_retry_interval{50};

/// Headers and body of one POST request.
struct raw_call {
    std::string path;
    std::string body;
    std::string organisation;
    std::string request_class;
    std::string idempotency_key;
    milliseconds patience; ///< Longest wait for bytes; 0: the limit.
};

/// How the exchange with an entry ended.
struct raw_answer {
    bool sent = false;     ///< A connection stood; it may have arrived.
    bool complete = false; ///< The body ended in order.
    int status = 0;
    std::string named_version;
};

using receiver = std::function<void(std::string_view bytes)>;

httplib::Request make_request(const raw_call& call) {
    httplib::Request request;
    request.method = "POST";
    request.path = call.path;
    request.body = call.body;
    request.set_header("Content-Type", "application/json");
    request.set_header("X-Organisation", call.organisation);
    if (!call.request_class.empty())
        request.set_header("X-Class", call.request_class);
    if (!call.idempotency_key.empty())
        request.set_header("Idempotency-Key", call.idempotency_key);
    return request;
}

raw_answer exchange(const std::string& url, const raw_call& call, instant limit,
                    const receiver& receive) {
    raw_answer answer;
    httplib::Client client(url);
    client.set_connection_timeout(connect_timeout);
    const milliseconds left =
        std::max(milliseconds(1),
                 std::chrono::ceil<milliseconds>(limit - steady::now()));
    client.set_read_timeout(
        call.patience.count() == 0 ? left : std::min(left, call.patience));
    client.set_tcp_nodelay(true);
    httplib::Request request = make_request(call);
    request.response_handler = [&](const httplib::Response& head) {
        answer.status = head.status;
        answer.named_version = head.get_header_value("X-Model-Version");
        return true;
    };
    request.content_receiver = [&](const char* data, std::size_t size,
                                   std::uint64_t, std::uint64_t) {
        receive({data, size});
        return steady::now() < limit;
    };
    const httplib::Result result = client.send(request);
    const httplib::Error problem = result.error();
    answer.sent = problem != httplib::Error::Connection &&
                  problem != httplib::Error::ConnectionTimeout;
    answer.complete = problem == httplib::Error::Success;
    return answer;
}

/// Sends to one entry after another until a connection stands.
template <typename NextEntry>
raw_answer exchange_with_any(NextEntry next_entry, const raw_call& call,
                             instant limit, std::string& entry,
                             const receiver& receive) {
    for (;;) {
        entry = next_entry();
        raw_answer answer = exchange(entry, call, limit, receive);
        if (answer.sent || steady::now() >= limit)
            return answer;
        std::this_thread::sleep_for(connect_retry_interval);
    }
}

std::string chat_body(const chat_call& call) {
    const nlohmann::json message = {{"role", "user"}, {"content", call.prompt}};
    const nlohmann::json body = {{"model", call.service},
                                 {"messages", nlohmann::json::array({message})},
                                 {"max_tokens", call.max_tokens},
                                 {"stream", call.stream}};
    return body.dump();
}

} // namespace

const char* to_string(call_result result) noexcept {
    switch (result) {
    case call_result::served:
        return "served";
    case call_result::mixed:
        return "mixed";
    case call_result::cut:
        return "cut";
    case call_result::not_run:
        return "not-run";
    case call_result::unknown:
        return "unknown";
    case call_result::lost:
        return "lost";
    }
    return "lost";
}

call_result check_tokens(const std::map<digest, digest>& known_versions,
                         const chat_call& call,
                         const std::vector<std::string>& tokens,
                         digest& version) {
    for (const auto& [candidate, weights_digest] : known_versions) {
        bool matches = tokens.size() <= call.max_tokens;
        for (std::size_t index = 0; matches && index < tokens.size(); ++index)
            matches = tokens[index] ==
                      expected_token(weights_digest, call.prompt, index);
        if (!matches)
            continue;
        version = candidate;
        return tokens.size() == call.max_tokens ? call_result::served
                                                : call_result::cut;
    }
    return call_result::mixed;
}

caller::caller(std::vector<std::string> seeds,
               std::map<digest, digest> known_versions)
    : seeds_(std::move(seeds)), known_versions_(std::move(known_versions)) {}

void caller::add_version(const digest& version, const digest& weights_digest) {
    const absl::MutexLock lock(&mutex_);
    known_versions_[version] = weights_digest;
}

std::map<digest, digest> caller::known_versions() {
    const absl::MutexLock lock(&mutex_);
    return known_versions_;
}

call_outcome caller::chat(const chat_call& call) {
    return chat_with([this] { return next_entry(); }, call);
}

call_outcome caller::chat_at(const std::string& entry, const chat_call& call) {
    return chat_with([&entry] { return entry; }, call);
}

call_outcome caller::chat_with(const entry_source& entry,
                               const chat_call& call) {
    const instant began = steady::now();
    const instant limit = began + call.deadline + answer_grace;
    call_outcome outcome;
    answer_reader reader(call.stream, began);
    const raw_call raw = {"/v1/chat/completions", chat_body(call),
                          call.organisation,      call.request_class,
                          call.idempotency_key,   call.patience};
    const raw_answer answer = exchange_with_any(
        entry, raw, limit, outcome.entry,
        [&](std::string_view bytes) { reader.receive(bytes, steady::now()); });
    outcome.total =
        std::chrono::duration_cast<microseconds>(steady::now() - began);
    outcome.named_version = answer.named_version;
    if (answer.status == 0) {
        outcome.reason = answer.sent ? "no answer came" : "no entry answers";
        return outcome;
    }
    outcome.result = reader.finish(answer.status, answer.complete, outcome);
    const bool began_answer = outcome.result == call_result::served ||
                              outcome.result == call_result::cut;
    if (!began_answer && outcome.tokens.empty())
        return outcome;
    const call_result checked =
        check_tokens(known_versions(), call, outcome.tokens, outcome.version);
    if (outcome.tokens.empty())
        outcome.version.clear();
    if (checked == call_result::mixed || outcome.result == call_result::served)
        outcome.result = checked;
    if (!answer.complete && outcome.result == call_result::cut &&
        steady::now() >= limit)
        outcome.result = call_result::lost;
    return outcome;
}

call_outcome caller::plain(const plain_call& call) {
    return plain_with([this] { return next_entry(); }, call);
}

call_outcome caller::plain_at(const std::string& entry,
                              const plain_call& call) {
    return plain_with([&entry] { return entry; }, call);
}

call_outcome caller::plain_with(const entry_source& entry,
                                const plain_call& call) {
    const instant began = steady::now();
    const instant limit = began + call.deadline + answer_grace;
    call_outcome outcome;
    const raw_call raw = {"/v1/services/" + call.service + "/" + call.path,
                          call.body,
                          call.organisation,
                          call.request_class,
                          call.idempotency_key,
                          call.patience};
    const raw_answer answer = exchange_with_any(
        entry, raw, limit, outcome.entry,
        [&](std::string_view bytes) { outcome.body.append(bytes); });
    outcome.total =
        std::chrono::duration_cast<microseconds>(steady::now() - began);
    outcome.status = answer.status;
    if (answer.status == 0) {
        outcome.reason = answer.sent ? "no answer came" : "no entry answers";
        return outcome;
    }
    const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
    const auto refusal = read_refusal(body, outcome);
    if (refusal)
        outcome.result = *refusal;
    else if (!answer.complete)
        outcome.result = call_result::cut;
    else if (answer.status >= 400)
        outcome.result = call_result::unknown;
    else
        outcome.result = call_result::served;
    return outcome;
}

std::vector<std::string> caller::entries() {
    {
        const absl::MutexLock lock(&mutex_);
        if (!entries_.empty() && steady::now() < entries_end_)
            return entries_;
    }
    refresh_entries();
    const absl::MutexLock lock(&mutex_);
    return entries_.empty() ? seeds_ : entries_;
}

void caller::refresh_entries() {
    std::vector<std::string> sources;
    {
        const absl::MutexLock lock(&mutex_);
        sources = entries_;
        sources.insert(sources.end(), seeds_.begin(), seeds_.end());
    }
    for (const std::string& source : sources) {
        const http_answer answer =
            get_json(source, "/v1/entries", entries_timeout);
        if (answer.status != 200 || !answer.body.is_object())
            continue;
        const absl::MutexLock lock(&mutex_);
        entries_ = answer.body.value("entries", std::vector<std::string>{});
        entries_end_ =
            steady::now() + milliseconds(answer.body.value("ttl_ms", 0));
        return;
    }
}

std::string caller::next_entry() {
    const std::vector<std::string> usable = entries();
    const absl::MutexLock lock(&mutex_);
    return usable.at(next_++ % usable.size());
}

} // namespace ospreystage::support
