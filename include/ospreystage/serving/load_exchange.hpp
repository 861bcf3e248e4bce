#pragma once

#include <ospreystage/fleet/backend_registry.hpp>
#include <ospreystage/fleet/entry_duties.hpp>
#include <ospreystage/network/messages.hpp>
#include <ospreystage/serving/backend_load.hpp>
#include <ospreystage/serving/entry_datagram.hpp>

#include <absl/container/flat_hash_map.h>

#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ospreystage {

/// Exchanges what is known of the engines' load between the entries.
///
/// Designed for hundreds of entries and engines with thousands of attempts and
/// reports a second. An agent reports to the few entries of each region that
/// deal with it (`entry_duties`), and an attempt is announced to the same ones,
/// in a small region to all. The first of them passes both on to the rest of
/// its region in digests; the next ones stand in for it when its digests do not
/// come. So the traffic grows with the number of entries, not with its square,
/// and that between regions not at all. An entry takes nothing from a digest
/// that it is also sent directly: the digest is older.
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

    // ---- Events ------------------------------------------------------------

    /// Handles an attempt of this entry whose prompt takes `prefill_time`.
    /// Returns the notices to send; none if the server's address is not
    /// numeric.
    [[nodiscard]] std::vector<outgoing> on_attempt(const backend_server& server,
                                                   microseconds prefill_time,
                                                   instant now);

    /// Handles a report that an agent has sent to this entry.
    void on_report(const engine_report& report, instant now);
    /// Handles a notice that an entry has sent to this one.
    void on_notice(const attempt_notice& notice, instant now);
    void on_digest(const load_digest& digest, instant now);
    /// Handles a condition that an agent has sent to this entry.
    void on_condition(const server_condition& condition, instant now);
    void on_conditions(const condition_digest& digest, instant now);

    /// Returns what was collected for the other entries of the region, if
    /// anything, and begins a new digest.
    [[nodiscard]] std::optional<outgoing> take_digest();
    /// Returns the conditions to pass on; call it until there are none.
    [[nodiscard]] std::optional<outgoing> take_conditions();

  private:
    /// Returns true if the region has entries that do not deal with an engine.
    [[nodiscard]] bool has_other_entries() const;
    /// Returns true if this entry passes reports of the engine at `host` on to
    /// its region: it is the first that deals with it, or the ones before it
    /// have not passed any on for a while.
    [[nodiscard]] bool passes_on(const std::string& host, instant now) const;
    void collect(const attempt_notice& notice);
    void drop_old_notices(instant now);
    /// Returns true if the notice is one of this entry, once for each.
    [[nodiscard]] bool is_own(const attempt_notice& notice, instant now);
    void apply(const engine_report& report, instant now);
    void apply(const attempt_notice& notice, instant now);
    void apply(const server_condition& condition, instant now);
    [[nodiscard]] std::vector<const site_entry*>
    without_self(std::vector<const site_entry*> entries) const;

    std::string self_;
    std::string region_;
    const entry_duties& duties_;
    const backend_registry& servers_;
    backend_load& load_;
    load_digest digest_;
    condition_digest conditions_;
    /// Recent notices of this entry, which come back in digests.
    std::deque<std::pair<instant, attempt_notice>> own_notices_;
    /// Last time at which another entry passed on a report, by the host of the
    /// engine; engines with which this entry deals.
    absl::flat_hash_map<std::string, instant> passed_on_at_;
};

/// Returns the address of the engine that a notice names.
[[nodiscard]] address engine_of(const attempt_notice& notice);

} // namespace ospreystage
