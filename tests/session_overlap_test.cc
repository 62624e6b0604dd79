/// Random schedules whose faults overlap a promotion: claimants are paused or
/// killed, servers pause or restart, and orders are executed late. The
/// environment variables FIRST_SEED and SEEDS set the seeds.
#include <catch2/catch.hpp>
#include <iostream>

#include "support/seeds.h"
#include "support/session_world.h"

namespace corianderdock::test {

namespace {

constexpr std::uint64_t kSchedules = 40;

void CheckSchedules(const WorldOptions& world) {
  const std::uint64_t first = FromEnvironment("FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SEEDS", kSchedules);
  int promotions = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    WorldOptions options = world;
    options.seed = seed;
    const WorldResult result = RunSessionSchedule(options);
    if (!result.violations.empty()) {
      std::cout << result.violations.front() << "\n";
    }
    CHECK(result.violations.empty());
    promotions += result.promotions;
  }
  std::cout << "promotions " << promotions << "\n";
  CHECK(promotions > 0);
}

}  // namespace

TEST_CASE("no schedule with faults during promotions violates a guarantee") {
  WorldOptions world;
  world.overlap = true;
  world.duration = std::chrono::seconds(20);
  CheckSchedules(world);
}

TEST_CASE("no schedule with faults during late promotions loses commits") {
  WorldOptions world;
  world.overlap = true;
  world.late_orders = true;
  world.duration = std::chrono::seconds(30);
  CheckSchedules(world);
}

}  // namespace corianderdock::test
