#include <ospreystage/serving/demand_picture.hpp>
#include <ospreystage/serving/fair_shares.hpp>
#include <ospreystage/serving/return_schedule.hpp>

#include <fmt/format.h>
#include <tests/support/shortage_site.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <variant>

namespace ospreystage::support {

namespace {

constexpr milliseconds tick{10};
constexpr milliseconds digest_interval{500};
/// Interval at which the entries learn how many requests are at the servers.
constexpr milliseconds report_interval{20};
constexpr double slot_units_per_s = 2500;
/// Time to the first event of a request that has a slot.
constexpr double first_event_s = 0.05;
constexpr double target_share = 0.8;
constexpr double spare_share = 0.4;
/// Deviation of the load that an entry assumes from the real one.
constexpr double load_noise = 0.03;
constexpr std::uint64_t service = 7;
constexpr std::size_t large_organisations = 4;

struct request_type {
    std::uint32_t priority;
    std::uint32_t prompt;
    std::uint32_t answer;
    milliseconds target;
    milliseconds limit;
    double weight;
};

/// Five kinds of different urgency and size, 1,200 units on average.
const std::array<request_type, 5> types{
    {{0, 200, 30, milliseconds(500), milliseconds(6000), 0.35},
     {1, 400, 60, milliseconds(800), milliseconds(8000), 0.25},
     {2, 1500, 50, milliseconds(1500), milliseconds(10'000), 0.15},
     {4, 300, 20, milliseconds(1000), milliseconds(10'000), 0.15},
     {6, 2000, 200, milliseconds(3000), milliseconds(20'000), 0.10}}};
constexpr double mean_units = 1200;
/// Under shortage every request is placed by the shortest target of the
/// service, so that the less urgent do not fill the queues of the others.
constexpr double shortest_target_s = 0.5;

double to_seconds(instant::duration time) {
    return std::chrono::duration<double>(time).count();
}

/// Shares `capacity` max-min, without the code under test.
std::vector<double> share_evenly(const std::vector<double>& demands,
                                 double capacity) {
    double low = 0;
    double high = capacity;
    const auto total = [&](double level) {
        return std::accumulate(demands.begin(), demands.end(), 0.0,
                               [&](double sum, double demand) {
                                   return sum + std::min(demand, level);
                               });
    };
    for (int step = 0; step < 60; ++step) {
        const double level = (low + high) / 2;
        (total(level) > capacity ? high : low) = level;
    }
    std::vector<double> result(demands);
    for (double& share : result)
        share = std::min(share, high);
    return result;
}

struct caller {
    std::size_t organisation = 0;
    std::size_t type = 0;
    std::size_t entry = 0;
    instant arrived{};
    bool is_measured = false;

    [[nodiscard]] const request_type& kind() const { return types.at(type); }
    [[nodiscard]] instant deadline() const { return arrived + kind().limit; }
    [[nodiscard]] double units() const {
        return static_cast<double>(work_units(kind().prompt, kind().answer));
    }
};

struct returning {
    instant at{};
    caller who;
    friend bool operator<(const returning& left, const returning& right) {
        return left.at > right.at;
    }
};

struct queued {
    std::uint32_t priority = 0;
    std::uint64_t number = 0;
    instant sent{};
    caller who;
    friend bool operator<(const queued& left, const queued& right) {
        return std::tie(left.priority, left.number) >
               std::tie(right.priority, right.number);
    }
};

struct entry_state {
    std::string name;
    demand_picture picture;
    fair_shares shares;
    return_schedule returns;
    instant short_until{};
    std::size_t sent_since_report = 0;
};

class site {
  public:
    explicit site(const shortage_options& options)
        : options_(options), random_(options.seed) {
        absl::flat_hash_set<std::uint64_t> known;
        for (std::size_t index = 0; index < options.organisations; ++index)
            known.insert(key_of(index));
        fair_shares::options shares;
        shares.common_part = options.common_part;
        for (std::size_t index = 0; index < options.entries; ++index) {
            const std::string name = fmt::format("entry-{}", index);
            entries_.push_back(std::make_unique<entry_state>(
                entry_state{name,
                            demand_picture({}, name, 1),
                            fair_shares(shares, random_()),
                            return_schedule({}, random_()),
                            {},
                            0}));
            entries_.back()->picture.set_organisations(known);
        }
        choose_demand();
        result_.organisations.resize(options.organisations);
        result_.kinds.resize(types.size());
        result_.kinds_over_share.resize(types.size());
        fair_demand_.resize(options.organisations);
    }

    shortage_result run() {
        const instant end =
            began_ + seconds(options_.warm_up_s + options_.measured_s +
                             options_.cool_down_s);
        while (now_ < end) {
            now_ += tick;
            complete();
            if ((now_ - began_) % report_interval == instant::duration{})
                report();
            if (options_.is_entry_killed &&
                now_ >= began_ + seconds(options_.warm_up_s +
                                         options_.measured_s / 2))
                is_first_dead_ = true;
            exchange();
            arrive();
            while (!returns_.empty() && returns_.top().at <= now_) {
                const caller who = returns_.top().who;
                returns_.pop();
                attempt(who);
            }
            start();
            count_idle();
        }
        return finish();
    }

  private:
    [[nodiscard]] static std::uint64_t key_of(std::size_t organisation) {
        return organisation_key(fmt::format("organisation-{}", organisation));
    }
    [[nodiscard]] bool is_measuring() const {
        const instant from = began_ + seconds(options_.warm_up_s);
        return now_ >= from && now_ < from + seconds(options_.measured_s);
    }
    /// Returns the requests that the servers run concurrently now.
    [[nodiscard]] std::size_t slots() const {
        const bool are_gone = now_ < began_ + seconds(options_.warm_up_s);
        return static_cast<std::size_t>(
            static_cast<double>(options_.slots) *
            (are_gone ? 1 - options_.servers_gone : 1));
    }
    [[nodiscard]] double capacity() const {
        return static_cast<double>(options_.slots) * slot_units_per_s;
    }

    /// A few large organisations and many small ones; every other one uses
    /// only one to three entries.
    void choose_demand() {
        std::vector<double> weights{12, 8, 6, 5};
        std::uniform_real_distribution<double> small(0.3, 1.5);
        weights.resize(
            std::min<std::size_t>(weights.size(), options_.organisations));
        while (weights.size() < options_.organisations)
            weights.push_back(small(random_));
        const double total =
            std::accumulate(weights.begin(), weights.end(), 0.0);
        for (std::size_t index = 0; index < weights.size(); ++index) {
            double rate = weights[index] / total * options_.overload *
                          capacity() / mean_units;
            if (options_.greedy > 0 && index + 1 == weights.size())
                rate = options_.greedy * capacity() / mean_units /
                       static_cast<double>(options_.organisations);
            rates_.push_back(rate);
            std::vector<std::size_t> used(options_.entries);
            std::iota(used.begin(), used.end(), 0U);
            if (index % 2 == 1) {
                std::shuffle(used.begin(), used.end(), random_);
                used.resize(std::min<std::size_t>(used.size(), 1 + index % 3));
            }
            used_.push_back(std::move(used));
        }
    }

    void arrive() {
        for (std::size_t index = 0; index < rates_.size(); ++index) {
            std::poisson_distribution<int> count(rates_[index] *
                                                 to_seconds(tick));
            for (int number = count(random_); number > 0; --number) {
                caller who;
                who.organisation = index;
                who.type = draw_type();
                who.entry = used_[index][draw(used_[index].size())];
                who.arrived = now_;
                who.is_measured = is_measuring();
                if (who.is_measured)
                    count_asked(who);
                attempt(who);
            }
        }
    }

    [[nodiscard]] std::size_t draw(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0,
                                                          count - 1)(random_);
    }
    [[nodiscard]] std::size_t draw_type() {
        double left = std::uniform_real_distribution<double>(0, 1)(random_);
        for (std::size_t index = 0; index + 1 < types.size(); ++index) {
            left -= types.at(index).weight;
            if (left < 0)
                return index;
        }
        return types.size() - 1;
    }

    void count_asked(const caller& who) {
        for (outcome_tally* tally : tallies(who)) {
            ++tally->asked;
            tally->units_asked += who.units();
        }
        fair_demand_[who.organisation] += who.units();
    }

    std::vector<outcome_tally*> tallies(const caller& who) {
        std::vector<outcome_tally*> result{
            &result_.all, &result_.organisations[who.organisation],
            &result_.kinds[who.type]};
        if (who.organisation < large_organisations)
            result.push_back(&result_.kinds_over_share[who.type]);
        return result;
    }

    /// Estimates the time to the first event as an entry does.
    double expected_wait(const entry_state& entry) {
        std::normal_distribution<double> noise(1, load_noise);
        const double load =
            static_cast<double>(reported_ + entry.sent_since_report) *
            noise(random_);
        const auto count = static_cast<double>(slots());
        return first_event_s + std::max(0.0, load - count + 1) * mean_units /
                                   slot_units_per_s / count;
    }

    void attempt(caller who) {
        if (is_first_dead_ && who.entry == 0)
            who.entry = 1;
        entry_state& entry = *entries_[who.entry];
        const double wait = expected_wait(entry);
        if (options_.is_former) {
            if (wait <= to_seconds(who.kind().target) * target_share)
                send(entry, who);
            else
                refuse(who, milliseconds(1000 + draw(1001)));
            return;
        }
        demand_request request{
            service, key_of(who.organisation), 0,
            options_.counts_size ? static_cast<std::uint64_t>(who.units()) : 1};
        const auto left =
            std::chrono::duration_cast<milliseconds>(who.deadline() - now_);
        request.rank = urgency_rank(
            who.kind().priority,
            options_.ages_callers ? left : who.kind().limit, who.kind().limit);
        if (options_.reverses_ranks)
            request.rank = demand_ranks - 1 - request.rank;
        // One that cannot end within the caller's time is not demand.
        if (wait + who.units() / slot_units_per_s > to_seconds(left)) {
            refuse(who, left / 3);
            return;
        }
        const bool is_placed = is_admitted(entry, request, wait);
        entry.picture.on_request(request, is_placed, now_);
        if (is_placed) {
            send(entry, who);
            return;
        }
        refuse(who, entry.returns.book(
                        {service, request.organisation, request.units,
                         entry.shares.own_rate(service, request.organisation),
                         left, who.kind().limit},
                        now_));
    }

    bool is_admitted(entry_state& entry, const demand_request& request,
                     double wait) {
        server_room room = server_room::none;
        if (wait <= shortest_target_s * target_share)
            room = server_room::tight;
        if (wait <= shortest_target_s * spare_share && options_.uses_spare)
            room = server_room::spare;
        if (room == server_room::none)
            entry.short_until = now_ + seconds(1);
        if (now_ > entry.short_until)
            return true;
        return std::holds_alternative<share_admitted>(
            entry.shares.decide(request, room, now_));
    }

    void send(entry_state& entry, const caller& who) {
        ++entry.sent_since_report;
        if (is_measuring())
            for (outcome_tally* tally : tallies(who))
                tally->units_served += who.units();
        waiting_.push({who.kind().priority, ++sent_, now_, who});
    }

    void refuse(const caller& who, milliseconds retry_after) {
        const instant at = now_ + retry_after;
        if (at >= who.deadline()) {
            if (who.is_measured)
                for (outcome_tally* tally : tallies(who))
                    ++tally->refused;
            return;
        }
        returns_.push({at, who});
    }

    void start() {
        while (running_.size() < slots() && !waiting_.empty()) {
            const queued next = waiting_.top();
            waiting_.pop();
            const auto time = std::chrono::duration_cast<instant::duration>(
                std::chrono::duration<double>(next.who.units() /
                                              slot_units_per_s));
            running_.push(now_ + time);
            if (!next.who.is_measured)
                continue;
            const bool is_in_time =
                to_seconds(now_ - next.sent) + first_event_s <=
                    to_seconds(next.who.kind().target) &&
                now_ + time <= next.who.deadline();
            for (outcome_tally* tally : tallies(next.who))
                ++(is_in_time ? tally->in_time : tally->late);
        }
    }

    void complete() {
        while (!running_.empty() && running_.top() <= now_)
            running_.pop();
    }

    void report() {
        reported_ = running_.size() + waiting_.size();
        for (const auto& entry : entries_)
            entry->sent_since_report = 0;
    }

    [[nodiscard]] bool is_lost(std::size_t from, std::size_t to) {
        if (!options_.has_digests)
            return true;
        if (options_.is_half_cut_off && from % 2 != to % 2)
            return true;
        return options_.digest_loss > 0 &&
               std::uniform_real_distribution<double>(0, 1)(random_) <
                   options_.digest_loss;
    }

    /// Each entry sends its digest and computes its shares at its own phase of
    /// the interval.
    void exchange() {
        const auto phases = digest_interval / tick;
        const auto phase = (now_ - began_) / tick % phases;
        for (std::size_t from = 0; from < entries_.size(); ++from) {
            if (static_cast<std::int64_t>(from) % phases != phase ||
                (is_first_dead_ && from == 0))
                continue;
            entry_state& sender = *entries_[from];
            demand_digest digest = sender.picture.take_digest(now_);
            if (!options_.tells_repeats && from % 2 == 0)
                digest.entry += std::to_string(digest.sequence);
            for (std::size_t to = 0; to < entries_.size(); ++to)
                if (to != from && !is_lost(from, to))
                    entries_[to]->picture.on_digest(digest, now_);
            const service_demand demand = sender.picture.of(service, now_);
            sender.shares.update(service, demand, now_);
            // What others refused shows the shortage, too.
            double received = 0;
            double served = 0;
            for (const auto& item : demand.organisations) {
                received += item.second.total();
                served += item.second.served;
            }
            if (received > served * 1.02)
                sender.short_until =
                    std::max(sender.short_until, now_ + seconds(1));
        }
    }

    void count_idle() {
        if (!is_measuring())
            return;
        slot_ticks_ += static_cast<double>(slots());
        if (!returns_.empty())
            idle_ticks_ += static_cast<double>(slots() - running_.size());
    }

    shortage_result finish() {
        double served = 0;
        for (const outcome_tally& tally : result_.organisations)
            served += tally.units_served;
        result_.fair_units = share_evenly(fair_demand_, served);
        result_.idle_part = idle_ticks_ / slot_ticks_;
        return std::move(result_);
    }

    shortage_options options_;
    std::mt19937_64 random_;
    const instant began_{seconds(1000)};
    instant now_ = began_;
    std::vector<std::unique_ptr<entry_state>> entries_;
    std::vector<double> rates_; ///< Callers a second by organisation.
    std::vector<std::vector<std::size_t>> used_; ///< Entries by organisation.
    std::priority_queue<returning> returns_;
    std::priority_queue<queued> waiting_;
    std::priority_queue<instant, std::vector<instant>, std::greater<>> running_;
    std::size_t reported_ = 0;
    std::uint64_t sent_ = 0;
    bool is_first_dead_ = false;
    double slot_ticks_ = 0;
    double idle_ticks_ = 0;
    std::vector<double> fair_demand_;
    shortage_result result_;
};

} // namespace

double outcome_tally::served_part() const {
    return asked == 0 ? 1
                      : static_cast<double>(in_time + late) /
                            static_cast<double>(asked);
}

std::vector<double> shortage_result::served_to_fair() const {
    std::vector<double> result;
    for (std::size_t index = 0; index < organisations.size(); ++index)
        result.push_back(organisations[index].units_served /
                         std::max(1.0, fair_units[index]));
    return result;
}

shortage_result simulate_shortage(const shortage_options& options) {
    return site(options).run();
}

} // namespace ospreystage::support
