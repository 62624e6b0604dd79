/// \file
/// A line-per-step language for scripted failures.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "corianderdock/result.h"
#include "corianderdock/types.h"

namespace testing_support {

using corianderdock::Duration;

/// One step: `at TIME ACTION...`, `load ... until TIME`, `run until TIME` or
/// `expect ...`.
struct Step {
  std::size_t line = 0;
  Duration at{0};
  std::vector<std::string> words;
};

/// A parsed scenario; actions are ordered by their time.
struct Scenario {
  std::vector<Step> actions;
  std::vector<Step> loads;
  std::vector<Step> expectations;
  Duration end{0};
};

/// Parses a scenario; the error names the line.
[[nodiscard]] corianderdock::Result<Scenario> ParseScenario(
    const std::string& text);

/// What a scenario acts on: the fake world, or real processes.
class ScenarioTarget {
 public:
  virtual ~ScenarioTarget() = default;

  /// Schedules an action or a load; false when it is not known here.
  virtual bool Schedule(const Step& step) = 0;

  /// Runs until `end` after the start, heals everything and settles.
  virtual void Run(Duration end) = 0;

  /// Why an expectation does not hold; empty when it does.
  virtual std::string Check(const Step& step) = 0;
};

/// Runs a scenario file and returns all faults with file and line.
[[nodiscard]] std::vector<std::string> RunScenario(const std::string& path,
                                                   ScenarioTarget& target);

/// All scenario files below a folder, in order of their names.
[[nodiscard]] std::vector<std::string> ScenarioFiles(const std::string& folder);

/// `50/s` as a number.
[[nodiscard]] double ParseRate(const std::string& text);

/// A time of the language, which must be valid.
[[nodiscard]] Duration TimeOf(const std::string& text);

}  // namespace testing_support
