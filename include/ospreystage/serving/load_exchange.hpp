#pragma once

#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/fleet/entry_duties.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/serving/backend_load.hpp>
#include <ospreystage/serving/entry_datagram.hpp>

#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Exchanges what is known of the engines' load between the entries.
///
/// An agent reports to the entries of each region that deal with it, and an
/// attempt is announced to the own region and to those entries of the others.
/// They pass both on to the rest of their region in digests, so that the
/// traffic between regions does not grow with the number of entries. An entry
/// takes nothing from a digest that it is also sent directly: the digest is
/// older.
class load_exchange {
  public:
    using outgoing = entry_datagram;

    /// `self` and `region` are the name and the region of this entry.
    load_exchange(std::string self, std::string region,
                  const entry_duties& duties, const backend_registry& servers,
                  backend_load& load);

    // ---- Observers ---------------------------------------------------------

    /// Returns true if this entry deals with the engine at `host` for its
    /// region, and therefore needs the reports of its agent.
    [[nodiscard]] bool deals_with(const std::string& host) const;

    /// Returns true if the digest should be sent before its interval has
    /// passed.
    [[nodiscard]] bool is_digest_full() const noexcept;

    /// Returns the notices of an attempt whose prompt takes `prefill_time`;
    /// nothing if the server's address is not numeric.
    [[nodiscard]] std::vector<outgoing>
    announce(const backend_server& server, microseconds prefill_time) const;

    // ---- Events ------------------------------------------------------------

    /// Handles a report that an agent has sent to this entry.
    void on_report(const engine_report& report, instant now);
    /// Handles a notice that an entry has sent to this one.
    void on_notice(const attempt_notice& notice, instant now);
    void on_digest(const load_digest& digest, instant now);

    /// Returns what was collected for the other entries of the region, if
    /// anything, and begins a new digest.
    [[nodiscard]] std::optional<outgoing> take_digest();

  private:
    /// Returns true if the region has entries that do not deal with an engine.
    [[nodiscard]] bool has_other_entries() const;
    void apply(const engine_report& report, instant now);
    void apply(const attempt_notice& notice, instant now);
    [[nodiscard]] std::vector<const site_entry*>
    without_self(std::vector<const site_entry*> entries) const;

    std::string self_;
    std::string region_;
    const entry_duties& duties_;
    const backend_registry& servers_;
    backend_load& load_;
    load_digest digest_;
};

} // namespace ospreystage
