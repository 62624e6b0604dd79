#include "corianderdock/metrics.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace corianderdock {

namespace {

constexpr unsigned kBucketCount = 140;
constexpr double kMinSeconds = 1e-5;
constexpr double kMaxSeconds = 100;
constexpr int kBucketsPerScrapedBucket = 10;
constexpr char kPrefix[] = "corianderdock_";

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LatencyHistogram::LatencyHistogram()
    : buckets_(boost::histogram::make_histogram(
          Axis(kBucketCount, kMinSeconds, kMaxSeconds))) {}

void LatencyHistogram::Record(Duration latency) {
  const double seconds = std::max(ToSeconds(latency), kMinSeconds);
  buckets_(seconds);
  ++count_;
  sum_seconds_ += seconds;
}

void LatencyHistogram::Add(const LatencyHistogram& other) {
  buckets_ += other.buckets_;
  count_ += other.count_;
  sum_seconds_ += other.sum_seconds_;
}

Duration LatencyHistogram::Quantile(double share) const {
  const auto target_count = static_cast<double>(count_) * share;
  double cumulative = buckets_.at(-1);
  double bound = kMinSeconds;
  for (unsigned n = 0; n < kBucketCount; ++n) {
    if (cumulative >= target_count) break;
    cumulative += buckets_.at(static_cast<int>(n));
    bound = buckets_.axis(0).bin(static_cast<int>(n)).upper();
  }
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(bound));
}

void LatencyHistogram::Render(std::string& out, std::string_view name,
                              std::string_view labels) const {
  std::ostringstream text;
  const std::string separator = labels.empty() ? "" : ",";
  double cumulative = buckets_.at(-1);
  for (unsigned n = 0; n < kBucketCount; ++n) {
    cumulative += buckets_.at(static_cast<int>(n));
    if ((n + 1) % kBucketsPerScrapedBucket != 0) continue;
    text << kPrefix << name << "_bucket{" << labels << separator << "le=\""
         << buckets_.axis(0).bin(static_cast<int>(n)).upper() << "\"} "
         << static_cast<std::uint64_t>(cumulative) << "\n";
  }
  text << kPrefix << name << "_bucket{" << labels << separator
       << "le=\"+Inf\"} " << count_ << "\n";
  text << kPrefix << name << "_sum{" << labels << "} " << sum_seconds_ << "\n";
  text << kPrefix << name << "_count{" << labels << "} " << count_ << "\n";
  out += text.str();
}

LatencyHistogram& Metrics::Latency(const std::string& name,
                                   const std::string& labels) {
  return latencies_[name][labels];
}

std::string Metrics::Render(
    const std::map<std::string, std::uint64_t, std::less<>>& counters,
    const std::map<std::string, double>& gauges) const {
  std::string out;
  for (const auto& [name, value] : counters) {
    const std::string full = kPrefix + name + "_total";
    out += "# TYPE " + full + " counter\n";
    out += full + " " + std::to_string(value) + "\n";
  }
  std::string family;  // a gauge with labels has several lines
  for (const auto& [name, value] : gauges) {
    const std::string full = kPrefix + name;
    const std::string unlabelled = full.substr(0, full.find('{'));
    if (unlabelled != family) out += "# TYPE " + unlabelled + " gauge\n";
    family = unlabelled;
    out += full + " " + std::to_string(value) + "\n";
  }
  for (const auto& [name, series] : latencies_) {
    out += "# TYPE " + std::string(kPrefix) + name + " histogram\n";
    for (const auto& [labels, histogram] : series) {
      histogram.Render(out, name, labels);
    }
  }
  return out;
}

}  // namespace corianderdock
