/// \file
/// Measures how the control cost grows with the size of the system.
#pragma once

#include "cluster.h"
#include "corianderdock/metrics.h"
#include "experiments.h"

namespace bench {

/// Throughput and latency of a closed-loop run.
struct ClosedLoopResult {
  double rate = 0;  ///< requests per second
  corianderdock::LatencyHistogram latency;
};

/// Runs `callers` threads for `length`; each sends its next request when the
/// previous one is answered. With `proxied` they go through the first instance,
/// otherwise to server saddle-1-2 over libpq.
[[nodiscard]] ClosedLoopResult RunClosedLoop(Cluster& cluster, bool proxied,
                                             int callers, Duration length);

/// Measures the growth rates on which docs/CAPACITY.md is based.
void MeasureCapacity(const ExperimentRun& run);

}  // namespace bench
