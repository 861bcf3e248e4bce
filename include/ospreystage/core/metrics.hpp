#pragma once

#include <ospreystage/core/clock.hpp>

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <tuple>

namespace ospreystage {

/// Counters, gauges and histograms of a process; safe from any thread.
class metrics {
  public:
    using gauge_source = std::function<double()>;

    // ---- Modifiers ---------------------------------------------------------

    /// Adds `amount` to the counter `name` (`ospreystage_…_total`); the name
    /// includes the labels.
    void count(const std::string& name, std::uint64_t amount = 1);

    /// Adds a duration to the histogram `name`, which is in seconds.
    void observe(const std::string& name, std::chrono::nanoseconds value);

    /// Registers a gauge; `source` is called whenever `text` is, with the lock
    /// held, and must not call these metrics.
    void gauge(const std::string& name, gauge_source source);

    // ---- Observers ---------------------------------------------------------

    /// Returns all metrics in the Prometheus text exposition format.
    [[nodiscard]] std::string text() const;

    [[nodiscard]] nlohmann::json dump() const;

  private:
    using axis =
        boost::histogram::axis::regular<double,
                                        boost::histogram::axis::transform::log>;
    using histogram = boost::histogram::histogram<std::tuple<axis>>;
    struct series {
        histogram buckets;
        double sum = 0;
        std::uint64_t count = 0;
    };

    mutable absl::Mutex mutex_;
    std::map<std::string, std::uint64_t> counters_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, series> histograms_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, gauge_source> gauges_ ABSL_GUARDED_BY(mutex_);
};

} // namespace ospreystage
