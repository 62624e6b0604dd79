/// \file
/// Guards against reads that time out in a failover: a read that waits for a
/// majority to confirm its position when the primary fails must be retried on
/// the new primary, not kept until its deadline.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/fake_world.h"

namespace testing_support {
namespace {

constexpr std::uint64_t kSeeds = 40;
constexpr Duration kLoadDuration = std::chrono::seconds(2);
/// Time to detect the failure, fence and promote, plus one retry.
constexpr Duration kMaxLatency = std::chrono::milliseconds(2500);

void CheckReads(std::uint64_t seed, bool freeze) {
  FakeWorld world({}, seed);
  world.RunFor(std::chrono::seconds(3));
  for (Duration at{0}; at < kLoadDuration; at += Milliseconds(2)) {
    const int n = static_cast<int>(at / Milliseconds(2));
    world.After(at, [&world, n] { world.Read(n % 4, n % 3, "now"); });
  }
  world.After(Milliseconds(1000) + std::chrono::microseconds(137 * seed),
              [&world, freeze] {
                if (freeze) world.FreezeServer("primary", true);
                if (!freeze) world.KillServer("primary");
              });
  world.RunFor(kLoadDuration + std::chrono::seconds(6));
  for (const auto& it : world.history().operations) {
    INFO("seed " << seed << " freeze " << freeze << " reason "
                 << static_cast<int>(it.reason));
    REQUIRE(it.has_answer);
    CHECK(it.outcome == Outcome::kDone);
    CHECK(it.reply_received - it.invoked < kMaxLatency);
  }
}

TEST_CASE("reads in progress during a failover are served by the new primary",
          "[failover]") {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CheckReads(seed, false);
    CheckReads(seed, true);
  }
}

}  // namespace
}  // namespace testing_support
