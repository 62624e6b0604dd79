/// \file
/// Reads that a failover catches while they wait for confirmation are served
/// by the new primary, not kept until their time is over.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/fake_world.h"

namespace testing_support {
namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr Duration kLoad = std::chrono::seconds(2);
/// Notice, fence and promote, and one more attempt.
constexpr Duration kLongest = std::chrono::milliseconds(2500);

void CheckReads(std::uint64_t seed, bool freeze) {
  FakeWorld world({}, seed);
  world.RunFor(std::chrono::seconds(3));
  for (Duration at{0}; at < kLoad; at += Milliseconds(2)) {
    const int n = static_cast<int>(at / Milliseconds(2));
    world.After(at, [&world, n] { world.Read(n % 4, n % 3, "now"); });
  }
  world.After(Milliseconds(1000) + std::chrono::microseconds(137 * seed),
              [&world, freeze] {
                if (freeze) world.FreezeServer("primary", true);
                if (!freeze) world.KillServer("primary");
              });
  world.RunFor(kLoad + std::chrono::seconds(6));
  for (const auto& it : world.history().operations) {
    INFO("seed " << seed << " freeze " << freeze << " reason "
                 << static_cast<int>(it.reason));
    REQUIRE(it.has_answer);
    CHECK(it.outcome == Outcome::kDone);
    CHECK(it.answered - it.invoked < kLongest);
  }
}

TEST_CASE("reads caught in a failover go to the new primary", "[failover]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CheckReads(seed, false);
    CheckReads(seed, true);
  }
}

}  // namespace
}  // namespace testing_support
