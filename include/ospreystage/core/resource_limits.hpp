#pragma once

#include <ospreystage/core/kernel.hpp>
#include <ospreystage/core/memory_budget.hpp>

#include <nlohmann/json.hpp>

#include <cstddef>

namespace ospreystage {

/// Limits of a process that its servers, clients and links share; a service of
/// the kernel. Without it, nothing is limited.
class resource_limits {
  public:
    static constexpr const char* service_name = "resource_limits";

    /// `memory` must outlive the kernel. `max_descriptors` of 0: not limited.
    /// A process that serves no callers leaves their part to internal
    /// connections.
    resource_limits(memory_budget& memory, std::size_t max_descriptors,
                    bool serves_callers)
        : memory_(memory), max_descriptors_(max_descriptors),
          serves_callers_(serves_callers) {}

    [[nodiscard]] memory_budget& memory() const noexcept { return memory_; }

    /// Connections of each kind that may be open at the same time; 0: not
    /// limited.
    [[nodiscard]] std::size_t max_caller_connections() const noexcept;
    [[nodiscard]] std::size_t max_client_connections() const noexcept;
    [[nodiscard]] std::size_t max_internal_connections() const noexcept;

    [[nodiscard]] nlohmann::json dump() const;

  private:
    [[nodiscard]] std::size_t part(std::size_t percent) const noexcept;

    memory_budget& memory_;
    std::size_t max_descriptors_;
    bool serves_callers_;
};

/// Returns the budget of the process, or null if it has none.
[[nodiscard]] memory_budget* memory_budget_of(const kernel& core);

} // namespace ospreystage
