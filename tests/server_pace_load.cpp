#include <ospreystage/serving/backend_load.hpp>
#include <ospreystage/serving/condition_reporter.hpp>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace ospreystage;

namespace {

constexpr milliseconds tick{10};
constexpr milliseconds report_interval{80};
constexpr milliseconds run_time{20'000};
constexpr std::size_t engine_count = 60;
constexpr std::size_t slot_count = 16;
constexpr std::size_t slow_engines = 10;
/// The use of slow engines is measured from then on: their first answers take
/// several seconds.
constexpr milliseconds use_from{8000};
/// Share of the time with noise, and how much longer work takes then.
constexpr double noise_share = 0.15;
constexpr double noise_factor = 2.5;
/// Engines that are slow for a part of the run only.
constexpr std::size_t changing_engines = 5;
constexpr milliseconds slow_from{3000};
constexpr milliseconds slow_until{7000};
/// Time after which a recovered engine has to be back at its share.
constexpr milliseconds recovery_time{3000};

engine_profile make_engine() {
    engine_profile engine;
    engine.slots = 16;
    engine.step_ms = 9.27;
    engine.step_ms_per_request = 0.0232;
    engine.step_ms_per_k_context = 0.0322;
    engine.prefill_tokens_per_s = 20'700;
    engine.prefill_ms_per_m_pairs = 1.18;
    engine.steps_per_pass = 5;
    engine.typical_prompt_tokens = 979;
    engine.typical_answer_tokens = 92;
    engine.layers = 16;
    engine.models = {"m"};
    return engine;
}

/// What the entries of a run know and expect.
struct run_options {
    std::size_t entries = 8;
    double per_s = 0;
    bool states_pace = true; ///< False: the code as it was, factor 1.
    bool states_recovery = true;
    milliseconds time_limit{10'000};
    milliseconds target_latency{2000};
    backend_load::options load{};
};

struct run_result {
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::size_t past_limit = 0;
    std::size_t late = 0; ///< First event after the target latency.
    /// Answers of the slow engines in relation to the usual ones that they have
    /// the capacity for; short answers count as whole ones.
    double slow_answers = 0;
    /// Part of the slots of the slow engines that is in use.
    double slow_use = 0;
    /// Requests that recovered engines got, in relation to the others.
    double recovered_share = 0;
};

/// Simulates entries and engines that prefill one prompt after the other and
/// decode those in their slots, without a network.
class pace_simulation {
  public:
    explicit pace_simulation(const run_options& options)
        : options_(options), engines_(engine_count), servers_(engine_count) {
        service_.name = "llm";
        service_.engine = make_engine();
        for (std::size_t number = 0; number < engine_count; ++number) {
            backend_server& server = servers_[number];
            server.id = fmt::format("i-{}", number);
            server.service = service_.name;
            server.slots = service_.engine->slots;
            server.layers = {{0, 16, 1}};
            pointers_.push_back(&server);
            engines_[number].reporter.emplace(address{server.id, 1});
            // Three to seven times slower, in equal steps.
            if (number < slow_engines)
                engines_[number].slow_factor =
                    3 + 4.0 * static_cast<double>(number) / (slow_engines - 1);
            else if (number < slow_engines + changing_engines)
                engines_[number].slow_factor = 5;
        }
        for (std::size_t seed = 1; seed <= options.entries; ++seed)
            entries_.push_back(
                std::make_unique<backend_load>(options.load, seed));
    }

    run_result run() {
        double due = 0;
        for (elapsed_ = milliseconds(0); elapsed_ < run_time;
             elapsed_ += tick) {
            now_ = begin_ + elapsed_;
            if (elapsed_ % report_interval == milliseconds(0))
                report();
            due += options_.per_s * std::chrono::duration<double>(tick).count();
            for (std::poisson_distribution<int> count(due); due > 0; due = 0)
                for (int arriving = count(random_); arriving > 0; --arriving)
                    place();
            for (std::size_t number = 0; number < engine_count; ++number)
                work(number);
        }
        finish();
        return result_;
    }

    /// Returns the requests a second that an engine of the usual pace answers.
    [[nodiscard]] static double capacity() {
        return 1000 / std::max(prefill_ms, answer_ms() / 16);
    }

  private:
    static constexpr double prefill_ms = 47.9;
    static constexpr double pass_ms = 48.5;
    static constexpr double mean_tokens = 92;
    static constexpr double tokens_per_pass = 5;

    /// Time for which an answer holds its slot while the others are prefilled.
    static double answer_ms() {
        return mean_tokens / tokens_per_pass * pass_ms + 16 * prefill_ms;
    }

    struct running_request {
        std::size_t entry = 0;
        instant arrived{};
        attempt_pace pace;
        double prefill_left = prefill_ms;
        double passes_left = 0;
        double pass_progress = 0;
        bool has_begun = false;
    };
    struct engine {
        double slow_factor = 1;
        instant noise_until{};
        std::optional<condition_reporter> reporter;
        std::vector<running_request> requests; ///< First those in slots.
        /// Slots in use at each tick since `use_from`, added up.
        std::size_t slots_used = 0;
        std::size_t answers = 0; ///< Since `use_from`.
        std::size_t got_after_recovery = 0;
    };

    [[nodiscard]] bool is_slow(std::size_t number) const {
        if (number < slow_engines)
            return true;
        return number < slow_engines + changing_engines &&
               elapsed_ >= slow_from && elapsed_ < slow_until;
    }

    /// Draws bursts of 100 to 500 ms for 15 % of the time.
    double factor(std::size_t number) {
        engine& server = engines_[number];
        const double base = is_slow(number) ? server.slow_factor : 1;
        if (now_ < server.noise_until)
            return base * noise_factor;
        std::uniform_real_distribution<double> draw(0, 1);
        if (draw(random_) < noise_share / (1 - noise_share) * 10 / 300)
            server.noise_until =
                now_ +
                milliseconds(100 + static_cast<int>(400 * draw(random_)));
        return base;
    }

    void report() {
        for (std::size_t number = 0; number < engine_count; ++number) {
            engine& server = engines_[number];
            const auto held =
                static_cast<std::uint32_t>(server.requests.size());
            const engine_status status{std::min(held, 16U),
                                       held - std::min(held, 16U), 1, false};
            for (auto& entry : entries_)
                entry->on_status(servers_[number].id, status, now_);
            const bool is_recovery = server.slow_factor > 1 && !is_slow(number);
            if (!options_.states_pace ||
                (is_recovery && !options_.states_recovery))
                continue;
            const auto condition =
                server.reporter->on_report({factor(number), 1, 0}, now_);
            if (!condition)
                continue;
            for (auto& entry : entries_)
                entry->pace().on_condition(servers_[number].start(),
                                           condition->pace_percent / 100.0,
                                           std::nullopt, now_);
        }
    }

    void place() {
        std::exponential_distribution<double> answer(1 / mean_tokens);
        const double tokens = std::clamp(answer(random_), 1.0, 300.0);
        placement_request request;
        request.service = &service_;
        request.prompt_tokens = 979;
        request.target_latency = options_.target_latency;
        request.target_gap = milliseconds(1500);
        request.time_left = options_.time_limit;
        // Callers state the next power of two.
        request.max_answer_tokens =
            1U << static_cast<unsigned>(std::ceil(std::log2(tokens)));
        const std::size_t entry = random_() % entries_.size();
        ++result_.requests;
        const auto decision = entries_[entry]->place(
            request, pointers_, static_cast<std::uint32_t>(entries_.size()),
            now_);
        const auto* chosen = std::get_if<placement>(&decision);
        if (chosen == nullptr) {
            ++result_.refused;
            return;
        }
        const std::size_t number = std::stoul(chosen->server.substr(2));
        for (std::size_t other = 0; other < entries_.size(); ++other)
            if (other == entry)
                entries_[other]->on_sent(chosen->server, chosen->prefill_time,
                                         now_);
            else
                entries_[other]->on_sent_by_peer(chosen->server,
                                                 chosen->prefill_time, now_);
        running_request added{entry, now_,
                              attempt_pace{servers_[number].start(), now_,
                                           chosen->usual_first_event,
                                           chosen->usual_gap}};
        added.passes_left = std::ceil(tokens / tokens_per_pass);
        engines_[number].requests.push_back(added);
        if (elapsed_ >= slow_until + recovery_time)
            ++engines_[number].got_after_recovery;
    }

    /// Lets an engine work for a tick: prefill comes before the next pass.
    void work(std::size_t number) {
        engine& server = engines_[number];
        double left = static_cast<double>(tick.count()) / factor(number);
        const std::size_t in_slots =
            std::min(slot_count, server.requests.size());
        if (elapsed_ >= use_from)
            server.slots_used += in_slots;
        for (std::size_t index = 0; index < in_slots; ++index) {
            running_request& item = server.requests[index];
            const double done = std::min(left, item.prefill_left);
            item.prefill_left -= done;
            left -= done;
        }
        for (std::size_t index = 0; index < in_slots; ++index) {
            running_request& item = server.requests[index];
            if (item.prefill_left > 0)
                continue;
            item.pass_progress += left;
            if (item.pass_progress < pass_ms)
                continue;
            item.pass_progress -= pass_ms;
            item.passes_left -= 1;
            if (!std::exchange(item.has_begun, true) &&
                now_ - item.arrived > options_.target_latency)
                ++result_.late;
            if (options_.states_pace)
                entries_[item.entry]->pace().on_event(item.pace, now_);
        }
        std::erase_if(server.requests, [&](const running_request& item) {
            const bool is_past = now_ - item.arrived > options_.time_limit;
            const bool is_complete = item.passes_left <= 0;
            if (!is_complete && !is_past)
                return false;
            result_.past_limit += is_complete ? 0 : 1;
            server.answers += is_complete && elapsed_ >= use_from ? 1 : 0;
            entries_[item.entry]->on_ended(servers_[number].id,
                                           is_complete
                                               ? attempt_result::answered
                                               : attempt_result::cancelled,
                                           now_);
            return true;
        });
    }

    void finish() {
        std::size_t used = 0;
        double answers = 0;
        double possible = 0;
        const std::chrono::duration<double> measured = run_time - use_from;
        const double speed = 1 - noise_share + noise_share / noise_factor;
        for (std::size_t number = 0; number < slow_engines; ++number) {
            used += engines_[number].slots_used;
            answers += static_cast<double>(engines_[number].answers);
            possible += capacity() * speed * measured.count() /
                        engines_[number].slow_factor;
        }
        result_.slow_answers = answers / possible;
        result_.slow_use = static_cast<double>(used) /
                           static_cast<double>(slow_engines * slot_count *
                                               ((run_time - use_from) / tick));
        double recovered = 0;
        double others = 0;
        for (std::size_t number = slow_engines; number < engine_count; ++number)
            (number < slow_engines + changing_engines ? recovered : others) +=
                static_cast<double>(engines_[number].got_after_recovery);
        result_.recovered_share =
            recovered / changing_engines /
            (others / (engine_count - slow_engines - changing_engines));
    }

    run_options options_;
    run_result result_;
    service_description service_;
    std::vector<engine> engines_;
    std::vector<backend_server> servers_;
    std::vector<const backend_server*> pointers_;
    std::vector<std::unique_ptr<backend_load>> entries_;
    std::mt19937_64 random_{5};
    const instant begin_ = instant{} + seconds(1000);
    milliseconds elapsed_{};
    instant now_{};
};

run_result simulate(const run_options& options) {
    const run_result result = pace_simulation(options).run();
    UNSCOPED_INFO(fmt::format(
        "{} entries, {:.0f} requests/s, pace {}: {} requests, {} refused, {} "
        "past the limit, {} late, slots of slow engines in use {:.2f}, their "
        "answers {:.2f}, recovered at {:.2f}",
        options.entries, options.per_s, options.states_pace, result.requests,
        result.refused, result.past_limit, result.late, result.slow_use,
        result.slow_answers, result.recovered_share));
    return result;
}

double part(std::size_t count, const run_result& result) {
    return static_cast<double>(count) / static_cast<double>(result.requests);
}

} // namespace

// Guards against requests that fail at the caller's time limit because their
// server is slow and appears idle.
TEST_CASE("server pace load - at half load slow servers let no request fail") {
    for (const std::size_t entries : {8U, 36U, 200U}) {
        run_options options;
        options.entries = entries;
        options.per_s = pace_simulation::capacity() * 25;
        const run_result now = simulate(options);
        options.states_pace = false;
        const run_result before = simulate(options);
        CHECK(part(now.past_limit, now) < 0.001);
        CHECK(part(now.refused, now) < 0.001);
        CHECK(now.recovered_share > 0.8);
        CHECK(part(before.past_limit, before) > 0.005);
    }
}

// The same for callers that wait for 6 s and expect the first event in 0.5 s.
TEST_CASE("server pace load - at half load no request fails within 6 s") {
    for (const std::size_t entries : {8U, 36U, 200U}) {
        run_options options;
        options.entries = entries;
        options.per_s = pace_simulation::capacity() * 25;
        options.time_limit = milliseconds(6000);
        options.target_latency = milliseconds(500);
        const run_result result = simulate(options);
        CHECK(part(result.past_limit, result) < 0.001);
    }
}

// Guards against slow servers that stay idle while others are full.
TEST_CASE("server pace load - beyond the capacity slow servers are used") {
    for (const std::size_t entries : {8U, 36U, 200U}) {
        run_options options;
        options.entries = entries;
        options.per_s = pace_simulation::capacity() * 65;
        const run_result now = simulate(options);
        options.states_pace = false;
        const run_result before = simulate(options);
        CHECK(now.slow_use >= 0.7);
        // Without pace their slots are full as well, of answers too long for
        // them.
        CHECK(now.slow_answers >= 0.7);
        CHECK(before.slow_answers < 0.7);
        CHECK(part(now.past_limit, now) < part(before.past_limit, before));
    }
}

// Guards against goals that a server which stays avoided would meet as well.
TEST_CASE("server pace load - without news and trials a recovered server gets "
          "no work") {
    run_options options;
    options.per_s = pace_simulation::capacity() * 25;
    options.states_recovery = false;
    options.load.pace.statement_ttl = std::chrono::hours(1);
    options.load.pace.min_trial_interval = std::chrono::hours(1);
    options.load.pace.max_trial_interval = std::chrono::hours(1);
    CHECK(simulate(options).recovered_share < 0.8);
}
