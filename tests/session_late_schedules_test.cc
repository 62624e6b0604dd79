/// Random schedules on a platform that executes most orders of promotions late
/// and without an answer. The environment variables FIRST_SEED and SEEDS set
/// the seeds.
#include <catch2/catch.hpp>
#include <iostream>

#include "support/seeds.h"
#include "support/session_world.h"

namespace corianderdock::test {

namespace {

constexpr std::uint64_t kSchedules = 60;

}  // namespace

TEST_CASE("no schedule with orders that are executed late loses commits") {
  const std::uint64_t first = FromEnvironment("FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SEEDS", kSchedules);
  int promotions = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    WorldOptions options;
    options.seed = seed;
    options.late_orders = true;
    options.duration = std::chrono::seconds(20);
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

}  // namespace corianderdock::test
