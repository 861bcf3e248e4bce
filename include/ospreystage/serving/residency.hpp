#pragma once

#include <ospreystage/routing/route_table.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystage {

/// Regions whose servers may run a request: all of them, or those of a list.
class allowed_regions {
  public:
    /// Allows every region.
    allowed_regions() = default;

    /// Leaves the regions of `names` only; an empty list leaves them as they
    /// are, as in the configuration.
    void restrict_to(const std::vector<std::string>& names);
    /// Leaves the regions that `other` allows too, which may be none.
    void restrict_to(const allowed_regions& other);

    [[nodiscard]] bool allows(std::string_view region) const;
    [[nodiscard]] bool allows_all() const noexcept { return !names_; }
    friend bool operator==(const allowed_regions&,
                           const allowed_regions&) = default;

  private:
    std::optional<std::vector<std::string>> names_; ///< Absent: all.
};

/// Returns the regions that a route and an organisation both allow; either may
/// be null.
[[nodiscard]] allowed_regions regions_of(const route* matched_route,
                                         const organisation_keys* organisation);

/// Returns the regions in which a request may run now: those of the
/// configuration under which it was accepted as far as the current one allows
/// them too. A route or organisation that is gone adds no bound.
[[nodiscard]] allowed_regions current_regions(const allowed_regions& accepted,
                                              std::string_view host,
                                              std::string_view target,
                                              const std::string& organisation,
                                              const route_table& current);

} // namespace ospreystage
