/// \file
/// Runs the scripted scenarios against real processes. The environment variable
/// SCENARIO, if set, selects those whose path contains it.
#include <catch2/catch.hpp>
#include <fstream>

#include "support/process_target.h"

namespace testing_support {
namespace {

/// Whether the first line marks the scenario for real processes.
bool RunsOnProcesses(const std::string& file) {
  std::ifstream in(file);
  std::string line;
  std::getline(in, line);
  return line == "# processes";
}

TEST_CASE("scenarios pass on real processes", "[processes]") {
  const char* only = std::getenv("SCENARIO");
  for (const auto& file : ScenarioFiles(SCENARIO_FOLDER)) {
    if (!RunsOnProcesses(file)) continue;
    if (only != nullptr && file.find(only) == std::string::npos) continue;
    ProcessTarget target(1);
    const auto failures = RunScenario(file, target);
    for (const auto& failure : failures) FAIL_CHECK(failure);
    std::printf("%s: %s\n", file.c_str(),
                failures.empty() ? "passed" : "FAILED");
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace testing_support
