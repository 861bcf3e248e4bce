#include <tests/support/repeating_caller.hpp>

#include <algorithm>
#include <thread>

namespace ospreystage::support {

namespace {

constexpr milliseconds least_pause{20};

/// Refusals that a repeat of the same request can't change.
bool is_permanent(const std::string& reason) {
    return reason == "key_reused" || reason == "invalid_request" ||
           reason == "unknown_service";
}

/// Returns true if the connection ended, or went silent, before the answer.
bool died(const call_outcome& outcome) {
    return outcome.result == call_result::lost ||
           outcome.result == call_result::cut;
}

} // namespace

repeating_caller::repeating_caller(caller& client, repeat_options options)
    : client_(client), options_(options) {}

repeated_outcome repeating_caller::chat(const chat_call& call) {
    return repeat(call.deadline, [&](milliseconds left) {
        chat_call next = call;
        next.deadline = left;
        next.patience = options_.patience;
        return client_.chat(next);
    });
}

repeated_outcome repeating_caller::plain(const plain_call& call) {
    return repeat(call.deadline, [&](milliseconds left) {
        plain_call next = call;
        next.deadline = left;
        next.patience = options_.patience;
        return client_.plain(next);
    });
}

template <typename Try>
repeated_outcome repeating_caller::repeat(milliseconds deadline,
                                          Try make_try) const {
    const instant began = steady::now();
    repeated_outcome out;
    for (;;) {
        const instant tried = steady::now();
        const auto left =
            std::chrono::ceil<milliseconds>(deadline - (tried - began));
        out.last = make_try(std::max(left, least_pause));
        const auto before =
            std::chrono::duration_cast<microseconds>(tried - began);
        out.last.total += before;
        if (out.last.first_token)
            *out.last.first_token += before;
        if (out.tries++ == 0)
            out.first_result = out.last.result;
        if (died(out.last))
            ++out.dead_connections;
        const milliseconds pause = std::max(out.last.retry_after, least_pause);
        if (!repeats(out.last) || out.tries >= options_.tries ||
            steady::now() + pause >= began + deadline)
            return out;
        std::this_thread::sleep_for(pause);
    }
}

bool repeating_caller::repeats(const call_outcome& outcome) const {
    if (outcome.result == call_result::not_run)
        return !is_permanent(outcome.reason);
    return died(outcome) && options_.after_dead_connection;
}

} // namespace ospreystage::support
