#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Entries that callers may be sent to.
///
/// After an outage of the store, entries that lapsed meanwhile are kept for as
/// long as they need to register again.
class entry_list {
  public:
    explicit entry_list(milliseconds return_time) : return_time_(return_time) {}

    /// `callers` is where the entry takes requests.
    void on_listed(const std::string& name, const address& callers);
    void on_removed(const std::string& name, instant now);
    /// Everything that is not in `names` was removed.
    void retain(const std::vector<std::string>& names, instant now);
    void on_store_returned(instant now) { returned_ = now; }
    void advance(instant now);

    [[nodiscard]] std::vector<address> callers() const;
    [[nodiscard]] std::size_t size() const noexcept { return places_.size(); }

  private:
    struct place_record {
        address callers;
        std::optional<instant> missing_until;
    };

    milliseconds return_time_;
    std::optional<instant> returned_;
    std::map<std::string, place_record> places_;
};

} // namespace ospreystage
