/// \file
/// Named comparisons, each of its variants in one run.
#pragma once

#include <cstdint>
#include <string>

namespace bench {

/// What to run and where to write.
struct ExperimentRun {
  std::string name;
  std::string deployment;
  int seconds = 8;
  int repeat = 20;
  std::string folder;
  std::uint64_t seed = 1;
};

/// Runs an experiment and writes JSON, Markdown and SVG. Returns an exit code.
int RunExperiment(const ExperimentRun& run);

}  // namespace bench
