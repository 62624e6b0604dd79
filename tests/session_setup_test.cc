/// Random schedules of servers whose SET, PREPARE and RESET fail now and then.
/// The environment variables FIRST_SEED and SEEDS set the first seed and the
/// number of seeds of each test.
#include <catch2/catch.hpp>

#include "support/seeds.h"
#include "support/session_world.h"
#include "support/violations.h"

namespace corianderdock::test {

namespace {

constexpr std::uint64_t kSchedules = 20;

void CheckSchedules(const WorldOptions& world) {
  const std::uint64_t first = FromEnvironment("FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SEEDS", kSchedules);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    WorldOptions options = world;
    options.seed = seed;
    options.duration = std::chrono::seconds(4);
    const WorldResult result = RunSessionSchedule(options);
    PrintViolations(result);
    CHECK(result.violations.empty());
    CHECK(result.succeeded > 0);
  }
}

}  // namespace

// A statement ran after the SET or PREPARE that it depends on had failed.
TEST_CASE("no statement runs on a connection whose setup failed") {
  WorldOptions world;
  world.setup_failure_rate = 0.05;
  world.cut_reply_rate = 0.01;
  CheckSchedules(world);
}

// The repeat of an earlier success was taken for the reply to a SET that
// failed. The error then reached the client of a write that had run.
TEST_CASE("no repeated reply hides a setup that failed") {
  WorldOptions world;
  world.setup_failure_rate = 0.1;
  world.busy_rate = 0.05;
  world.repeats.rate = 0.5;
  CheckSchedules(world);
}

}  // namespace corianderdock::test
