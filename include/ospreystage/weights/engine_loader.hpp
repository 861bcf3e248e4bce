#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/weights/chunk_bitmap.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace ospreystage {

/// State reported by an engine.
struct engine_state_report {
    std::uint64_t version = 0; ///< Complete version in use; 0: none.
    bool is_loading = false;   ///< An order is in progress.
    std::uint64_t orders = 0;  ///< Orders accepted since the engine's start.
    std::int64_t started_unix_ms = 0; ///< Changes with each start.
    bool is_leaving = false;          ///< The engine's process is about to end.
};

/// Compare the chunks staged at the engine with the verified chunks.
struct check_staged {
    /// Number of chunks to read from the engine at the same time.
    std::uint32_t parallel_reads = 1;
};
/// Announce to the entries that the engine accepts no new requests.
struct announce_switch {};
/// Stage these chunks at the engine.
struct stage_chunks {
    std::vector<std::uint32_t> indexes;
};
/// Order the engine to switch to the staged version.
struct order_switch {
    std::uint64_t version = 0;
    /// The order is void if the engine's count of orders differs.
    std::uint64_t orders_before = 0;
    /// The order is not sent later: a staged chunk may have become corrupt
    /// since it was compared.
    instant valid_until{};
};

using loader_action = std::variant<std::monostate, announce_switch,
                                   check_staged, stage_chunks, order_switch>;

/// Decides when weights are staged and compared at one engine, and when the
/// engine is ordered to switch to them.
///
/// Staged chunks may become corrupt or be lost with the engine's memory, so
/// they are compared immediately before each order; only missing chunks are
/// staged again. A comparison is as old as its first read, so that one of a
/// slow engine is repeated with more reads at the same time until all of it is
/// recent. An engine without weights is ordered to switch immediately. An
/// engine that serves an older version waits for its switch time, so that not
/// all engines stop serving at the same time.
class engine_loader {
  public:
    struct options {
        /// Maximum time from the end of a comparison to the order.
        milliseconds max_check_age{600};
        /// Maximum time from the first read of a comparison to the order. It
        /// leaves time for a call that the engine accepts late: a layer may be
        /// taken from a chunk that became corrupt at most 3 s before.
        milliseconds max_read_age{1500};
        /// Time that a comparison should take. After a longer one, more chunks
        /// are read at the same time; else one, to spare a serving engine.
        milliseconds max_check_time{750};
        std::uint32_t max_parallel_reads = 32;
        /// Time between the announcement of a switch and its order, in which
        /// requests that entries have already sent arrive and queued requests
        /// start to run.
        milliseconds announce_lead{200};
        /// Backoff after a failed order or call.
        milliseconds retry_backoff{300};
    };

    explicit engine_loader(const options& limits) : limits_(limits) {}
    engine_loader() : engine_loader(options{}) {}

    // ---- Events ------------------------------------------------------------

    /// Sets the requested version, which has `chunks` chunks; an engine that
    /// serves another version switches no earlier than `switch_at`.
    void request_version(std::uint64_t version, std::uint32_t chunks,
                         instant switch_at);

    /// Records that every chunk of `version` is held and verified.
    void on_held(std::uint64_t version);

    void on_report(const engine_state_report& report, instant now);

    /// Records that the engine has said that it is leaving. It gets no further
    /// orders; only a new start of the engine ends this.
    void on_leaving();

    /// Records that the engine wants no orders and no chunks until `end`.
    void on_pause(instant end);

    /// Records which staged chunks match the manifest, by a comparison from
    /// `began` to `ended`.
    void on_checked(const chunk_bitmap& good, instant began, instant ended);

    /// Records the end of an action; a failed action is retried after the
    /// backoff.
    void on_done(bool succeeded, instant now);

    // ---- Decision ----------------------------------------------------------

    /// Returns the next action; only one action is in progress at a time.
    [[nodiscard]] loader_action next(instant now);

    /// Returns true from the announcement of a switch until the engine begins
    /// it.
    [[nodiscard]] bool is_announced() const noexcept {
        return announced_at_.has_value();
    }
    [[nodiscard]] std::uint64_t requested() const noexcept {
        return requested_;
    }

  private:
    options limits_;
    std::uint64_t requested_ = 0;
    std::uint32_t chunks_ = 0;
    instant switch_at_{};
    std::uint64_t held_ = 0;
    std::optional<engine_state_report> report_;
    std::optional<chunk_bitmap> staged_;
    std::optional<instant> announced_at_;
    /// Until when an order may be based on the last comparison.
    instant valid_until_{};
    std::uint32_t parallel_reads_ = 1;
    instant backoff_until_{};
    instant paused_until_{};
    bool is_leaving_ = false;
    bool is_busy_ = false;
};

/// Returns the time after the publication at which the engine of rank `rank`
/// among `count` engines switches.
///
/// The delays are spread evenly from `first` to `last`.
[[nodiscard]] milliseconds switch_delay(std::size_t rank, std::size_t count,
                                        milliseconds first, milliseconds last);

} // namespace ospreystage
