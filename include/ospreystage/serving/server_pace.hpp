#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/fleet/backend_registry.hpp>

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace ospreystage {

/// Where the estimate of a server's pace comes from.
enum class pace_source : std::uint8_t {
    none,
    agent,    ///< Stated in the server's report to its agent.
    answers,  ///< Stated in the heads of the server's answers.
    attempts, ///< Measured on this entry's own attempts.
};

[[nodiscard]] const char* to_string(pace_source source) noexcept;

/// Time that work takes at a server in relation to the usual one.
struct pace_estimate {
    double factor = 1; ///< 1 is usual; more is slower.
    pace_source source = pace_source::none;
    milliseconds age{}; ///< Since the source last showed it.
};

/// Progress of an attempt at an engine, compared with that of a server of the
/// usual pace.
struct attempt_pace {
    server_start server;
    instant sent_at{};
    milliseconds usual_first_event{}; ///< 0: no expectation.
    microseconds usual_gap{};         ///< Between two passes; 0: none.
    std::optional<instant> last_event{};
};

/// A server that began to count as slow, or ended doing so.
struct pace_change {
    std::string server;
    pace_estimate estimate;
    std::optional<double> stated; ///< By its agent.
    bool is_slow = false;
};

/// Estimates the pace of each start of a server.
///
/// Designed for servers that share their machines: each is several times slower
/// than usual for a fraction of a second now and then, and some are so for
/// seconds or throughout. Only what lasts counts. Statements of the server are
/// believed unless this entry's own attempts contradict them.
class server_pace {
  public:
    struct options {
        /// Time over which the agent's statements are weighed.
        milliseconds statement_window{1000};
        /// Statements older than this are ignored. Agents repeat them every
        /// two seconds while the pace is not usual.
        milliseconds statement_ttl{5000};
        /// Samples within an interval count as one.
        milliseconds interval{250};
        /// Samples older than this do not count beside newer ones.
        milliseconds memory{2000};
        /// Intervals with samples before a server is judged by them.
        std::size_t min_intervals = 3;
        /// Measured factors from which on a server counts as slow, and below
        /// which it has recovered. Engines of the usual pace were measured at
        /// up to 1.72 times the estimates.
        double slow_factor = 2;
        double recovered_factor = 1.5;
        /// Time to the first event that is no part of the server's work.
        milliseconds transfer_allowance{40};
        /// Part of the usual gap from which on a gap is one between two passes;
        /// the events of one pass arrive together.
        double min_gap_share = 0.5;
        /// A slow server without samples gets one request of each entry in
        /// this time, multiplied by the number of entries, within the bounds.
        milliseconds trial_interval{100};
        milliseconds min_trial_interval{1000};
        milliseconds max_trial_interval{20'000};
        /// Largest factor that is believed.
        double max_factor = 20;
    };

    explicit server_pace(const options& limits) : options_(limits) {}
    server_pace() : server_pace(options{}) {}

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] pace_estimate estimate(const server_start& server,
                                         instant now) const;

    /// Returns true if a request should show whether a slow server has
    /// recovered.
    [[nodiscard]] bool is_trial_due(const server_start& server,
                                    std::uint32_t entries, instant now) const;

    /// Returns the number of servers that count as slow, as of the last call
    /// of `take_changes`.
    [[nodiscard]] std::size_t slow_servers() const noexcept;

    // ---- Events ------------------------------------------------------------

    /// Records the factor that the server's agent has read. A start that was
    /// seen `started_ago` is judged anew if the entry knew it before.
    void on_condition(const server_start& server, double factor,
                      std::optional<milliseconds> started_ago, instant now);
    /// Records the factor that an answer states.
    void on_answer(const server_start& server, double factor, instant now);
    /// Records an event of the answer to an attempt of this entry.
    void on_event(attempt_pace& attempt, instant now);
    /// Records that a request was sent to show whether the server is slow.
    void on_trial(const server_start& server, instant now);
    /// Drops servers that are not listed.
    void retain(const absl::flat_hash_set<std::string>& listed);

    /// Returns the servers that have become slow or have recovered since the
    /// last call.
    [[nodiscard]] std::vector<pace_change> take_changes(instant now);

  private:
    /// Factors of one source, as the means of short intervals. Slowness that
    /// lasts shows in nearly all of them, so their lower quartile counts.
    struct sample_series {
        struct interval_mean {
            instant begin{};
            double sum = 0;
            std::uint32_t count = 0;
        };
        std::deque<interval_mean> intervals;
        std::optional<double> verdict; ///< Nothing before enough intervals.
        instant last_sample{};
    };
    struct statement {
        instant at{};
        double factor = 1;
    };
    struct pace_record {
        std::int64_t started_unix_ms = 0;
        instant since{}; ///< When the record began.
        std::deque<statement> statements;
        instant stated_at{};
        sample_series answers;
        sample_series attempts;
        /// Lasting statement under which the attempts were measured.
        double basis = 1;
        instant last_trial{};
        bool is_slow = false; ///< As last returned by `take_changes`.
    };

    [[nodiscard]] const pace_record* find(const server_start& server) const;
    [[nodiscard]] pace_record& record_of(const server_start& server,
                                         instant now);
    void add_sample(sample_series& series, double factor, instant now) const;
    void add_attempt_sample(pace_record& record, double factor,
                            instant now) const;
    [[nodiscard]] std::optional<double> lasting(const pace_record& record,
                                                instant now) const;
    [[nodiscard]] bool differs(double left, double right) const;
    [[nodiscard]] pace_estimate estimate(const pace_record& record,
                                         instant now) const;

    options options_;
    absl::flat_hash_map<std::string, pace_record> records_;
};

} // namespace ospreystage
