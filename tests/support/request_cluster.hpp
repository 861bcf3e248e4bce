#pragma once

#include <ospreystage/requests/attempt_scheduler.hpp>
#include <ospreystage/requests/broker.hpp>
#include <ospreystage/requests/claim_table.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace ospreystage::support {

/// Average number of faults of each kind in 1000 steps of a schedule.
struct request_faults {
    std::uint32_t link_breaks = 0;
    std::uint32_t agent_restarts = 0;
    std::uint32_t entry_restarts = 0;
    std::uint32_t witness_restarts = 0;
    std::uint32_t claim_drops = 0; ///< A queue to or from a witness is emptied.
    std::uint32_t back_end_failures = 0;
    std::uint32_t wrong_versions = 0;
    std::uint32_t version_changes = 0;
    std::uint32_t pauses = 0; ///< An agent or an entry pauses for `pause_time`.
    std::uint32_t time_jumps =
        0; ///< The clock advances by `time_jump` at once.
};

/// Result of a schedule.
struct request_report {
    std::vector<std::string> violations;
    std::uint64_t begun = 0;
    std::uint64_t answered = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    std::uint64_t lost_with_entry = 0;
    std::uint64_t runs = 0;       ///< Attempts that a back end started.
    std::uint64_t keyed_runs = 0; ///< Those of non-idempotent requests.
};

/// Simulates brokers, attempt schedulers and claim tables that are connected
/// by queues instead of connections.
///
/// A schedule picks the next delivery, back-end event, request or fault at
/// random from its seed. It checks that each request has one outcome, that a
/// request reported as `not-run` has not run and never does, that a key runs
/// at most once, and that answers are complete and from one version.
class request_cluster {
  public:
    request_cluster(std::uint64_t seed, request_faults faults);

    /// Runs `steps` random steps, then runs without faults until all requests
    /// have had time to end.
    [[nodiscard]] request_report run(std::uint32_t steps);

  private:
    struct back_end_run {
        run_order order;
        digest version; ///< Version that answers; may be the wrong one.
        bool begun = false;
        std::uint32_t next_token = 0;
    };
    struct agent_node {
        process_id id;
        bool engine = true;
        std::vector<digest> versions;
        std::unique_ptr<attempt_scheduler> value;
        std::map<attempt_id, back_end_run> runs;
        /// Highest incarnation and epoch of an accepted `hello`, per entry.
        std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
            latest_hello;
        instant paused_until{};
    };
    struct entry_node {
        process_id id;
        std::unique_ptr<broker> value;
        std::map<std::string, std::uint64_t> epochs;
        instant paused_until{};
    };
    struct witness_node {
        process_id id;
        std::unique_ptr<claim_table> value;
    };
    struct connection {
        std::size_t entry = 0;
        std::size_t agent = 0;
        process_id entry_id;
        process_id agent_id;
        std::uint64_t epoch = 0;
        bool entry_open = true;
        bool established = false;    ///< The entry received `hello_reply`.
        bool hello_accepted = false; ///< The agent accepted `hello`.
        bool agent_closed = false;
        std::deque<message> to_agent;
        std::deque<message> to_entry;
    };
    struct claim_frame {
        process_id from;
        message body;
    };
    struct caller_request {
        incoming_request incoming;
        bool ended = false;
        bool ran = false;
        bool reported_not_run = false;
        std::string text;
        digest version;
        instant begun_at{};
    };
    using request_key = std::pair<process_id, request_id>;

    [[nodiscard]] std::size_t random_index(std::size_t count);
    [[nodiscard]] bool happens(std::uint32_t per_thousand);
    void report_violation(const std::string& text);

    void start_entry(std::size_t index);
    void start_agent(std::size_t index);
    void start_witness(std::size_t index);
    void update_service(agent_node& agent);

    void step();
    void inject_faults();
    void begin_request();
    void break_link(connection& link);
    void deliver_to_agent();
    void deliver_to_entry();
    void deliver_claims();
    void advance_back_end();
    void report_loads();
    void tick();
    void drain();

    void accept_hello(connection& link, const hello& greeting);
    void handle_at_agent(connection& link, const message& body);
    void handle_at_witness(std::size_t index, std::size_t sender,
                           const claim_frame& frame);
    void send_claim_frame(std::size_t from, std::size_t to, message body);
    [[nodiscard]] const process_id& id_of(std::size_t index) const;
    void apply_at_entry(std::size_t entry, const broker::actions& actions);
    void apply_at_agent(std::size_t agent,
                        const attempt_scheduler::actions& actions);
    void send_frame_to_entry(std::size_t agent, const send_to_entry& send);
    void apply_send(std::size_t entry, const send_action& send);
    void record_attempt(std::size_t entry, const attempt_id& attempt);
    void open_link(std::size_t entry, const std::string& agent);
    void start_run(std::size_t agent, const run_order& order);
    void end_request(std::size_t entry, request_id request,
                     const std::optional<refuse_action>& refusal);
    [[nodiscard]] connection* find_link(std::size_t entry,
                                        const std::string& agent);

    std::mt19937_64 random_;
    request_faults faults_;
    instant now_;
    instant last_tick_{};
    settings configuration_;
    std::shared_ptr<const rollout_document> document_;
    std::vector<entry_node> entries_;
    std::vector<agent_node> agents_;
    std::vector<witness_node> witnesses_;
    std::deque<connection> links_;
    /// Queues by sender and receiver index; witnesses are numbered after the
    /// entries.
    std::map<std::pair<std::size_t, std::size_t>, std::deque<claim_frame>>
        claim_queues_;
    std::map<request_key, caller_request> requests_;
    std::map<attempt_id, request_key> attempts_;
    std::map<claim_key, std::set<attempt_id>> keyed_runs_;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_incarnation_ = 1;
    bool faults_disabled_ = false;
    request_report report_;
};

} // namespace ospreystage::support
