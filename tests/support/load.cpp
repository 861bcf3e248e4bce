#include <fmt/format.h>
#include <tests/support/http_json.hpp>
#include <tests/support/load.hpp>
#include <tests/support/operations.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace ospreystage::support {

namespace {

constexpr milliseconds stop_check_interval{50};

bool chance(std::mt19937_64& random, std::uint32_t percent) {
    return random() % 100 < percent;
}

/// Returns how the keys of the load with this seed begin.
std::string key_prefix(std::uint64_t seed) {
    return fmt::format("key-{}-", seed);
}

/// Adds up how often each key started, over all back ends.
std::map<std::string, std::uint64_t> runs_by_key(const fleet& system) {
    std::map<std::string, std::uint64_t> runs;
    for (const fleet_member& member : system.members()) {
        if (!member.agent)
            continue;
        const http_answer answer =
            get_json(member.backend_url, "/control/runs");
        if (answer.status != 200)
            continue;
        for (const auto& [key, count] : answer.body["by_key"].items())
            runs[key] += count.get<std::uint64_t>();
    }
    return runs;
}

} // namespace

bool load_summary::is_clean() const noexcept {
    return lost == 0 && doubled == 0 && mixed == 0 && cut == 0 &&
           ran_after_not_run == 0;
}

microseconds percentile(const std::vector<microseconds>& values,
                        double percent) {
    if (values.empty())
        return microseconds(0);
    const double rank =
        percent / 100.0 * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(rank)];
}

void add(load_summary& summary, const load_summary& other) {
    const auto append = [](auto& to, const auto& from) {
        to.insert(to.end(), from.begin(), from.end());
        std::sort(to.begin(), to.end());
    };
    summary.sent += other.sent;
    summary.served += other.served;
    summary.served_in_class += other.served_in_class;
    summary.not_run += other.not_run;
    summary.unknown += other.unknown;
    summary.lost += other.lost;
    summary.mixed += other.mixed;
    summary.cut += other.cut;
    summary.doubled += other.doubled;
    summary.ran_after_not_run += other.ran_after_not_run;
    summary.repeats += other.repeats;
    summary.dead_connections += other.dead_connections;
    append(summary.first_tokens, other.first_tokens);
    append(summary.token_gaps, other.token_gaps);
    for (const auto& [reason, count] : other.reasons)
        summary.reasons[reason] += count;
    summary.calls.insert(summary.calls.end(), other.calls.begin(),
                         other.calls.end());
}

nlohmann::json to_json(const load_summary& summary) {
    const auto in_ms = [](microseconds value) {
        return static_cast<double>(value.count()) / 1000.0;
    };
    return {{"sent", summary.sent},
            {"served", summary.served},
            {"served_in_class", summary.served_in_class},
            {"repeats", summary.repeats},
            {"dead_connections", summary.dead_connections},
            {"not_run", summary.not_run},
            {"unknown", summary.unknown},
            {"lost", summary.lost},
            {"doubled", summary.doubled},
            {"mixed", summary.mixed},
            {"cut", summary.cut},
            {"ran_after_not_run", summary.ran_after_not_run},
            {"first_token_p50_ms", in_ms(percentile(summary.first_tokens, 50))},
            {"first_token_p95_ms", in_ms(percentile(summary.first_tokens, 95))},
            {"first_token_p99_ms", in_ms(percentile(summary.first_tokens, 99))},
            {"token_gap_p95_ms", in_ms(percentile(summary.token_gaps, 95))},
            {"token_gap_p99_ms", in_ms(percentile(summary.token_gaps, 99))},
            {"reasons", summary.reasons}};
}

load::load(fleet& system, caller& client, load_options options)
    : system_(system), options_(std::move(options)),
      client_(client, options_.repeats) {}

load::~load() {
    stopping_ = true;
    for (std::thread& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void load::start() {
    for (std::size_t index = 0; index < options_.threads; ++index)
        threads_.emplace_back([this, index] { call_until_stopped(index); });
}

load_summary load::finish() {
    stopping_ = true;
    for (std::thread& thread : threads_)
        thread.join();
    threads_.clear();
    const absl::MutexLock lock(&mutex_);
    load_summary summary = summary_;
    std::sort(summary.first_tokens.begin(), summary.first_tokens.end());
    std::sort(summary.token_gaps.begin(), summary.token_gaps.end());
    count_runs(summary);
    return summary;
}

void load::await_arrival(instant arrival) const {
    while (!stopping_ && steady::now() < arrival)
        std::this_thread::sleep_until(
            std::min(arrival, steady::now() + stop_check_interval));
}

void load::call_until_stopped(std::uint64_t index) {
    std::mt19937_64 random(options_.seed * 1000 + index);
    const bool timed = options_.requests_per_second > 0;
    std::exponential_distribution<double> interval(
        timed ? options_.requests_per_second /
                    static_cast<double>(options_.threads)
              : 1.0);
    instant next = steady::now();
    for (std::uint64_t number = 0; !stopping_; ++number) {
        if (timed) {
            next += std::chrono::duration_cast<steady::duration>(
                std::chrono::duration<double>(interval(random)));
            await_arrival(next);
            if (stopping_)
                return;
        }
        call_once(index, number, random);
        std::this_thread::sleep_for(options_.pause);
    }
}

void load::call_once(std::uint64_t index, std::uint64_t number,
                     std::mt19937_64& random) {
    call_record entry;
    entry.begun = steady::now();
    entry.organisation =
        options_.organisations[random() % options_.organisations.size()];
    const std::string key =
        chance(random, options_.non_idempotent_percent)
            ? fmt::format("{}{}-{}", key_prefix(options_.seed), index, number)
            : "";
    if (!key.empty())
        entry.key = fmt::format("{}/{}", entry.organisation, key);
    if (chance(random, options_.plain_percent)) {
        plain_call call;
        call.service = plain_service_name;
        call.path = key.empty() ? "status" : "sanctions";
        call.body = "{}";
        call.organisation = entry.organisation;
        call.request_class = options_.request_class;
        call.idempotency_key = key;
        call.deadline = options_.deadline;
        record(client_.plain(call), std::move(entry));
        return;
    }
    chat_call call;
    call.service = engine_service_name;
    call.organisation = entry.organisation;
    call.request_class = options_.request_class;
    call.idempotency_key = key;
    call.prompt = fmt::format("note {} {}", index, random() % 64);
    call.max_tokens = options_.max_tokens;
    if (options_.min_tokens > 0)
        call.max_tokens = std::uniform_int_distribution<std::uint64_t>(
            options_.min_tokens, options_.max_tokens)(random);
    call.stream = chance(random, options_.stream_percent);
    call.deadline = options_.deadline;
    record(client_.chat(call), std::move(entry));
}

bool load::in_class(const call_outcome& outcome) const {
    if (outcome.result != call_result::served ||
        outcome.total > options_.deadline)
        return false;
    return !outcome.first_token ||
           *outcome.first_token <= options_.first_token_target;
}

void load::record(const repeated_outcome& outcome, call_record call) {
    const absl::MutexLock lock(&mutex_);
    const call_outcome& last = outcome.last;
    ++summary_.sent;
    summary_.repeats += outcome.tries - 1;
    summary_.dead_connections += outcome.dead_connections;
    switch (last.result) {
    case call_result::served:
        ++summary_.served;
        break;
    case call_result::mixed:
        ++summary_.mixed;
        break;
    case call_result::cut:
        ++summary_.cut;
        break;
    case call_result::not_run:
        ++summary_.not_run;
        break;
    case call_result::unknown:
        ++summary_.unknown;
        break;
    case call_result::lost:
        ++summary_.lost;
        break;
    }
    if (last.result != call_result::served)
        ++summary_.reasons[fmt::format("{}: {}", to_string(last.result),
                                       last.reason)];
    if (last.first_token)
        summary_.first_tokens.push_back(*last.first_token);
    summary_.token_gaps.insert(summary_.token_gaps.end(),
                               last.token_gaps.begin(), last.token_gaps.end());
    call.first_result = outcome.first_result;
    call.result = last.result;
    call.in_class = in_class(last);
    if (call.in_class)
        ++summary_.served_in_class;
    summary_.calls.push_back(std::move(call));
}

void load::count_runs(load_summary& summary) const {
    const auto runs = runs_by_key(system_);
    const std::string own = "/" + key_prefix(options_.seed);
    for (const auto& [key, count] : runs) {
        if (count > 1 && key.find(own) != std::string::npos)
            ++summary.doubled;
    }
    for (const call_record& call : summary.calls) {
        if (call.result == call_result::not_run && runs.contains(call.key))
            ++summary.ran_after_not_run;
    }
}

} // namespace ospreystage::support
