/// \file
/// Named experiments; each measures all of its variants in one run.
#pragma once

#include <cstdint>
#include <string>

namespace bench {

/// Parameters of an experiment and the folder of its reports.
struct ExperimentRun {
  std::string name;
  std::string deployment;  ///< adinkra, dzintarkrasts or both
  int seconds = 8;         ///< length of each load
  int repeat = 20;         ///< faults per row of the failover experiment
  std::string folder;
  std::uint64_t seed = 1;
};

/// Runs an experiment and writes JSON, Markdown and SVG. Returns an exit code:
/// 0, or 2 after listing the names when `run.name` is unknown.
int RunExperiment(const ExperimentRun& run);

}  // namespace bench
