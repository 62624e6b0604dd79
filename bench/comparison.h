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
[[nodiscard]] double P99(const LoadReport& report, const std::string& kind);

/// A count summed over all kinds.
[[nodiscard]] std::uint64_t Sum(const LoadReport& report,
                                std::uint64_t KindReport::*member);

/// Deployments that the run asks for.
[[nodiscard]] std::vector<Deployment> Deployments(const ExperimentRun& run);

/// A load of typical streams over the run's length.
[[nodiscard]] LoadSpec Spec(const Cluster& cluster, const ExperimentRun& run,
                            double rate, LongWork work);

/// Request ids that were refused as not run and yet are in the books.
[[nodiscard]] std::uint64_t FalseRefusals(Cluster& cluster,
                                          const LoadReport& report);

/// Most connections any server had or refused.
[[nodiscard]] int MostConnections(Cluster& cluster);

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
void Compare(const ExperimentRun& run, const std::vector<Variant>& variants,
             const std::vector<std::string>& columns, const Measure& measure);

}  // namespace bench
