/// \file
/// Scripted failures, in a language with one step per line.
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

/// A parsed scenario; actions are in order of time.
struct Scenario {
  std::vector<Step> actions;
  std::vector<Step> loads;
  std::vector<Step> expectations;
  Duration end{0};
};

/// Parses a scenario. The place of an error is `line N`.
[[nodiscard]] corianderdock::Result<Scenario> ParseScenario(
    const std::string& text);

/// The system that a scenario runs against: the fake world or real processes.
class ScenarioTarget {
 public:
  virtual ~ScenarioTarget() = default;

  /// Schedules an action or a load. Returns false if it is malformed or not
  /// supported by this target.
  virtual bool Schedule(const Step& step) = 0;

  /// Runs for `end` from the start, then ends all faults and waits until the
  /// system has recovered.
  virtual void Run(Duration end) = 0;

  /// Returns why an expectation is not met; empty if it is.
  virtual std::string Check(const Step& step) = 0;
};

/// Runs a scenario file. Returns all parse errors and unmet expectations with
/// file and line; empty if the scenario passes.
[[nodiscard]] std::vector<std::string> RunScenario(const std::string& path,
                                                   ScenarioTarget& target);

/// All scenario files in a folder, sorted by path.
[[nodiscard]] std::vector<std::string> ScenarioFiles(const std::string& folder);

/// Parses a rate such as `50/s`; per second.
[[nodiscard]] double ParseRate(const std::string& text);

/// Parses a duration such as `500ms`, which must be valid.
[[nodiscard]] Duration TimeOf(const std::string& text);

}  // namespace testing_support
