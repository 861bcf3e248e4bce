#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/weights/chunk_bitmap.hpp>

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace ospreystage {

/// What an engine says of itself.
struct engine_state_report {
    std::uint64_t version = 0; ///< Whole version in use; 0: none.
    bool is_loading = false;   ///< An order is in progress.
    std::uint64_t orders = 0;  ///< Orders accepted since the engine's start.
    std::int64_t started_unix_ms = 0; ///< Changes with each start.
};

/// Compare what lies staged at the engine with the checked chunks.
struct check_staged {};
/// Tell the entries that the engine takes no new requests.
struct announce_switch {};
/// Stage these chunks at the engine.
struct stage_chunks {
    std::vector<std::uint32_t> indexes;
};
/// Order the engine to put the staged version into use.
struct order_switch {
    std::uint64_t version = 0;
    std::uint64_t orders_before = 0; ///< The order is void if this differs.
};

using loader_action = std::variant<std::monostate, announce_switch,
                                   check_staged, stage_chunks, order_switch>;

/// Decides when the weights at one engine are staged, checked and ordered in.
///
/// Staged chunks may turn bad or get lost with the engine's memory, so they
/// are compared right before each order; only the missing ones are staged
/// again. An engine without weights is ordered at once. One that works with an
/// older version waits for its turn, so that not all of them stop at the same
/// time.
class engine_loader {
  public:
    struct options {
        /// Age at which a comparison must be made again before an order.
        milliseconds max_check_age{600};
        /// Time between the announcement of a switch and its order, in which
        /// what the entries have sent arrives and what waits begins to run.
        milliseconds announce_lead{200};
        /// Pause after an order or a call that did not succeed.
        milliseconds retry_backoff{300};
    };

    explicit engine_loader(const options& limits) : limits_(limits) {}
    engine_loader() : engine_loader(options{}) {}

    // ---- Events ------------------------------------------------------------

    /// Sets the requested version of `chunks` chunks; an engine with another
    /// one switches at `turn`.
    void request_version(std::uint64_t version, std::uint32_t chunks,
                         instant switch_at);

    /// Every chunk of the requested version is held and checked.
    void on_held(std::uint64_t version);

    void on_report(const engine_state_report& report, instant now);

    /// The chunks that lie staged as they should.
    void on_checked(const chunk_bitmap& good, instant now);

    /// An action ended; after a failure it is tried again later.
    void on_done(bool succeeded, instant now);

    // ---- Decision ----------------------------------------------------------

    /// Returns what is to be done now; one action is under way at a time.
    [[nodiscard]] loader_action next(instant now);

    /// Returns true from the announcement of a switch until it has begun.
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
    instant checked_at_{};
    instant backoff_until_{};
    bool is_busy_ = false;
};

/// Returns when the engine of rank `rank` of `count` gives up its version.
///
/// The turns are spread from `first` to `last` after the publication.
[[nodiscard]] milliseconds switch_delay(std::size_t rank, std::size_t count,
                                        milliseconds first, milliseconds last);

} // namespace ospreystage
