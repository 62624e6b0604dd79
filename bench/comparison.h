/// \file
/// Helpers of experiments: figures of a load, and variants side by side.
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

/// 99th percentile of a kind in milliseconds; 0 when it was not sent.
[[nodiscard]] double P99Ms(const LoadReport& report, const std::string& kind);

/// A count summed over all kinds.
[[nodiscard]] std::uint64_t SumOverKinds(const LoadReport& report,
                                         std::uint64_t KindReport::*member);

/// Deployments that the run asks for.
[[nodiscard]] std::vector<Deployment> SelectDeployments(
    const ExperimentRun& run);

/// A load of typical streams over the run's length.
[[nodiscard]] LoadSpec MakeLoadSpec(const Cluster& cluster,
                                    const ExperimentRun& run, double rate,
                                    LongWork work);

/// Request ids that were refused as not run and yet are in the books.
[[nodiscard]] std::uint64_t CountFalseRefusals(Cluster& cluster,
                                               const LoadReport& report);

/// Most connections any server had or refused.
[[nodiscard]] int PeakConnectionDemand(Cluster& cluster);

/// A variant of an ablation: its name and the alternative it sets.
struct Variant {
  std::string name;
  std::string alternative;
  bool value = true;
  int prefetch = 1;
};

using Measure = std::function<std::vector<double>(
    const ExperimentRun&, const Deployment&, Json::Value&)>;

/// Measures each variant on each deployment and writes the comparison.
void CompareVariants(const ExperimentRun& run,
                     const std::vector<Variant>& variants,
                     const std::vector<std::string>& columns,
                     const Measure& measure);

}  // namespace bench
