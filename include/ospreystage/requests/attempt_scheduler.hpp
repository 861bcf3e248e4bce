#pragma once

#include <ospreystage/core/clock.hpp>
#include <ospreystage/core/settings.hpp>
#include <ospreystage/network/messages.hpp>

#include <absl/container/btree_map.h>
#include <absl/container/btree_set.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ospreystage {

/// Starts `order` at the back end.
struct start_attempt {
    run_order order;
    milliseconds deadline{}; ///< Time left.
};

/// Stops an attempt that runs at the back end.
struct cancel_attempt {
    attempt_id attempt;
};

/// Sends `body` on the latest connection of an entry's incarnation.
///
/// The shell drops it if that incarnation has no connection.
struct send_to_entry {
    process_id entry;
    message body;
};

/// Effect that the scheduler asks its shell for.
using scheduler_action =
    std::variant<start_attempt, cancel_attempt, send_to_entry>;

/// Effects in the order in which they must happen.
using scheduler_actions = std::vector<scheduler_action>;

/// What the agent serves at the moment.
struct scheduled_service {
    std::string name;
    bool engine = true;           ///< False: a plain service.
    std::vector<digest> versions; ///< Versions that the engine may be asked
                                  ///< for; ignored for plain services.
    bool in_force = false;        ///< The document lists this VM for it.
};

/// Admits attempts to the back end of an agent and keeps their history.
///
/// Pure: it holds no socket, clock or thread. An attempt that was refused is
/// sealed: it never starts, whatever arrives later. An attempt that started is
/// listed to its entry until its retention has passed.
class attempt_scheduler {
  public:
    using action = scheduler_action;
    using actions = scheduler_actions;

    /// Answer to a new connection of an entry.
    struct link_result {
        std::vector<attempt_id> started; ///< For `hello_reply`.
        /// Effects after the `hello_reply` was sent: answers that the entry
        /// may have missed are sent again from their first part.
        actions actions_after_hello;
    };

    // ---- Construction ------------------------------------------------------

    /// Takes capacity and queue length from `configuration`.
    attempt_scheduler(process_id self, const settings& configuration);

    // ---- Observers ---------------------------------------------------------

    [[nodiscard]] std::uint32_t running() const noexcept;
    [[nodiscard]] std::uint32_t queued() const noexcept;

    /// Returns true if nothing runs and nothing is queued.
    [[nodiscard]] bool idle() const noexcept;

    [[nodiscard]] bool is_leaving() const noexcept;

    /// Returns true if a queued or running attempt needs `version`.
    [[nodiscard]] bool is_version_in_use(const digest& version) const;

    /// Describes attempts, seals and counters for the state dump.
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs: what may be served ----------------------------------------

    /// Replaces what is served. Queued attempts whose version is gone are
    /// refused; running ones go on.
    [[nodiscard]] actions set_service(scheduled_service service, instant now);

    /// Refuses new attempts; queued and running ones go on to their end.
    void set_leaving();

    // ---- Inputs: entries ---------------------------------------------------

    [[nodiscard]] actions on_run_order(const process_id& entry,
                                       std::uint64_t epoch,
                                       const run_order& order, instant now);
    [[nodiscard]] actions on_seal_order(const process_id& entry,
                                        const seal_order& order, instant now);
    [[nodiscard]] actions on_cancel_order(const process_id& entry,
                                          const cancel_order& order,
                                          instant now);

    /// An entry opened a connection. Called while `hello_reply` is made.
    ///
    /// Every attempt of earlier epochs that has not started is sealed; running
    /// idempotent ones are cancelled, since the entry tries them elsewhere.
    [[nodiscard]] link_result on_link_up(const process_id& entry,
                                         std::uint64_t epoch, instant now);

    /// The entry's connection of `epoch` ended.
    [[nodiscard]] actions on_link_down(const process_id& entry,
                                       std::uint64_t epoch, instant now);

    // ---- Inputs: back end --------------------------------------------------

    [[nodiscard]] actions on_begin(const attempt_id& attempt,
                                   std::uint16_t status,
                                   const std::string& content_type,
                                   const digest& version, instant now);

    /// `data` is one token event of a streamed engine answer, or any bytes.
    [[nodiscard]] actions on_part(const attempt_id& attempt, std::string data,
                                  instant now);
    [[nodiscard]] actions on_end(const attempt_id& attempt, instant now);

    /// The back end failed. `reached` is false if the attempt certainly never
    /// reached it (connection refused): then the attempt is sealed.
    [[nodiscard]] actions on_failed(const attempt_id& attempt, bool reached,
                                    const std::string& detail, instant now);

    // ---- Inputs: time ------------------------------------------------------

    /// Acts on deadlines and retention that are due; call every 20 ms.
    [[nodiscard]] actions tick(instant now);

  private:
    enum class phase : std::uint8_t { queued, running, ended, sealed };

    /// One attempt that this agent has heard of.
    struct attempt_record {
        phase state = phase::sealed;
        run_order order;
        std::uint64_t epoch = 0; ///< Connection that the order came on.
        instant deadline{};
        instant prune_at{};
        bool has_begun = false;
        bool is_answer_retained = false; ///< `answer` holds every frame so far.
        std::vector<message> answer;
        std::size_t answer_bytes = 0;
        std::uint32_t part_count = 0;
    };

    /// Latest connection of an entry.
    struct entry_record {
        process_id entry;
        std::uint64_t epoch = 0;
        /// Sequences up to this one were forgotten; orders with them are void.
        std::uint64_t pruned_up_to = 0;
    };

    /// Place in the queue: higher priority first, then arrival.
    struct queue_position {
        std::uint32_t priority = 0;
        std::uint64_t arrival = 0;
        friend bool operator<(const queue_position& left,
                              const queue_position& right) noexcept {
            if (left.priority != right.priority)
                return left.priority > right.priority;
            return left.arrival < right.arrival;
        }
    };

    [[nodiscard]] std::optional<refusal>
    find_refusal(const process_id& entry, std::uint64_t epoch,
                 const run_order& order) const;
    [[nodiscard]] std::optional<refusal>
    find_service_refusal(const run_order& order) const;
    [[nodiscard]] attempt_record* find_running(const attempt_id& attempt);
    entry_record& update_entry(const process_id& entry, std::uint64_t epoch);
    void refuse(const run_order& order, refusal reason, instant now,
                actions& out);
    void seal_queued(const attempt_id& attempt, refusal reason, instant now,
                     actions& out);
    void schedule_pruning(const attempt_id& attempt, attempt_record& record,
                          instant now);
    void remove_from_queue(const attempt_id& attempt);
    void finish(const attempt_id& attempt, attempt_record& record, instant now);
    void fail_running(const attempt_id& attempt, attempt_record& record,
                      const std::string& detail, instant now, actions& out);
    void send_frame(attempt_record& record, message frame, actions& out);
    void retain_frame(attempt_record& record, const message& frame);
    void drop_answer(attempt_record& record);
    void start_queued(instant now, actions& out);
    void expire_queued(instant now, actions& out);
    void cancel_overdue(instant now, actions& out);
    void prune_history(instant now);
    void resend_answer(const attempt_id& attempt, const attempt_record& record,
                       actions& out) const;

    process_id self_;
    std::uint32_t capacity_ = 0;
    std::uint32_t queue_limit_ = 0;
    scheduled_service service_;
    bool leaving_ = false;
    absl::flat_hash_map<attempt_id, attempt_record> attempts_;
    absl::btree_map<queue_position, attempt_id> queue_;
    absl::flat_hash_set<attempt_id> running_;
    absl::btree_set<std::pair<instant, attempt_id>> pruning_schedule_;
    absl::flat_hash_map<std::string, entry_record> entries_;
    std::uint64_t arrival_count_ = 0;
    std::size_t retained_bytes_ = 0;
    std::uint64_t refused_total_ = 0;
    std::uint64_t started_total_ = 0;
};

} // namespace ospreystage
