#pragma once

#include "tests/support/gateway_fixture.hpp"
#include "tests/support/scripted_server.hpp"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace ospreystage::testing {

/// Servers of a `gateway_fixture` that end as they begin a request of some
/// kind: they close all connections, refuse new ones, and are back after a
/// while with a new id. Until then they stay listed.
class mortal_servers {
  public:
    /// Returns true if a server ends when it begins this request.
    using crash_predicate = std::function<bool(const std::string& request)>;

    /// Starts `count` servers, which hold `version` of the weights, and lists
    /// them.
    mortal_servers(gateway_fixture& fixture, int count,
                   crash_predicate is_fatal, scripted_answer sound,
                   std::uint64_t version = 0);
    ~mortal_servers();
    mortal_servers(const mortal_servers&) = delete;
    mortal_servers& operator=(const mortal_servers&) = delete;

    /// Number of requests that ended a server.
    [[nodiscard]] int crashes() const noexcept { return crashes_; }

  private:
    struct life {
        std::unique_ptr<scripted_server> server;
        std::shared_ptr<std::atomic<bool>> is_ending;
        address endpoint;
        instant ended_at{};
    };

    [[nodiscard]] life start();
    void check();
    void list();

    gateway_fixture& fixture_;
    crash_predicate is_fatal_;
    scripted_answer sound_;
    std::uint64_t version_;
    std::atomic<int> crashes_{0};
    std::deque<life> lives_;
};

} // namespace ospreystage::testing
