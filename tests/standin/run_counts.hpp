#pragma once

#include "common.hpp"

#include <map>
#include <string>

namespace ospreystage::standin {

/// Headers that identify a request.
struct request_identity {
    std::string organisation;
    std::string key;     ///< `Idempotency-Key`, or empty.
    std::string attempt; ///< `X-Attempt-Id`, or empty.
};

[[nodiscard]] inline request_identity
identity_of(const httplib::Request& request) {
    return {request.get_header_value("X-Organisation"),
            request.get_header_value("Idempotency-Key"),
            request.get_header_value("X-Attempt-Id")};
}

/// Counts how often each key and each attempt began to run.
class run_counts {
  public:
    void add(const request_identity& identity) {
        if (!identity.key.empty())
            ++by_key_[identity.organisation + "/" + identity.key];
        if (!identity.attempt.empty())
            ++by_attempt_[identity.attempt];
    }

    [[nodiscard]] json to_json() const {
        return {{"by_key", by_key_}, {"by_attempt", by_attempt_}};
    }

  private:
    std::map<std::string, std::int64_t> by_key_;
    std::map<std::string, std::int64_t> by_attempt_;
};

} // namespace ospreystage::standin
