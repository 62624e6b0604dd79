/// \file
/// Latency histograms, and the Prometheus text format for all metrics.
#pragma once

#include <boost/histogram.hpp>
#include <map>
#include <string>
#include <string_view>

#include "corianderdock/types.h"

namespace corianderdock {

/// A latency distribution with logarithmic buckets from 10 us to 100 s.
/// Not thread-safe.
class LatencyHistogram {
 public:
  LatencyHistogram();

  void Record(Duration latency);

  /// Adds the observations of `other`.
  void Add(const LatencyHistogram& other);

  /// Upper bound of the bucket that contains the quantile `share`, 0 to 1.
  [[nodiscard]] Duration Quantile(double share) const;
  [[nodiscard]] std::uint64_t count() const noexcept { return count_; }

  /// Appends the series `name` in Prometheus text format; `labels` is a
  /// comma-separated list of `name="value"` pairs.
  void Render(std::string& out, std::string_view name,
              std::string_view labels) const;

 private:
  using Axis =
      boost::histogram::axis::regular<double,
                                      boost::histogram::axis::transform::log>;
  boost::histogram::histogram<std::tuple<Axis>> buckets_;
  std::uint64_t count_ = 0;
  double sum_seconds_ = 0;
};

/// The histograms of one process by name and labels. Not thread-safe.
class Metrics {
 public:
  /// Histogram of one series; created on first use.
  LatencyHistogram& Latency(const std::string& name, const std::string& labels);

  /// All histograms and the given counters and gauges in Prometheus text
  /// format.
  [[nodiscard]] std::string Render(
      const std::map<std::string, std::uint64_t, std::less<>>& counters,
      const std::map<std::string, double>& gauges) const;

 private:
  std::map<std::string, std::map<std::string, LatencyHistogram>> latencies_;
};

}  // namespace corianderdock
