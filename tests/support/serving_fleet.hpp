#pragma once

#include <tests/support/caller.hpp>
#include <tests/support/fleet.hpp>

#include <memory>
#include <string>

namespace ospreystage::support {

/// A fleet whose engines hold one version, and a caller that knows it.
class serving_fleet {
  public:
    /// Starts everything; throws `std::runtime_error` if that fails.
    explicit serving_fleet(const fleet_options& options);

    [[nodiscard]] fleet& system() noexcept { return system_; }
    [[nodiscard]] caller& client() noexcept { return *client_; }
    [[nodiscard]] const weights_version& version() const noexcept {
        return version_;
    }

  private:
    fleet system_;
    weights_version version_;
    std::unique_ptr<caller> client_;
};

/// Waits until the agent has put the document in force; returns false after
/// half a minute.
[[nodiscard]] bool await_serving(const fleet& system, const std::string& agent);

/// Waits until the entry has heard of `version` from the agent of every
/// engine, and from all other agents; returns false after half a minute.
[[nodiscard]] bool await_replicas(const fleet& system, const std::string& entry,
                                  const digest& version);

} // namespace ospreystage::support
