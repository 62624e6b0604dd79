/// Schedules with several faults during each promotion.
#include <catch2/catch.hpp>

#include "support/session_world.h"

namespace corianderdock::test {

namespace {

struct HighFaultSchedule {
  std::uint64_t seed;
  double faults_per_second;
  double lost_reply_rate;
};

}  // namespace

TEST_CASE("several faults during each promotion violate no guarantee") {
  const HighFaultSchedule schedules[] = {{206, 6, 0.01}};
  for (const HighFaultSchedule& it : schedules) {
    WorldOptions options;
    options.seed = it.seed;
    options.faults_per_second = it.faults_per_second;
    options.lost_reply_rate = it.lost_reply_rate;
    CHECK(RunSessionSchedule(options).violations.empty());
  }
}

}  // namespace corianderdock::test
