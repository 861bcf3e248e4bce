#pragma once

#include <ospreystage/core/address.hpp>
#include <ospreystage/core/clock.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// An entry that callers may be directed to.
struct listed_entry {
    address callers;    ///< At which it accepts requests.
    std::string region; ///< Empty if not known.
    friend bool operator==(const listed_entry&, const listed_entry&) = default;
};

/// Entries that callers may be directed to.
///
/// After an outage of the store, entries whose registration expired meanwhile
/// are kept for the time that they need to register again. An entry that was
/// listed after the outage and is removed later has left.
class entry_list {
  public:
    explicit entry_list(milliseconds reregistration_time)
        : reregistration_time_(reregistration_time) {}

    /// `callers` is the address at which the entry accepts requests.
    void on_listed(const std::string& name, const address& callers, instant now,
                   const std::string& region = "");
    void on_removed(const std::string& name, instant now);
    /// Treats every entry that is not in `names` as removed.
    void retain(const std::vector<std::string>& names, instant now);
    void on_store_recovered(instant now) { outage_ended_ = now; }
    [[nodiscard]] std::optional<instant> outage_ended() const noexcept {
        return outage_ended_;
    }
    void advance(instant now);

    [[nodiscard]] std::vector<address> caller_addresses() const;
    [[nodiscard]] std::vector<listed_entry> all() const;
    [[nodiscard]] std::size_t size() const noexcept { return entries_.size(); }

  private:
    struct entry_record {
        listed_entry entry;
        instant listed_at{};
        std::optional<instant> remove_at;
    };

    milliseconds reregistration_time_;
    std::optional<instant> outage_ended_;
    std::map<std::string, entry_record> entries_;
};

} // namespace ospreystage
