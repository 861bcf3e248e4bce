#pragma once

#include <ospreystage/serving/demand_picture.hpp>

#include <absl/container/flat_hash_map.h>

#include <array>
#include <cstdint>
#include <random>
#include <tuple>
#include <variant>
#include <vector>

namespace ospreystage {

/// Returns the level up to which each demand is met if `capacity` is shared
/// max-min among them; infinity if it suffices for all.
[[nodiscard]] double max_min_level(std::vector<double> demands,
                                   double capacity);

/// Room for one request at the servers of a service.
enum class server_room : std::uint8_t {
    none,  ///< No server can take it in time.
    tight, ///< A server can, but only as one of the last.
    spare, ///< A server can take it well within its time.
};

/// What decided a verdict, in units a second.
struct share_figures {
    double received = 0; ///< Demand of the organisation.
    double served = 0;
    double share = 0; ///< What the organisation may have now.
    double capacity = 0;
    std::size_t entries = 0; ///< Entries that the figures are collected from.
    milliseconds age{};      ///< Of the oldest figure.
};

struct share_admitted {
    bool is_within_share = false; ///< False: it uses what others leave.
};
struct share_refused {
    bool is_over_share = false; ///< False: no server has room.
    share_figures figures;
};
using share_verdict = std::variant<share_admitted, share_refused>;

/// Decides which requests get the capacity of a service under shortage.
///
/// Designed for organisations whose demand reaches a service through hundreds
/// of entries. All entries compute the same max-min shares from the shared
/// demand, and each admits the same fraction of an organisation's requests, so
/// the share does not depend on which entries or how many connections its
/// callers use, nor on how often they retry. Within a share the more urgent
/// ranks come first. Requests over a share are admitted only into spare room,
/// which leaves the rest to those that are within theirs without idle servers.
class fair_shares {
  public:
    struct options {
        /// Part of the capacity that is given out as shares. With 0.97 queues
        /// stay long and requests within a share find no room. The rest is
        /// admitted into spare room, by which a capacity that has risen shows.
        double shared_part = 0.95;
        /// Part of a share that all ranks have equally, so that none starves.
        double common_part = 0.1;
        /// Time over which differences between share and service are balanced,
        /// about the delay of the demand's figures. With 2 s the largest
        /// organisation stayed 5 % below its share in the simulation.
        milliseconds balance_time{1000};
        /// Time over which the measured capacity is averaged.
        milliseconds capacity_time{2000};
    };

    fair_shares(const options& limits, std::uint64_t seed);

    /// Computes the shares of a service; called a few times a second.
    void update(std::uint64_t service, const service_demand& demand,
                instant now);

    /// Decides about a request.
    [[nodiscard]] share_verdict decide(const demand_request& request,
                                       server_room room, instant now);

    [[nodiscard]] share_figures figures(std::uint64_t service,
                                        std::uint64_t organisation,
                                        instant now) const;

    /// Returns the units a second that this entry is expected to admit of an
    /// organisation.
    [[nodiscard]] double own_rate(std::uint64_t service,
                                  std::uint64_t organisation) const;

  private:
    struct organisation_record {
        organisation_demand demand;
        double allowance = 0; ///< Units a second to admit.
        double deficit = 0;   ///< Units that it got less than its share.
        /// Part of the requests of each rank that is admitted.
        std::array<double, demand_ranks> fractions{};
    };
    struct service_record {
        instant updated_at{};
        double capacity = 0;
        std::size_t entries = 0;
        milliseconds oldest_age{};
        absl::flat_hash_map<std::uint64_t, organisation_record> organisations;
    };

    void set_fractions(organisation_record& record) const;
    [[nodiscard]] const organisation_record*
    find(std::uint64_t service, std::uint64_t organisation) const;

    options limits_;
    std::mt19937_64 random_;
    absl::flat_hash_map<std::uint64_t, service_record> services_;
    /// Part of a request that each rank of an organisation is still owed.
    absl::flat_hash_map<std::tuple<std::uint64_t, std::uint64_t, std::uint32_t>,
                        double>
        credits_;
};

} // namespace ospreystage
