/// \file
/// Helpers of experiments: figures of a load report, and comparison of
/// variants.
#pragma once

#include <json/json.h>

#include <functional>
#include <string>
#include <vector>

#include "cluster.h"
#include "experiments.h"
#include "load.h"

namespace bench {

[[nodiscard]] double Ms(Duration duration);

/// 99th-percentile latency of a kind in milliseconds; 0 when none was sent.
[[nodiscard]] double P99Ms(const LoadReport& report, const std::string& kind);

/// Sums one counter of the report over all kinds.
[[nodiscard]] std::uint64_t SumOverKinds(const LoadReport& report,
                                         std::uint64_t KindReport::*member);

/// Deployments that `run.deployment` selects; both unless it names one.
[[nodiscard]] std::vector<Deployment> SelectDeployments(
    const ExperimentRun& run);

/// Typical streams against all instances for the length of the run, `rate`
/// statements per second.
[[nodiscard]] LoadSpec MakeLoadSpec(const Cluster& cluster,
                                    const ExperimentRun& run, double rate,
                                    LongWork work);

/// Counts writes that were refused as `not_run` although their row exists.
[[nodiscard]] std::uint64_t CountFalseRefusals(Cluster& cluster,
                                               const LoadReport& report);

/// Largest sum of peak and refused connections of any server.
[[nodiscard]] int PeakConnectionDemand(Cluster& cluster);

/// A variant of an ablation: its name and the alternative that it sets; empty
/// to set none.
struct Variant {
  std::string name;
  std::string alternative;
  bool value = true;
  int prefetch = 1;
};

/// Runs one variant, stores the load reports in the JSON value and returns one
/// figure for each column.
using Measure = std::function<std::vector<double>(
    const ExperimentRun&, const Deployment&, Json::Value&)>;

/// Measures each variant on each selected deployment and writes the report.
void CompareVariants(const ExperimentRun& run,
                     const std::vector<Variant>& variants,
                     const std::vector<std::string>& columns,
                     const Measure& measure);

}  // namespace bench
