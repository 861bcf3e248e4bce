#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/network/messages.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ospreystage {

/// Ranks of urgency that demand is counted by; 0 is the most urgent.
inline constexpr std::uint32_t demand_ranks = 8;

/// Returns the key of an organisation: the hash of its name, whose lowest bits
/// are free for the rank of a `demand_item`.
[[nodiscard]] std::uint64_t organisation_key(std::string_view name) noexcept;

/// Returns the units of work of a request. An answer token takes about ten
/// times as long as a prompt token.
[[nodiscard]] std::uint64_t work_units(std::uint32_t prompt_tokens,
                                       std::uint32_t answer_tokens) noexcept;

/// Returns the rank of a request. One that has waited moves from the rank of
/// its priority towards 0, which it reaches when two thirds of its time are
/// gone.
[[nodiscard]] std::uint32_t urgency_rank(std::uint32_t priority,
                                         milliseconds time_left,
                                         milliseconds time_limit) noexcept;

/// A request as demand counts it.
struct demand_request {
    std::uint64_t service = 0;      ///< `stable_hash` of the name.
    std::uint64_t organisation = 0; ///< `organisation_key` of the name.
    std::uint32_t rank = 0;
    std::uint64_t units = 0;
};

/// Demand of one organisation for one service, in units a second.
struct organisation_demand {
    std::array<double, demand_ranks> received{}; ///< By rank.
    double served = 0;
    double own_received = 0; ///< Part that this entry received.

    [[nodiscard]] double total() const noexcept;
};

/// Demand for one service at all entries that were heard of lately.
struct service_demand {
    std::map<std::uint64_t, organisation_demand> organisations;
    std::size_t entries = 1;   ///< Entries it was collected from.
    milliseconds oldest_age{}; ///< Of the oldest digest in it.
};

/// Demand by service and organisation, as the entries see it together.
///
/// Designed for demand above the capacity of a service at hundreds of entries
/// that each see a part of it. An entry's digest states its demand of the last
/// second and replaces its previous one, so a digest that is lost, repeated or
/// overtaken is never counted twice; that of an entry that has stopped or is
/// cut off ages out.
class demand_picture {
  public:
    struct options {
        /// Time over which demand is counted.
        milliseconds window{1000};
        /// Age at which another entry's digest is dropped. At two digests a
        /// second of which 30 % are lost, 1 in 120 is missed by chance.
        milliseconds max_age{2000};
        /// Items of a digest; it then fits into an IP packet.
        std::size_t max_items = 56;
        std::size_t max_entries = 1024;
        /// Digests with more units a second are invalid.
        double max_units_per_s = 1e8;
    };

    /// `first_sequence` is higher at each start of the process, such as its
    /// incarnation.
    demand_picture(const options& limits, std::string self,
                   std::uint64_t first_sequence);

    /// Sets the organisations of the configuration, by `organisation_key`.
    /// Items of others are ignored.
    void set_organisations(absl::flat_hash_set<std::uint64_t> known);

    // ---- Events ------------------------------------------------------------

    /// Records a request of this entry and whether it was sent to a server.
    void on_request(const demand_request& request, bool is_served, instant now);
    /// Returns the demand of this entry for the others.
    [[nodiscard]] demand_digest take_digest(instant now);
    /// Handles the digest of another entry.
    void on_digest(const demand_digest& digest, instant now);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] service_demand of(std::uint64_t service, instant now) const;

    /// Returns the digests that were dropped as invalid.
    [[nodiscard]] std::uint64_t invalid_digests() const noexcept {
        return invalid_digests_;
    }
    /// Returns the items of organisations that are not configured.
    [[nodiscard]] std::uint64_t unknown_items() const noexcept {
        return unknown_items_;
    }
    /// Returns the items that did not fit into a digest of this entry.
    [[nodiscard]] std::uint64_t truncated_items() const noexcept {
        return truncated_items_;
    }

  private:
    /// Service, and organisation with rank.
    using item_key = std::pair<std::uint64_t, std::uint64_t>;
    struct units {
        std::uint64_t received = 0;
        std::uint64_t served = 0;
    };
    struct bucket {
        instant began{};
        std::map<item_key, units> items;
    };
    struct peer {
        std::uint64_t sequence = 0;
        instant heard_at{};
        demand_digest digest;
    };

    [[nodiscard]] bool is_valid(const demand_digest& digest) const;
    [[nodiscard]] bool is_known(std::uint64_t organisation) const;
    [[nodiscard]] bool has_left(const bucket& part, instant now) const;
    [[nodiscard]] std::map<item_key, units> own(instant now) const;
    [[nodiscard]] milliseconds covered(instant now) const;
    static void add(service_demand& result, const demand_item& item,
                    milliseconds interval, bool is_own);

    options limits_;
    std::string self_;
    std::uint64_t sequence_ = 0;
    absl::flat_hash_set<std::uint64_t> known_;
    instant first_request_{};
    std::deque<bucket> buckets_;
    absl::flat_hash_map<std::string, peer> peers_;
    std::uint64_t invalid_digests_ = 0;
    std::uint64_t unknown_items_ = 0;
    std::uint64_t truncated_items_ = 0;
};

} // namespace ospreystage
