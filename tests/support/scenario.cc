#include "scenario.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include "corianderdock/sheet.h"

namespace testing_support {

namespace {

std::vector<std::string> Words(const std::string& line) {
  std::istringstream in(line.substr(0, line.find('#')));
  return {std::istream_iterator<std::string>(in),
          std::istream_iterator<std::string>()};
}

corianderdock::Error ParseError(std::size_t line, const std::string& reason) {
  return {"line " + std::to_string(line), reason};
}

}  // namespace

Duration TimeOf(const std::string& text) {
  return corianderdock::ParseDuration(text).value_or(Duration(0));
}

double ParseRate(const std::string& text) { return std::atof(text.c_str()); }

corianderdock::Result<Scenario> ParseScenario(const std::string& text) {
  Scenario scenario;
  std::istringstream in(text);
  std::string line;
  for (std::size_t n = 1; std::getline(in, line); ++n) {
    Step step;
    step.line = n;
    step.words = Words(line);
    if (step.words.empty()) continue;
    const std::string verb = step.words[0];
    if (verb == "at") {
      if (step.words.size() < 3 ||
          !corianderdock::ParseDuration(step.words[1])) {
        return ParseError(n, "expected: at TIME ACTION");
      }
      step.at = TimeOf(step.words[1]);
      step.words.erase(step.words.begin(), step.words.begin() + 2);
      scenario.actions.push_back(step);
    } else if (verb == "load") {
      scenario.loads.push_back(step);
    } else if (verb == "run") {
      if (step.words.size() != 3 ||
          !corianderdock::ParseDuration(step.words[2])) {
        return ParseError(n, "expected: run until TIME");
      }
      scenario.end = TimeOf(step.words[2]);
    } else if (verb == "expect") {
      step.words.erase(step.words.begin());
      scenario.expectations.push_back(step);
    } else {
      return ParseError(
          n, "unknown step " + verb + ", expected at, load, run or expect");
    }
  }
  if (scenario.end.count() == 0) return ParseError(1, "missing run until TIME");
  std::stable_sort(scenario.actions.begin(), scenario.actions.end(),
                   [](const Step& a, const Step& b) { return a.at < b.at; });
  return scenario;
}

std::vector<std::string> RunScenario(const std::string& path,
                                     ScenarioTarget& target) {
  std::ifstream in(path);
  const std::string text{std::istreambuf_iterator<char>(in),
                         std::istreambuf_iterator<char>()};
  const auto scenario = ParseScenario(text);
  if (!scenario) {
    return {path + ": " + scenario.error().place + ": " +
            scenario.error().reason};
  }
  std::vector<std::string> failures;
  auto add_failure = [&](const Step& step, const std::string& reason) {
    failures.push_back(path + ": line " + std::to_string(step.line) + ": " +
                       reason);
  };
  for (const auto& it : scenario->loads) {
    if (!target.Schedule(it)) add_failure(it, "malformed load");
  }
  for (const auto& it : scenario->actions) {
    if (!target.Schedule(it)) add_failure(it, "malformed or unknown action");
  }
  if (!failures.empty()) return failures;
  target.Run(scenario->end);
  for (const auto& it : scenario->expectations) {
    const std::string reason = target.Check(it);
    if (!reason.empty()) add_failure(it, reason);
  }
  return failures;
}

std::vector<std::string> ScenarioFiles(const std::string& folder) {
  std::vector<std::string> files;
  for (const auto& it : std::filesystem::directory_iterator(folder)) {
    if (it.path().extension() == ".txt") files.push_back(it.path().string());
  }
  std::sort(files.begin(), files.end());
  return files;
}

}  // namespace testing_support
