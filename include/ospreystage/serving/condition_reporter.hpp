#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>

#include <cstdint>
#include <optional>
#include <utility>

namespace ospreystage {

/// Decides when an agent notifies the entries of its server's condition.
class condition_reporter {
  public:
    /// What a report of the server says.
    struct observation {
        double pace = 1;
        std::int64_t started_unix_ms = 0; ///< 0: the server does not say.
        std::uint64_t orders = 0; ///< Accepted since the server's start.
        /// Time since the start by the clock of the server's VM, if known.
        std::optional<milliseconds> age = std::nullopt;
    };

    explicit condition_reporter(address server) : server_(std::move(server)) {}

    /// Returns the condition to send, if any.
    [[nodiscard]] std::optional<server_condition>
    on_report(const observation& seen, instant now);

  private:
    address server_;
    std::optional<observation> last_;
    std::optional<instant> started_at_;
    std::uint32_t sent_percent_ = server_condition::usual_pace_percent;
    instant sent_at_{};
};

} // namespace ospreystage
