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

/// Starts the attempt of `order` at the back end.
struct start_attempt {
    run_order order;
    milliseconds deadline{}; ///< Time until the deadline.
};

/// Cancels an attempt that is running at the back end.
struct cancel_attempt {
    attempt_id attempt;
};

/// Sends `body` on the latest connection of an incarnation of an entry.
///
/// The message is dropped if that incarnation has no connection.
struct send_to_entry {
    process_id entry;
    message body;
};

/// An effect that the scheduler requests from the attempt service.
using scheduler_action =
    std::variant<start_attempt, cancel_attempt, send_to_entry>;

/// Effects in the order in which they must happen.
using scheduler_actions = std::vector<scheduler_action>;

/// The service that the agent currently serves.
struct scheduled_service {
    std::string name;
    bool engine = true;           ///< False for a plain service.
    std::vector<digest> versions; ///< Versions that the engine may be asked
                                  ///< for; ignored for plain services.
    bool in_force = false;        ///< The document assigns this VM to it.
};

/// Schedules attempts on the back end of an agent and records their history.
///
/// The class does no I/O, reads no clock and starts no thread. A refused
/// attempt is sealed: later messages cannot start it. A started attempt is
/// reported to its entry on each reconnect until its record is pruned.
class attempt_scheduler {
  public:
    using action = scheduler_action;
    using actions = scheduler_actions;

    /// Result of a new connection of an entry.
    struct link_result {
        std::vector<attempt_id> started; ///< For `hello_reply`.
        /// Actions to perform after `hello_reply` was sent. Answers that the
        /// entry may have missed are resent from their first part.
        actions actions_after_hello;
    };

    // ---- Construction ------------------------------------------------------

    /// Reads the capacity and the queue limit from `configuration`.
    attempt_scheduler(process_id self, const settings& configuration);

    // ---- Observers ---------------------------------------------------------

    /// Returns the number of attempts that run at the back end.
    [[nodiscard]] std::uint32_t running() const noexcept;

    /// Returns the number of queued attempts.
    [[nodiscard]] std::uint32_t queued() const noexcept;

    /// Returns true if no attempt is running or queued.
    [[nodiscard]] bool idle() const noexcept;

    /// Returns true if new attempts are refused, see `set_leaving`.
    [[nodiscard]] bool is_leaving() const noexcept;

    /// Returns true if a queued or running attempt needs `version`.
    [[nodiscard]] bool is_version_in_use(const digest& version) const;

    /// Returns attempts, entries and counters for the state dump.
    [[nodiscard]] nlohmann::json dump() const;

    // ---- Inputs: service ---------------------------------------------------

    /// Replaces the service. Queued attempts whose service or version is no
    /// longer served are refused; running attempts continue.
    [[nodiscard]] actions set_service(scheduled_service service, instant now);

    /// Refuses new attempts; queued and running attempts continue to their end.
    void set_leaving();

    // ---- Inputs: entries ---------------------------------------------------

    /// Queues, starts or refuses the attempt of an order. An order for a known
    /// attempt has no effect, except that a sealed attempt is refused again.
    [[nodiscard]] actions on_run_order(const process_id& entry,
                                       std::uint64_t epoch,
                                       const run_order& order, instant now);

    /// Prevents an attempt from starting; replies `seal_failed` if it has
    /// already started.
    [[nodiscard]] actions on_seal_order(const process_id& entry,
                                        const seal_order& order, instant now);

    /// Cancels an idempotent attempt, or seals one that has not started. A
    /// non-idempotent attempt that runs continues to its end.
    [[nodiscard]] actions on_cancel_order(const process_id& entry,
                                          const cancel_order& order,
                                          instant now);

    /// Handles a new connection of an entry, while `hello_reply` is built.
    ///
    /// Attempts of earlier epochs that have not started are sealed. Running
    /// idempotent attempts are cancelled, since the entry retries them at
    /// other agents.
    [[nodiscard]] link_result on_link_up(const process_id& entry,
                                         std::uint64_t epoch, instant now);

    /// Handles the end of the entry's connection of `epoch`.
    [[nodiscard]] actions on_link_down(const process_id& entry,
                                       std::uint64_t epoch, instant now);

    // ---- Inputs: back end --------------------------------------------------

    /// Handles the head of an answer. The attempt fails if an engine answers
    /// with a version other than the ordered one.
    [[nodiscard]] actions on_begin(const attempt_id& attempt,
                                   std::uint16_t status,
                                   const std::string& content_type,
                                   const digest& version, instant now);

    /// Forwards a part of an answer; `data` is one event of a stream or a
    /// piece of another body.
    [[nodiscard]] actions on_part(const attempt_id& attempt, std::string data,
                                  instant now);

    /// Handles the end of a complete answer.
    [[nodiscard]] actions on_end(const attempt_id& attempt, instant now);

    /// Handles a failed call. `reached` is false if the back end certainly did
    /// not run the attempt, for example because the connection was refused;
    /// the attempt is then sealed.
    [[nodiscard]] actions on_failed(const attempt_id& attempt, bool reached,
                                    const std::string& detail, instant now);

    // ---- Inputs: time ------------------------------------------------------

    /// Enforces deadlines and prunes expired records; called every 20 ms.
    [[nodiscard]] actions tick(instant now);

  private:
    enum class phase : std::uint8_t { queued, running, ended, sealed };

    /// An attempt that is known to this agent.
    struct attempt_record {
        phase state = phase::sealed;
        run_order order;
        std::uint64_t epoch = 0; ///< Epoch of the connection of the order.
        instant deadline{};
        instant prune_at{};
        bool has_begun = false;
        bool is_answer_retained = false; ///< `answer` has every frame so far.
        std::vector<message> answer;
        std::size_t answer_bytes = 0;
        std::uint32_t part_count = 0;
    };

    /// Latest connection of an entry.
    struct entry_record {
        process_id entry;
        std::uint64_t epoch = 0;
        /// Highest sequence of a pruned attempt. Orders for unknown attempts up
        /// to it are refused, since the attempt may have run before.
        std::uint64_t pruned_up_to = 0;
    };

    /// Sort key of the queue: descending priority, then order of arrival.
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
