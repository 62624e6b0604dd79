/// Schedules with several faults on each promotion.
#include <catch2/catch.hpp>

#include "support/session_world.h"

namespace corianderdock::test {

namespace {

struct Harsh {
  std::uint64_t seed;
  double faults_per_second;
  double lost_answers;
};

}  // namespace

TEST_CASE("several faults on each promotion break no promise") {
  const Harsh schedules[] = {{206, 6, 0.01}};
  for (const Harsh& it : schedules) {
    WorldOptions options;
    options.seed = it.seed;
    options.faults_per_second = it.faults_per_second;
    options.lost_answers = it.lost_answers;
    CHECK(PlaySessions(options).broken.empty());
  }
}

}  // namespace corianderdock::test
