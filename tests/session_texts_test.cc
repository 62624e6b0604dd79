/// Random schedules of clients whose names, values and shapes contain blanks
/// and words of the protocol. The environment variables FIRST_SEED and SEEDS
/// set the seeds.
#include <catch2/catch.hpp>

#include "support/seeds.h"
#include "support/session_world.h"
#include "support/violations.h"

namespace corianderdock::test {

namespace {

constexpr std::uint64_t kSchedules = 20;

}  // namespace

// A blank in a shape ended the name of a prepared statement at the server.
TEST_CASE("shapes and values with blanks reach servers unchanged") {
  const std::uint64_t first = FromEnvironment("FIRST_SEED", 1);
  const std::uint64_t count = FromEnvironment("SEEDS", kSchedules);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    WorldOptions options;
    options.seed = seed;
    options.duration = std::chrono::seconds(4);
    options.varied_texts = true;
    const WorldResult result = RunSessionSchedule(options);
    PrintViolations(result);
    CHECK(result.violations.empty());
    CHECK(result.succeeded > 0);
  }
}

}  // namespace corianderdock::test
