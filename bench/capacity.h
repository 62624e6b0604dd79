/// \file
/// Slopes of control cost over the size of the system.
#pragma once

#include "cluster.h"
#include "corianderdock/metrics.h"
#include "experiments.h"

namespace bench {

/// Requests in a closed loop.
struct ClosedLoopResult {
  double rate = 0;
  corianderdock::LatencyHistogram latency;
};

/// `callers` threads that each wait for an answer before they ask again,
/// through the first instance or straight to the first server.
[[nodiscard]] ClosedLoopResult RunClosedLoop(Cluster& cluster, bool proxied,
                                             int callers, Duration length);

/// Measures the slopes that docs/CAPACITY.md is worked out from.
void MeasureCapacity(const ExperimentRun& run);

}  // namespace bench
