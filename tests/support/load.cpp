#include <fmt/format.h>
#include <tests/support/http_json.hpp>
#include <tests/support/load.hpp>
#include <tests/support/operations.hpp>

#include <algorithm>
#include <random>
#include <utility>

namespace ospreystage::support {

namespace {

bool chance(std::mt19937_64& random, std::uint32_t percent) {
    return random() % 100 < percent;
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

nlohmann::json to_json(const load_summary& summary) {
    const auto in_ms = [](microseconds value) {
        return static_cast<double>(value.count()) / 1000.0;
    };
    return {{"sent", summary.sent},
            {"served", summary.served},
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
    : system_(system), client_(client), options_(std::move(options)) {}

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

void load::call_until_stopped(std::uint64_t index) {
    std::mt19937_64 random(options_.seed * 1000 + index);
    for (std::uint64_t number = 0; !stopping_; ++number) {
        const std::string& organisation =
            options_.organisations[random() % options_.organisations.size()];
        const std::string key =
            chance(random, options_.non_idempotent_percent)
                ? fmt::format("key-{}-{}-{}", options_.seed, index, number)
                : "";
        const std::string scoped =
            key.empty() ? "" : fmt::format("{}/{}", organisation, key);
        if (chance(random, options_.plain_percent)) {
            record(client_.plain({plain_service_name,
                                  key.empty() ? "status" : "sanctions", "{}",
                                  organisation, options_.request_class, key,
                                  options_.deadline}),
                   scoped);
        } else {
            chat_call call;
            call.service = engine_service_name;
            call.organisation = organisation;
            call.request_class = options_.request_class;
            call.idempotency_key = key;
            call.prompt = fmt::format("note {} {}", index, random() % 64);
            call.max_tokens = options_.max_tokens;
            call.stream = chance(random, options_.stream_percent);
            call.deadline = options_.deadline;
            record(client_.chat(call), scoped);
        }
        std::this_thread::sleep_for(options_.pause);
    }
}

void load::record(const call_outcome& outcome, const std::string& key) {
    const absl::MutexLock lock(&mutex_);
    ++summary_.sent;
    switch (outcome.result) {
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
    if (outcome.result != call_result::served)
        ++summary_.reasons[fmt::format("{}: {}", to_string(outcome.result),
                                       outcome.reason)];
    if (outcome.first_token)
        summary_.first_tokens.push_back(*outcome.first_token);
    summary_.token_gaps.insert(summary_.token_gaps.end(),
                               outcome.token_gaps.begin(),
                               outcome.token_gaps.end());
    if (!key.empty())
        keyed_.push_back({key, outcome.result});
}

void load::count_runs(load_summary& summary) const {
    const auto runs = runs_by_key(system_);
    for (const auto& [key, count] : runs) {
        if (count > 1)
            ++summary.doubled;
    }
    for (const keyed_result& entry : keyed_) {
        if (entry.result == call_result::not_run && runs.contains(entry.key))
            ++summary.ran_after_not_run;
    }
}

} // namespace ospreystage::support
