#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/ids.hpp>

#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage::support {

/// How a call ended for the caller.
enum class call_result {
    served,  ///< Whole, and every token is of one known version.
    mixed,   ///< Whole or not, but no single known version gave its tokens.
    cut,     ///< It began, and ended without an end mark or an error.
    not_run, ///< Refused; the request did not run.
    unknown, ///< Refused; the request may have run.
    lost,    ///< No final answer before the deadline and its grace.
};

/// Returns the result's name, e.g. `not-run`.
[[nodiscard]] const char* to_string(call_result result) noexcept;

/// A chat request of a caller.
struct chat_call {
    std::string service;
    std::string organisation;
    std::string request_class;   ///< Empty: no `X-Class` header.
    std::string idempotency_key; ///< Empty: no `Idempotency-Key` header.
    std::string prompt;
    std::uint64_t max_tokens = 16;
    bool stream = true;
    milliseconds deadline{10'000};
    milliseconds patience{0}; ///< Longest wait for bytes; 0: the deadline.
};

/// A request to a plain service.
struct plain_call {
    std::string service;
    std::string path; ///< Below the service, without a leading slash.
    std::string body;
    std::string organisation;
    std::string request_class;
    std::string idempotency_key;
    milliseconds deadline{10'000};
    milliseconds patience{0}; ///< Longest wait for bytes; 0: the deadline.
};

/// What the caller saw of one call.
struct call_outcome {
    call_result result = call_result::lost;
    int status = 0;            ///< HTTP status, 0 if none came.
    std::string reason;        ///< Of a refusal, or what was seen.
    digest version;            ///< Version whose tokens matched.
    std::string named_version; ///< `X-Model-Version` of the answer.
    std::string entry;         ///< URL of the entry that was asked.
    std::string body;          ///< Answer of a plain service.
    std::vector<std::string> tokens;
    milliseconds retry_after{0};
    std::optional<microseconds> first_token; ///< Since the call began.
    std::vector<microseconds> token_gaps;    ///< Between arrivals of tokens.
    microseconds total{0};
};

/// Calls the product as an ordinary client. Safe for use by many threads.
class caller {
  public:
    /// `seeds` are URLs of entries to ask first. `known_versions` maps each
    /// version to the digest of its bytes.
    caller(std::vector<std::string> seeds,
           std::map<digest, digest> known_versions);

    /// Adds a version whose tokens count as correct.
    void add_version(const digest& version, const digest& weights_digest);

    /// Makes a chat request and checks its tokens.
    [[nodiscard]] call_outcome chat(const chat_call& call);

    /// Makes a chat request at the entry with this URL.
    [[nodiscard]] call_outcome chat_at(const std::string& entry,
                                       const chat_call& call);

    /// Makes a POST request to a plain service.
    [[nodiscard]] call_outcome plain(const plain_call& call);

    /// Makes a POST request to a plain service at the entry with this URL.
    [[nodiscard]] call_outcome plain_at(const std::string& entry,
                                        const plain_call& call);

    /// Returns the entries to use, asking again once their ttl has passed.
    [[nodiscard]] std::vector<std::string> entries();

  private:
    using entry_source = std::function<std::string()>;

    [[nodiscard]] call_outcome chat_with(const entry_source& entry,
                                         const chat_call& call);
    [[nodiscard]] call_outcome plain_with(const entry_source& entry,
                                          const plain_call& call);
    [[nodiscard]] std::string next_entry();
    void refresh_entries();
    [[nodiscard]] std::map<digest, digest> known_versions();

    std::vector<std::string> seeds_;
    absl::Mutex mutex_;
    std::map<digest, digest> known_versions_;
    std::vector<std::string> entries_;
    instant entries_end_;
    std::uint64_t next_ = 0;
};

/// Classifies an answer by its tokens: `served`, `cut` or `mixed`.
///
/// Sets `version` to the version that matched; a prefix of the right tokens
/// is `cut`.
[[nodiscard]] call_result
check_tokens(const std::map<digest, digest>& known_versions,
             const chat_call& call, const std::vector<std::string>& tokens,
             digest& version);

} // namespace ospreystage::support
