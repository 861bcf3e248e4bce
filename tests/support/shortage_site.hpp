#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace ospreystage::support {

/// Load and rules of a simulated site whose callers ask for more than its
/// servers can do.
struct shortage_options {
    std::size_t entries = 8;
    std::size_t slots = 60; ///< Requests that the servers run concurrently.
    std::uint64_t seed = 1;
    /// Demand in relation to the capacity of the servers.
    double overload = 1.7;
    std::size_t organisations = 24;
    /// Factor by which the last organisation asks for more than its share;
    /// 0: it asks for as much as the other small ones.
    double greedy = 0;
    int warm_up_s = 5;
    int measured_s = 10;
    /// Time after the measured one, under the same load, in which its callers
    /// are still followed.
    int cool_down_s = 0;

    /// As the code was: placed or refused at once, retry after 1 to 2 s.
    bool is_former = false;

    // ---- Failures ----------------------------------------------------------

    double digest_loss = 0;
    /// Part of the servers that are gone until the measured time begins.
    double servers_gone = 0;
    bool is_half_cut_off = false;
    /// An entry is killed halfway; its callers use the next one.
    bool is_entry_killed = false;

    // ---- Faults that a test has to notice ----------------------------------

    bool has_digests = true;
    bool counts_size = true;     ///< False: each request counts one unit.
    bool reverses_ranks = false; ///< The least urgent come first.
    bool uses_spare = true;      ///< False: nothing is admitted over the share.
    bool tells_repeats = true;   ///< False: each digest is of another entry.
    bool ages_callers = true;    ///< False: a rank stays that of the priority.
    double common_part = 0.1;
};

/// What happened to the requests of one organisation or kind.
struct outcome_tally {
    std::uint64_t asked = 0; ///< Callers, not their attempts.
    std::uint64_t in_time = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    double units_asked = 0;
    double units_served = 0;

    [[nodiscard]] double served_part() const;
};

struct shortage_result {
    outcome_tally all;
    std::vector<outcome_tally> organisations;
    std::vector<outcome_tally> kinds;
    /// Of the large organisations, whose demand is above their shares.
    std::vector<outcome_tally> kinds_over_share;
    /// Units that each organisation would have been served max-min.
    std::vector<double> fair_units;
    double idle_part = 0; ///< Of the slots' time while callers wait to return.

    /// Returns the served units of each organisation in relation to max-min.
    [[nodiscard]] std::vector<double> served_to_fair() const;
};

[[nodiscard]] shortage_result
simulate_shortage(const shortage_options& options);

} // namespace ospreystage::support
