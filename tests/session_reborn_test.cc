/// Random schedules in which replicas start again without their logs, and
/// servers join beside a primary that some instances can't reach. The
/// environment variables FIRST_SEED and SEEDS set the seeds.
#include <catch2/catch.hpp>
#include <iostream>

#include "support/seeds.h"
#include "support/session_world.h"

namespace corianderdock::test {

namespace {

constexpr std::uint64_t kSchedules = 60;

void CheckSchedules(const WorldOptions& world) {
  const std::uint64_t first = FromEnvironment("FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SEEDS", kSchedules);
  WorldResult total;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    WorldOptions options = world;
    options.seed = seed;
    const WorldResult result = RunSessionSchedule(options);
    if (!result.violations.empty()) {
      std::cout << result.violations.front() << "\n";
    }
    CHECK(result.violations.empty());
    total.succeeded += result.succeeded;
    total.unsure += result.unsure;
    total.promotions += result.promotions;
  }
  std::cout << "done " << total.succeeded << ", unsure " << total.unsure
            << ", promotions " << total.promotions << "\n";
  CHECK(total.succeeded > 0);
}

}  // namespace

TEST_CASE("no schedule with replicas that lose their logs loses commits") {
  WorldOptions world;
  world.reborn = true;
  world.duration = std::chrono::seconds(20);
  CheckSchedules(world);
}

TEST_CASE("no schedule with servers that join beside a cut loses commits") {
  WorldOptions world;
  world.cut_joiners = true;
  world.duration = std::chrono::seconds(20);
  CheckSchedules(world);
}

TEST_CASE("no schedule with late orders and joins beside a cut loses commits") {
  WorldOptions world;
  world.cut_joiners = true;
  world.overlap = true;
  world.late_orders = true;
  world.duration = std::chrono::seconds(30);
  CheckSchedules(world);
}

}  // namespace corianderdock::test
