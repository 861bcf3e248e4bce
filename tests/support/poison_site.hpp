#pragma once

#include <ospreystage/serving/prompt_quarantine.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <variant>
#include <vector>

namespace ospreystage::testing {

/// No request has a part that crashes engines.
struct no_poison {};
/// All poisoned requests have the same part that crashes engines.
struct one_poisoned_part {};
/// Each poisoned request has a part of its own that crashes engines.
struct new_poisoned_parts {};
/// All poisoned requests are the same, which ends plain servers; requests show
/// only that they are answered or cut, not that they have begun.
struct one_whole_request {};

/// What the poisoned requests of a `poison_site` have in common.
using poison = std::variant<no_poison, one_poisoned_part, new_poisoned_parts,
                            one_whole_request>;

/// Simulates entries that send requests to engines which crash as they begin
/// an answer on a poisoned part, in virtual time: datagrams are delayed and
/// lost, entries restart and join, and engines end for other reasons too.
class poison_site {
  public:
    struct options {
        int entries = 8;
        int engines = 12;
        /// Engines keep their ids when they start again.
        bool keeps_ids = false;
        /// Longest time until an entry knows of an engine's new start.
        milliseconds max_start_lag{0};
        std::size_t slots = 8; ///< Answers that an engine writes at a time.
        double sound_per_second = 60; ///< At all entries together.
        /// First parts of sound requests, and those of the parts after it.
        int first_parts = 60;
        int second_parts = 400;
        int third_parts = 2000;
        /// Sound requests that also have a part which no other request has.
        double unique_share = 0.3;
        poison attack = one_poisoned_part{};
        double poisoned_per_second = 2; ///< At all entries together.
        int burst = 1; ///< Poisoned requests that come within `burst_time`.
        milliseconds poisoned_from{8000};
        milliseconds poisoned_until{1'000'000};
        milliseconds recovery{3000}; ///< Mean time until an engine is back.
        double loss = 0;             ///< Part of the datagrams.
        milliseconds max_delay{3};   ///< Of datagrams; the least is 1 ms.
        int restarts = 0;            ///< Of entries, which forget everything.
        int joins = 0;               ///< Entries that start during the run.
        /// All entries restart at this time, and know only what the store has.
        std::optional<milliseconds> restart_all_at;
        /// The store answers no calls in this time.
        milliseconds store_away_from{0};
        milliseconds store_away_until{0};
        /// Whole requests: sound ones that come again and again, and their
        /// share; the others come once.
        int repeated_requests = 20;
        double repeated_share = 0.3;
        double single_crashes_per_second = 0; ///< For no reason in a prompt.
        int mass_crashes = 0;
        double mass_share = 0.7; ///< Engines that end in one mass crash.
        /// Time within which unrelated crashes happen.
        milliseconds crashes_until{1'000'000};
        /// Time after the fifth crash (whole requests: the third) from which
        /// poisoned requests are counted.
        milliseconds contact{3000};
        milliseconds duration{45'000};
        std::uint64_t seed = 1;
    };

    struct result {
        std::size_t crashes = 0; ///< Due to poisoned requests.
        std::size_t unrelated_crashes = 0;
        /// Fifth or third crash, since the attack began.
        std::optional<milliseconds> bounding_crash;
        /// Poisoned requests and repeats that reached engines later than
        /// `contact` after the fifth crash, from entries that had run for
        /// `contact`.
        std::size_t late_arrivals = 0;
        /// From the fifth crash to the last such arrival.
        milliseconds last_arrival{0};
        /// The same from entries that had started less than `contact` before.
        std::size_t late_from_started = 0;
        std::size_t probes = 0; ///< Poisoned requests let through.
        /// Sound requests with a first part of poisoned ones that began at the
        /// first attempt: before the attack, and from 2 x `contact` after the
        /// fifth crash.
        double served_before = 0;
        double served_after = 0;
        std::size_t sound_before = 0; ///< Number of these requests.
        std::size_t sound_after = 0;
        std::size_t refused_sound = 0; ///< As their parts were quarantined.
        /// Sound parts that an entry has in quarantine at the end although
        /// enough requests with them came for a probe.
        std::size_t blamed_at_end = 0;
        std::size_t max_size = 0; ///< Of the quarantine of one entry.
        std::size_t datagrams = 0;
        double datagrams_per_second = 0;
        std::size_t max_datagrams = 0; ///< In one second.
    };

    explicit poison_site(const options& configuration);
    ~poison_site();
    poison_site(const poison_site&) = delete;
    poison_site& operator=(const poison_site&) = delete;

    [[nodiscard]] result run();

  private:
    struct entry_state {
        std::unique_ptr<prompt_quarantine> quarantine;
        std::uint64_t life = 0; ///< Counts the processes of this entry.
        bool is_running = false;
        instant began{};
        std::vector<std::size_t> listed; ///< Entries that this one knows.
        bool has_read_store = false;
    };
    struct engine_state {
        bool is_up = true;
        std::uint64_t life = 0;
        std::vector<instant> starts; ///< Of each life.
        std::vector<std::uint64_t> running;
        std::deque<std::uint64_t> waiting;
    };
    struct request_state {
        std::vector<prompt_part> parts; ///< With the identity, if any.
        std::optional<prompt_part> identity;
        bool is_suspect = false;
        bool is_poisoned = false;
        bool is_probe = false;
        std::size_t entry = 0;
        std::uint64_t entry_life = 0;
        int attempts = 0;
        std::size_t engine = 0;
        std::int64_t engine_started_unix_ms = 0; ///< As known when sent.
        instant sent{};
        std::optional<instant> begun;
        std::optional<std::size_t> sample; ///< Of a sound request.
    };
    /// A sound request, for the share that is served.
    struct sound_sample {
        instant at{};
        prompt_part first = 0;
        bool is_served = false; ///< Began at the first attempt.
    };
    struct poisoned_arrival {
        instant at{};
        instant entry_began{}; ///< Start of the entry that sent it.
    };
    struct event {
        instant at{};
        std::uint64_t number = 0;
        std::function<void()> run;
    };
    struct is_later {
        bool operator()(const event& left, const event& right) const {
            return left.at != right.at ? left.at > right.at
                                       : left.number > right.number;
        }
    };

    void after(std::chrono::nanoseconds delay, std::function<void()> work);
    [[nodiscard]] double draw();
    [[nodiscard]] std::size_t draw_index(std::size_t count);
    [[nodiscard]] microseconds draw_time(microseconds least,
                                         microseconds longest);
    [[nodiscard]] microseconds gap(double per_second);
    [[nodiscard]] prompt_part draw_part(std::uint64_t group, int count);

    void start_entry(std::size_t index);
    void list_entry(std::size_t index, bool is_listed);
    void restart_entry(std::size_t index);
    [[nodiscard]] bool is_prober(std::size_t index, prompt_part part) const;
    void send_report(std::size_t index, std::uint64_t life);
    void send_summary(std::size_t index, std::uint64_t life);
    void sync_store(std::size_t index, std::uint64_t life);
    [[nodiscard]] bool is_store_away() const;
    void send_datagram(std::size_t to,
                       std::shared_ptr<const prompt_report> report);

    void next_sound();
    void next_poisoned();
    void on_poisoned();
    [[nodiscard]] bool attacks_with_whole_request() const;
    [[nodiscard]] prompt_part sound_identity();
    [[nodiscard]] std::vector<prompt_part> sound_prompt();
    [[nodiscard]] std::vector<prompt_part> poisoned_prompt();
    void on_request(request_state request);
    void place(std::uint64_t id);
    [[nodiscard]] bool is_refused(const request_state& request) const;
    [[nodiscard]] bool is_entry_alive(const request_state& request) const;
    void withdraw_refused();

    [[nodiscard]] std::optional<std::size_t> choose_engine();
    void fill_slots(std::size_t index);
    void begin(std::uint64_t id);
    void finish(std::uint64_t id, std::size_t index, std::uint64_t life);
    void crash(std::size_t index);
    void list_start(std::size_t entry, std::uint64_t ended);
    [[nodiscard]] std::int64_t known_start(std::size_t index);
    [[nodiscard]] crash_context context_of(const request_state& request) const;
    [[nodiscard]] std::uint64_t engine_id(std::size_t index,
                                          std::uint64_t life) const;
    void on_cut(std::uint64_t id, std::size_t index, std::uint64_t life,
                bool is_suspect);
    void plan_unrelated_crashes();
    void next_single_crash();

    [[nodiscard]] result count() const;
    [[nodiscard]] std::optional<instant> bounding_crash() const;
    void count_arrivals(result& counted) const;
    void count_served(result& counted) const;
    [[nodiscard]] std::size_t count_blamed() const;

    options options_;
    std::mt19937_64 random_;
    std::mt19937_64 list_random_; ///< Delays of the list of servers.
    instant now_{seconds(10'000)};
    instant started_{now_};
    std::priority_queue<event, std::vector<event>, is_later> events_;
    std::uint64_t next_event_ = 0;
    std::vector<entry_state> entries_;
    std::set<std::size_t> listed_;
    std::vector<engine_state> engines_;
    std::map<std::uint64_t, request_state> requests_;
    std::uint64_t next_request_ = 1;
    std::uint64_t next_unique_ = 1;
    prompt_part poisoned_first_ = 0;
    std::vector<sound_sample> samples_;
    /// Times of the sound requests with each part that others have too.
    std::map<prompt_part, std::vector<instant>> traffic_;
    std::vector<poisoned_arrival> poisoned_arrivals_;
    std::vector<instant> poisoned_crashes_;
    instant last_crash_{};
    std::map<prompt_part, std::uint32_t> stored_;   ///< Probes by part.
    std::map<std::int64_t, std::size_t> datagrams_; ///< By the second.
    result counted_;
};

} // namespace ospreystage::testing
