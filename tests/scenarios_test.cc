/// \file
/// Runs the scripted scenarios against the fake world in virtual time.
#include <catch2/catch.hpp>

#include "support/fake_target.h"

namespace testing_support {
namespace {

constexpr std::uint64_t kSeeds = 5;

TEST_CASE("scenarios pass in virtual time", "[scenarios]") {
  for (const auto& file : ScenarioFiles(SCENARIO_FOLDER)) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      FakeTarget target(seed);
      for (const auto& failure : RunScenario(file, target)) {
        FAIL_CHECK("seed " << seed << ": " << failure);
      }
    }
  }
}

TEST_CASE("scenario parse errors name the line", "[scenarios]") {
  CHECK(ParseScenario("run until 3s\n"));
  CHECK(ParseScenario("at soon kill\nrun until 1s\n").error().place ==
        "line 1");
  CHECK(ParseScenario("run until 1s\n\njump\n").error().place == "line 3");
  CHECK_FALSE(ParseScenario("expect promises hold\n"));
}

}  // namespace
}  // namespace testing_support
