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

    /// Adds to the counter `name` (`ospreystage_…_total`), labels included.
    void count(const std::string& name, std::uint64_t amount = 1);

    /// Records a duration in the histogram `name`, in seconds.
    void observe(const std::string& name, std::chrono::nanoseconds value);

    /// Registers a gauge that is read when metrics are asked for.
    void gauge(const std::string& name, gauge_source source);

    // ---- Observers ---------------------------------------------------------

    /// Returns everything in the text exposition format.
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
