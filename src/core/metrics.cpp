#include <ospreystage/core/metrics.hpp>

#include <fmt/format.h>

namespace ospreystage {

namespace {

constexpr unsigned bucket_count = 24;
constexpr double min_bucket_seconds = 0.0005;
constexpr double max_bucket_seconds = 60.0;

} // namespace

void metrics::count(const std::string& name, std::uint64_t amount) {
    const absl::MutexLock lock(&mutex_);
    counters_[name] += amount;
}

void metrics::observe(const std::string& name, std::chrono::nanoseconds value) {
    const double in_seconds = std::chrono::duration<double>(value).count();
    const absl::MutexLock lock(&mutex_);
    auto found = histograms_.find(name);
    if (found == histograms_.end()) {
        series new_series{
            boost::histogram::make_histogram(
                axis(bucket_count, min_bucket_seconds, max_bucket_seconds)),
            0, 0};
        found = histograms_.emplace(name, std::move(new_series)).first;
    }
    found->second.buckets(in_seconds);
    found->second.sum += in_seconds;
    found->second.count += 1;
}

void metrics::gauge(const std::string& name, gauge_source source) {
    const absl::MutexLock lock(&mutex_);
    gauges_[name] = std::move(source);
}

std::string metrics::text() const {
    const absl::MutexLock lock(&mutex_);
    std::string out;
    for (const auto& [name, value] : counters_)
        out += fmt::format("{} {}\n", name, value);
    for (const auto& [name, source] : gauges_)
        out += fmt::format("{} {}\n", name, source());
    for (const auto& [name, values] : histograms_) {
        double cumulative = values.buckets.at(-1);
        for (int index = 0; index < static_cast<int>(bucket_count); ++index) {
            cumulative += values.buckets.at(index);
            out += fmt::format("{}_bucket{{le=\"{:.6g}\"}} {}\n", name,
                               values.buckets.axis().bin(index).upper(),
                               cumulative);
        }
        out += fmt::format("{}_bucket{{le=\"+Inf\"}} {}\n", name, values.count);
        out += fmt::format("{}_sum {}\n", name, values.sum);
        out += fmt::format("{}_count {}\n", name, values.count);
    }
    return out;
}

nlohmann::json metrics::dump() const {
    const absl::MutexLock lock(&mutex_);
    nlohmann::json state;
    state["counters"] = counters_;
    for (const auto& [name, values] : histograms_)
        state["histograms"][name] = {{"count", values.count},
                                     {"sum_seconds", values.sum}};
    return state;
}

} // namespace ospreystage
