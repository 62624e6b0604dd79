/// \file
/// Scripted scenarios against real processes.
#include <catch2/catch.hpp>
#include <fstream>

#include "support/process_target.h"

namespace testing_support {
namespace {

bool RunsOnProcesses(const std::string& file) {
  std::ifstream in(file);
  std::string line;
  std::getline(in, line);
  return line == "# processes";
}

TEST_CASE("scenarios hold on real processes", "[processes]") {
  const char* only = std::getenv("SCENARIO");
  for (const auto& file : ScenarioFiles(SCENARIO_FOLDER)) {
    if (!RunsOnProcesses(file)) continue;
    if (only != nullptr && file.find(only) == std::string::npos) continue;
    ProcessTarget target(1);
    const auto faults = RunScenario(file, target);
    for (const auto& fault : faults) FAIL_CHECK(fault);
    std::printf("%s: %s\n", file.c_str(), faults.empty() ? "held" : "BROKEN");
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace testing_support
